//! How fast and at what cost changes reach every VM, at today's size and at the target's.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::object;
use fleet::platform_vm;
use oleanderwind_policy::GossipAction;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectSummary;
use oleanderwind_policy::ProbePlan;
use oleanderwind_policy::VmId;

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
    let leaving = fleet.run_until(IN_FORCE, |fleet| fleet.all_see(1, MemberState::Leaving));
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

/// The word of a serving VM in one of three failure domains.
fn serving(number: usize) -> MemberRecord {
    let vm = platform_vm(number, 3);
    MemberRecord {
        vm: vm.vm,
        incarnation: 1,
        sequence: 1,
        phase: MemberPhase::Serving,
        suspected: false,
        failure_domain: vm.failure_domain,
        peer_address: vm.peer_address,
        caller_address: vm.caller_address,
        revision: 0,
        processor_millicores: 0,
    }
}

/// Pattern: an index cut anew, whose hundreds of new targets come in pages.
#[test]
fn changed_passes_a_page_on_at_once_and_within_the_failure_domain() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving(0), now);
    let list: Vec<_> = (1..84).map(|number| platform_vm(number, 3)).collect();
    members.apply_platform_list(&list);
    for number in 1..84 {
        let word = oleanderwind_policy::ExchangeMessage {
            sender: serving(number),
            members: Vec::new(),
            summary: ObjectSummary::default(),
        };
        members.handle_reply(&word);
    }
    let mut spread = GossipEngine::default();
    let page: Vec<_> =
        (0..200).map(|number| object(&format!("t{number}"), number + 1, Some("x"))).collect();
    let near: Vec<VmId> = (0..84).step_by(3).map(|number| platform_vm(number, 3).vm).collect();
    let actions = spread.handle_changes(&page, &mut members);
    assert_eq!(actions.len(), 3, "one message a neighbour");
    for action in actions {
        let GossipAction::Push { vm, objects } = action else { panic!("only pushes") };
        assert_eq!(objects.len(), page.len());
        assert!(near.contains(&vm), "{vm} stands in another failure domain");
    }
}

/// Pattern: a VM that no random choice fell on put a change in force three seconds after its peers.
#[test]
fn sample_neighbours_names_each_vm_of_a_failure_domain_first_once() {
    let mut first: Vec<VmId> = Vec::new();
    for own in (0..84).step_by(3) {
        let mut members = MembershipEngine::new(settings(own as u64), serving(own), Instant::now());
        let list: Vec<_> =
            (0..84).filter(|number| *number != own).map(|n| platform_vm(n, 3)).collect();
        members.apply_platform_list(&list);
        let chosen = members.sample_domain_peers(3);
        assert_eq!(chosen.len(), 3);
        first.push(chosen[0].clone());
    }
    first.sort_unstable();
    let all: Vec<VmId> = (0..84).step_by(3).map(|number| platform_vm(number, 3).vm).collect();
    assert_eq!(first, all);
}

/// An engine that lacks a change, and the word of a peer that has it.
fn one_change_behind(members: &mut MembershipEngine) -> (GossipEngine, ObjectSummary) {
    let mut spread = GossipEngine::default();
    spread.handle_changes(&[object("a", 1, Some("x"))], members);
    spread.handle_watch_progress(1);
    let mut ahead = spread.clone();
    ahead.handle_changes(&[object("b", 2, Some("x"))], members);
    ahead.handle_watch_progress(2);
    (spread, ahead.store().summary())
}

/// Pattern: every change is told by heartbeats from afar before the neighbours have passed it on.
#[test]
fn heard_pulls_from_afar_only_when_the_neighbours_do_not_help() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving(0), now);
    let (mut spread, summary) = one_change_behind(&mut members);
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut heard =
        |is_near: bool, ms: u64| spread.handle_summary(&"vm".into(), is_near, summary, at(ms));
    assert_eq!(heard(false, 0), None);
    assert_eq!(heard(false, 1_000), None);
    assert!(heard(false, 1_500).is_some());
    assert_eq!(heard(true, 1_600), None, "one pull at a time");
    assert!(heard(true, 3_600).is_some());
}

/// Pattern: a store that forgets its history while the configuration changes, so that the watch
/// holders list anew and find more news than fits a message.
#[test]
fn listed_passes_on_news_that_needs_many_messages() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(6, 3), platform_vm(9, 3)]);
    let mut spread = GossipEngine::default();
    let known = [object("known", 1, Some("x"))];
    spread.apply_listing(&ObjectListing::from_platform(&known, 1));
    let body = "x".repeat(40_000);
    let mut all: Vec<_> =
        (0..6).map(|number| object(&format!("n{number}"), number + 2, Some(&body))).collect();
    all.extend(known);
    let actions = spread.handle_listing(&ObjectListing::from_platform(&all, 7), &mut members);
    let mut pushed = BTreeMap::new();
    for action in actions {
        let GossipAction::Push { vm, objects } = action else { panic!("only pushes") };
        assert_eq!(objects.len(), 1, "two would be more than 64 KB");
        *pushed.entry(vm).or_insert(0) += 1;
    }
    assert_eq!(pushed.into_values().collect::<Vec<_>>(), [6; 3]);
}

/// Pattern: a peer that dies while a VM pulls from it.
#[test]
fn pull_failed_asks_one_neighbour_and_then_waits_for_a_heartbeat() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(4, 3)]);
    let (mut spread, summary) = one_change_behind(&mut members);
    assert!(spread.handle_summary(&"vm".into(), true, summary, now).is_some());
    let wanted = GossipAction::Pull { vm: platform_vm(3, 3).vm, after: 1, full: false };
    assert_eq!(spread.handle_pull_failure(&mut members, now), Some(wanted));
    assert_eq!(spread.handle_pull_failure(&mut members, now), None);
    assert!(
        spread.handle_summary(&"vm".into(), true, summary, now).is_some(),
        "at the next heartbeat"
    );
}

/// Pattern: a VM without a watch that was told of every change.
#[test]
fn heard_takes_a_peers_proof_over_when_both_hold_the_same() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving(0), now);
    let mut spread = GossipEngine::default();
    spread.handle_changes(&[object("a", 1, Some("x"))], &mut members);
    let mut watcher = spread.clone();
    watcher.handle_watch_progress(1);
    assert_eq!(spread.handle_summary(&"vm".into(), true, watcher.store().summary(), now), None);
    assert_eq!(spread.store().summary().complete_revision, 1);
}
