//! How fast and at what cost changes reach every VM, at today's size and at the target's.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberStanding;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ProbePlan;

/// Time in which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(13);
/// Bytes a second that a VM may spend for control.
const CONTROL_BYTES: usize = 2_000;
/// Gap between configuration changes at 2,500 a day.
const CHANGE_GAP: Duration = Duration::from_millis(34_560);
/// A contract's size, in bytes.
const CONTRACT_BYTES: usize = 700;

fn settings(seed: u64) -> MembershipSettings {
    let mut settings = MembershipSettings::default();
    settings.seed = seed;
    settings
}

struct SpreadFigures {
    change: Option<Duration>,
    leaving: Option<Duration>,
    mean_bytes: usize,
    most_bytes: usize,
}

/// One change and one departure in the mean gap between changes.
fn measure(size: usize, settings: MembershipSettings) -> SpreadFigures {
    let mut fleet = Fleet::new(size, settings);
    fleet.run(Duration::from_secs(5));
    fleet.nodes.iter_mut().for_each(|node| node.bytes = 0);
    let begin = fleet.now;
    let body = "x".repeat(CONTRACT_BYTES);
    let revision = fleet.write("late", Some(&body));
    let holds_all = |fleet: &Fleet| {
        let (held, live) = fleet.holding("late", revision);
        held == live
    };
    let change = fleet.run_until(IN_FORCE, holds_all);
    fleet.nodes[1].members.set_phase(MemberPhase::Leaving);
    let leaving = fleet.run_until(IN_FORCE, |fleet| fleet.all_see(1, MemberStanding::Leaving));
    fleet.run(CHANGE_GAP.saturating_sub(fleet.now - begin));
    let seconds = (fleet.now - begin).as_secs_f64();
    let rates = fleet.nodes.iter().map(|node| (node.bytes as f64 / seconds) as usize);
    SpreadFigures {
        change,
        leaving,
        mean_bytes: rates.clone().sum::<usize>() / size,
        most_bytes: rates.max().unwrap(),
    }
}

fn print_row(size: usize, plan: &str, figures: &SpreadFigures) {
    println!(
        "{size:>5} {plan:<11} change {:>8.1?} leaving {:>8.1?} bytes/s mean {:>6} most {:>6}",
        figures.change, figures.leaving, figures.mean_bytes, figures.most_bytes
    );
}

#[test]
fn spread_full_mesh_breaks_the_budget() {
    for size in [7, 70] {
        let mut mesh = settings(1);
        mesh.plan = ProbePlan::FullMesh;
        let figures = measure(size, mesh);
        print_row(size, "full mesh", &figures);
        assert!(figures.mean_bytes > CONTROL_BYTES);
    }
}
#[test]
fn spread_round_robin_stays_in_time_and_budget() {
    for size in [7, 70, 700, 2_200] {
        let figures = measure(size, settings(1));
        print_row(size, "round robin", &figures);
        assert!(figures.change.is_some(), "a change took longer than {IN_FORCE:?}");
        assert!(figures.leaving.is_some(), "a departure took longer than {IN_FORCE:?}");
        assert!(figures.most_bytes <= CONTROL_BYTES);
    }
}

/// Bytes that one change costs a VM, beyond what it spends without any.
fn bytes_of_a_change(body_bytes: usize) -> usize {
    const VMS: usize = 200;
    const CHANGES: usize = 10;
    let mean_bytes = |changes: usize| {
        let mut fleet = Fleet::new(VMS, settings(1));
        fleet.run(Duration::from_secs(5));
        fleet.nodes.iter_mut().for_each(|node| node.bytes = 0);
        let body = "x".repeat(body_bytes);
        for number in 0..changes {
            fleet.write(&format!("change-{number}"), Some(&body));
            fleet.run(Duration::from_secs(2));
        }
        fleet.run(Duration::from_secs(2) * (CHANGES - changes) as u32);
        fleet.nodes.iter().map(|node| node.bytes).sum::<usize>() / VMS
    };
    mean_bytes(CHANGES).saturating_sub(mean_bytes(0)) / CHANGES
}

#[test]
fn spread_of_a_day_of_changes_leaves_room_for_heartbeats() {
    const DAY: usize = 86_400;
    // Contracts; one state of each target and three of each VM that fails or is replaced.
    let changes = [(CONTRACT_BYTES, 2_500), (300, 9_500 + 3 * 1_716)];
    let mut sum = 0;
    for (body_bytes, a_day) in changes {
        let bytes = bytes_of_a_change(body_bytes);
        let rate = bytes * a_day / DAY;
        println!("change of {body_bytes} bytes: {bytes} bytes a VM; {a_day} a day: {rate} bytes/s");
        sum += rate;
    }
    println!("sum {sum} bytes/s of {CONTROL_BYTES}");
    assert!(sum <= CONTROL_BYTES / 2, "changes take more than half of control's bytes");
}
