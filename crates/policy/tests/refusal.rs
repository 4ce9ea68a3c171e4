//! Watches in virtual time while the platform turns some VMs away and serves the others.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::platform_vm;
use oleanderwind_policy::DutyStep;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::RefusalTracker;
use oleanderwind_policy::WatchDuty;
use oleanderwind_policy::WatchRole;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);
/// Time in which a change takes effect on all VMs of fleets with failure domains of more than three.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the platform turns VMs away.
const REFUSAL_TIME: Duration = Duration::from_secs(9);
/// Largest share of the VMs that it turns away.
const REFUSED_SHARE: f64 = 0.35;
/// Numbers of VMs and of failure domains.
const SIZES: [(usize, usize); 4] = [(7, 1), (28, 1), (83, 3), (295, 7)];
const SEEDS: u64 = 12;

fn settings(seed: u64) -> MembershipSettings {
    let mut settings = MembershipSettings::default();
    settings.seed = seed;
    settings
}

fn start(size: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_domains(size, domains, settings(seed));
    fleet.run(20 * SECOND);
    fleet
}

/// Writes a change and expects it on all VMs within the limit.
fn expect_change_in_time(fleet: &mut Fleet, what: &str) {
    let revision = fleet.write(what, Some("{}"));
    let time = fleet.run_until(CHANGE_LIMIT, |fleet| {
        let (held, live) = fleet.count_holding(what, revision);
        held == live
    });
    assert!(time.is_some(), "{what}: not on all VMs within {CHANGE_LIMIT:?}");
}

/// Expects watches at these VMs and at no others. A watch that ends is opened again at the node's next tick.
fn expect_watchers(fleet: &mut Fleet, holders: &[usize]) {
    let time = fleet.run_until(5 * SECOND, |fleet| fleet.watchers() == holders);
    assert!(time.is_some(), "watches at {:?}, not at {holders:?}", fleet.watchers());
}

/// Guards against VMs that keep to an old version because the platform turns all watch holders away, which answer their
/// peers all the same.
#[test]
fn change_propagates_while_all_watch_holders_are_refused() {
    for (size, domains) in SIZES {
        for seed in 0..SEEDS {
            let mut fleet = start(size, domains, seed);
            let holders: BTreeSet<usize> = fleet.watchers().into_iter().collect();
            assert!(holders.len() as f64 <= (size as f64 * REFUSED_SHARE).ceil());
            fleet.set_refused(holders);
            // The change comes while the refusal is new, and another one later.
            fleet.run(SECOND / 2);
            expect_change_in_time(&mut fleet, &format!("first, {size} VMs, seed {seed}"));
            expect_change_in_time(&mut fleet, &format!("second, {size} VMs, seed {seed}"));
        }
    }
}

/// Guards against refused holders that tell only each other, as they are the only ones with a large share of a processor.
#[test]
fn change_propagates_while_the_only_capable_holders_are_refused() {
    const DOMAINS: usize = 3;
    for seed in 0..SEEDS {
        let vm = |number: usize| PlatformVm {
            processor_millicores: if number < 2 * DOMAINS { 500 } else { 120 },
            ..platform_vm(number, DOMAINS)
        };
        let mut fleet = Fleet::with_vms((0..83).map(vm).collect(), settings(seed));
        fleet.run(20 * SECOND);
        let holders: BTreeSet<usize> = fleet.watchers().into_iter().collect();
        assert_eq!(holders, (0..2 * DOMAINS).collect());
        fleet.set_refused(holders);
        fleet.run(SECOND / 2);
        expect_change_in_time(&mut fleet, &format!("seed {seed}"));
    }
}

/// Guards against the same fault where the VMs that take over are turned away too.
#[test]
fn change_propagates_while_holders_and_many_others_are_refused() {
    for (size, domains) in [(28, 1), (83, 3), (295, 7)] {
        for seed in 0..SEEDS {
            let mut fleet = start(size, domains, seed);
            let mut generator = Pcg64Mcg::seed_from_u64(seed);
            let mut refused: BTreeSet<usize> = fleet.watchers().into_iter().collect();
            let count = (size as f64 * REFUSED_SHARE) as usize;
            while refused.len() < count {
                refused.insert(generator.random_range(0..size));
            }
            fleet.set_refused(refused);
            fleet.run(SECOND / 2);
            expect_change_in_time(&mut fleet, &format!("{size} VMs, seed {seed}"));
        }
    }
}

/// Guards against a failure domain that hears of nothing in time because one of its two holders is turned away and the other
/// one is gone.
#[test]
fn change_propagates_while_one_holder_is_refused_and_the_other_is_lost() {
    for seed in 0..SEEDS {
        let mut fleet = start(28, 1, seed);
        let holders = fleet.watchers();
        fleet.set_refused(BTreeSet::from([holders[0]]));
        fleet.run(3 * SECOND);
        fleet.nodes[holders[1]].alive = false;
        expect_change_in_time(&mut fleet, &format!("seed {seed}"));
    }
}

/// Guards against watches that stay with other VMs, or are doubled, once the platform serves their holders again, and
/// against holders that come back with old news.
#[test]
fn watches_return_to_their_holders_after_a_refusal() {
    for seed in 0..SEEDS {
        let mut fleet = start(83, 3, seed);
        let holders = fleet.watchers();
        fleet.set_refused(holders.iter().copied().collect());
        expect_change_in_time(&mut fleet, &format!("refused, seed {seed}"));
        fleet.run(REFUSAL_TIME - CHANGE_LIMIT);
        fleet.set_refused(BTreeSet::new());
        expect_change_in_time(&mut fleet, &format!("served again, seed {seed}"));
        fleet.run(40 * SECOND);
        expect_watchers(&mut fleet, &holders);
        assert!(fleet.nodes.iter().all(|node| !node.members.own().is_refused));
    }
}

/// Guards against watches that move to and fro between VMs while the platform serves their holders by turns.
#[test]
fn watches_do_not_move_with_every_change_of_a_refusal() {
    let mut fleet = start(28, 1, 1);
    let holders: BTreeSet<usize> = fleet.watchers().into_iter().collect();
    for _ in 0..15 {
        fleet.set_refused(holders.clone());
        fleet.run(2 * SECOND);
        fleet.set_refused(BTreeSet::new());
        fleet.run(2 * SECOND);
    }
    let takeovers: usize = fleet.nodes.iter().map(|node| node.takeovers).sum();
    println!("15 refusals of 2 s: {takeovers} takeovers");
    assert!(takeovers <= 4, "{takeovers} takeovers");
}

/// Guards against a herd at a platform that is down for all VMs: each of them would find its predecessors refused.
#[test]
fn few_vms_call_a_platform_that_is_down_for_all() {
    for (size, domains, outage, most) in [
        (83, 3, REFUSAL_TIME, 3 * 12),
        (83, 3, 60 * SECOND, 3 * 16),
        (295, 7, REFUSAL_TIME, 7 * 12),
    ] {
        let mut fleet = start(size, domains, 1);
        fleet.set_platform_down(true);
        fleet.run(outage);
        let callers = fleet.platform.turned_away.len();
        println!("{size} VMs, {outage:?} without the platform: {callers} called it");
        assert!(callers <= most, "{callers} of {size} VMs called the platform");
        fleet.set_platform_down(false);
        expect_change_in_time(&mut fleet, &format!("after {outage:?}, {size} VMs"));
    }
}

/// Guards against a refused holder that is counted as one and keeps the others from asking when its calls are lost.
#[test]
fn watch_position_leaves_out_refused_holders() {
    let mut fleet = start(28, 1, 3);
    let holders = fleet.watchers();
    let other = (0..28).find(|number| !holders.contains(number)).unwrap();
    fleet.set_refused(holders.iter().copied().collect());
    fleet.run(5 * SECOND);
    let substitutes = fleet.watchers();
    assert_eq!(substitutes.len(), 2);
    assert!(substitutes.iter().all(|number| !holders.contains(number)));
    for (rank, number) in substitutes.iter().enumerate() {
        let position = fleet.nodes[*number].members.watch_position();
        assert_eq!((position.rank, position.holders), (rank, 2));
        assert_eq!(fleet.nodes[*number].members.watch_role(), WatchRole::Substitute);
    }
    assert_eq!(fleet.nodes[holders[0]].members.watch_role(), WatchRole::Regular);
    assert!(fleet.nodes[other].members.has_other_watch_holders());
}

#[test]
fn update_confirms_the_refusal_of_a_regular_holder() {
    let (mut refusals, now) = (RefusalTracker::default(), Instant::now());
    refusals.record_failure(now);
    assert_eq!(refusals.due_at(WatchRole::Regular), Some(now + SECOND));
    refusals.record_answer(now + SECOND / 2);
    assert!(!refusals.update(WatchRole::Regular, now + 2 * SECOND), "a single failed call");
    refusals.record_failure(now + 3 * SECOND);
    assert!(refusals.update(WatchRole::Regular, now + 4 * SECOND));
    assert!(refusals.update(WatchRole::Regular, now + 400 * SECOND), "until it is answered");
}

#[test]
fn update_clears_the_refusal_after_steady_answers() {
    let (mut refusals, now) = (RefusalTracker::default(), Instant::now());
    refusals.record_failure(now);
    assert!(refusals.update(WatchRole::Substitute, now), "at once for a substitute");
    refusals.record_answer(now + SECOND);
    refusals.record_failure(now + 3 * SECOND);
    refusals.record_answer(now + 4 * SECOND);
    assert!(refusals.update(WatchRole::Regular, now + 5 * SECOND));
    assert_eq!(refusals.due_at(WatchRole::Regular), Some(now + 7 * SECOND));
    assert!(!refusals.update(WatchRole::Regular, now + 7 * SECOND));
}

#[test]
fn update_clears_the_refusal_of_a_vm_that_rests() {
    let (mut refusals, now) = (RefusalTracker::default(), Instant::now());
    refusals.record_failure(now);
    assert!(refusals.update(WatchRole::Substitute, now));
    assert!(refusals.update(WatchRole::None, now + 29 * SECOND));
    assert!(!refusals.update(WatchRole::None, now + 30 * SECOND));
    assert!(!refusals.update(WatchRole::Substitute, now + 31 * SECOND), "it is tried again");
}

/// Guards against waits that grow without a bound, and against VMs that all take over at once.
#[test]
fn update_delays_takeovers_as_refusals_grow() {
    let now = Instant::now();
    let delay = |refused: usize| {
        let mut duty = WatchDuty::default();
        let is_waiting = |tenth: &u32| {
            duty.update(WatchRole::Substitute, refused, now + SECOND * *tenth / 10)
                == DutyStep::Rest
        };
        (0..1_000).take_while(is_waiting).count()
    };
    let tenths: Vec<usize> = (0..16).map(delay).collect();
    assert_eq!(
        tenths,
        [0, 0, 0, 0, 0, 10, 10, 20, 20, 40, 40, 80, 80, 160, 160, 300],
        "tenths of a second by refused VMs"
    );
}

/// Draws refusals of any VMs for any times beside lost messages. Once the platform serves all VMs again, a change reaches them in
/// time, and the watches are where they were.
#[test]
fn watches_recover_from_any_series_of_refusals() {
    for seed in 0..20 {
        let mut fleet = start(28, 1, seed);
        let holders = fleet.watchers();
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        fleet.loss_rate = 0.05;
        for _ in 0..8 {
            let count = generator.random_range(0..=10);
            let vms: Vec<usize> = (0..28).collect();
            fleet.set_refused(vms.sample(&mut generator, count).copied().collect());
            fleet.run(SECOND.mul_f64(generator.random_range(0.2..6.0)));
        }
        fleet.loss_rate = 0.0;
        fleet.set_refused(BTreeSet::new());
        fleet.run(15 * SECOND);
        expect_change_in_time(&mut fleet, &format!("seed {seed}"));
        fleet.run(60 * SECOND);
        expect_watchers(&mut fleet, &holders);
    }
}
