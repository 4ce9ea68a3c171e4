//! Membership and configuration under cuts, losses, restarts and platform outages.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::object;
use oleanderwind_policy::ContactState;
use oleanderwind_policy::ContactTracker;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectStore;
use oleanderwind_policy::ReadinessGate;
use oleanderwind_policy::Revision;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;

/// Time in which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(13);
const HOUR: Duration = Duration::from_secs(3_600);

fn fleet(size: usize) -> Fleet {
    let mut fleet = Fleet::new(size, MembershipSettings::default());
    fleet.run(Duration::from_secs(20));
    fleet
}

/// How long until all live VMs hold the object.
fn time_to_all(fleet: &mut Fleet, name: &str, revision: Revision) -> Option<Duration> {
    fleet.run_until(IN_FORCE, |fleet| {
        let (held, live) = fleet.holding(name, revision);
        held == live
    })
}

fn count_standing(fleet: &Fleet, standing: MemberState) -> usize {
    let views = fleet.nodes.iter().map(|node| node.members.table());
    views.map(|table| table.iter().filter(|(_, seen)| *seen == standing).count()).sum()
}

#[test]
fn spread_of_a_change_after_a_cut_heals() {
    for size in [7, 70] {
        let mut fleet = fleet(size);
        fleet.cut = Some(size / 2);
        fleet.run(Duration::from_secs(300));
        let revision = fleet.write("cut", Some("{}"));
        fleet.run(IN_FORCE);
        assert_eq!(fleet.holding("cut", revision).0, size / 2, "the platform's side has it");
        assert_eq!(count_standing(&fleet, MemberState::Gone), 0, "silence alone removes none");
        let suspected = count_standing(&fleet, MemberState::Suspect);
        fleet.cut = None;
        let healed = time_to_all(&mut fleet, "cut", revision).unwrap();
        let cleared = fleet
            .run_until(HOUR, |fleet| count_standing(fleet, MemberState::Suspect) == 0)
            .unwrap();
        println!("{size} VMs: {suspected} suspicions; change {healed:?}, all clear {cleared:?}");
    }
}

#[test]
fn watch_is_taken_over_when_holders_are_lost() {
    let mut fleet = fleet(70);
    let watchers = fleet.watchers();
    assert_eq!(watchers.len(), 32, "two a failure domain");
    let domain = fleet.platform.vms[watchers[0]].failure_domain.clone();
    let in_domain = |number: &usize| fleet.platform.vms[*number].failure_domain == domain;
    let lost: Vec<usize> = watchers.iter().copied().filter(in_domain).collect();
    lost.iter().for_each(|number| fleet.nodes[*number].alive = false);
    let revision = fleet.write("lost", Some("{}"));
    let change = time_to_all(&mut fleet, "lost", revision).unwrap();
    let taken = fleet.run_until(HOUR, |fleet| {
        let mut watchers = fleet.watchers().into_iter();
        watchers.any(|number| fleet.platform.vms[number].failure_domain == domain)
    });
    println!("both holders of a domain lost: change {change:?}, taken over {taken:?}");
    assert!(taken.unwrap() < Duration::from_secs(60));
}

#[test]
fn restart_with_old_state_catches_up_before_it_serves() {
    let mut fleet = fleet(70);
    let revision = fleet.write("first", Some("{\"new\":1}"));
    fleet.nodes[3].members.set_phase(MemberPhase::Left);
    fleet.run(IN_FORCE);
    assert!(fleet.all_see(3, MemberState::Left));
    fleet.restart(3);
    let mut gate = ReadinessGate::default();
    let old = fleet.nodes[3].spread.store().summary().complete_revision;
    for number in [4, 5, 6] {
        let complete_revision = fleet.nodes[number].spread.store().summary().complete_revision;
        gate.record_peer(&fleet.platform.vms[number].vm, complete_revision);
    }
    assert!(!gate.is_open(old, 69), "it doesn't serve on its old state");
    assert!(time_to_all(&mut fleet, "first", revision).is_some());
    fleet.run(IN_FORCE);
    let caught_up = fleet.nodes[3].spread.store().summary().complete_revision;
    assert!(gate.is_open(caught_up, 69));
    assert!(fleet.all_see(3, MemberState::Serving), "its new word outbids its last one");
}

#[test]
fn spread_of_a_change_with_a_fifth_of_messages_lost() {
    for seed in 1..=5 {
        let mut settings = MembershipSettings::default();
        settings.seed = seed;
        let mut fleet = Fleet::new(70, settings);
        fleet.loss = 0.2;
        fleet.run(Duration::from_secs(60));
        let revision = fleet.write("lossy", Some("{}"));
        let change = time_to_all(&mut fleet, "lossy", revision);
        let suspected = count_standing(&fleet, MemberState::Suspect);
        println!("seed {seed}: change {change:?}, {suspected} of 4830 suspected");
        assert!(change.is_some());
    }
}

/// Most and mean calls a second from `begin` on, in seconds of virtual time.
fn calls(fleet: &Fleet, begin: u64) -> (u64, f64) {
    let counts: Vec<u64> = fleet.platform.calls.range(begin..).map(|(_, count)| *count).collect();
    let seconds = (fleet.now - fleet.start).as_secs_f64() - begin as f64;
    (counts.iter().max().copied().unwrap_or(0), counts.iter().sum::<u64>() as f64 / seconds)
}

#[test]
fn platform_calls_stay_few_in_quiet_outage_and_return() {
    // A hundredth of the reads a second that the platform takes.
    const CALLS_A_SECOND: f64 = 20.0;
    let mut fleet = fleet(48);
    let mut begin = (fleet.now - fleet.start).as_secs();
    let mut check = |fleet: &Fleet, name: &str| {
        let (most, mean) = calls(fleet, begin);
        println!("{name}: mean {mean:.1} calls/s, most {most} in a second");
        assert!(mean <= CALLS_A_SECOND);
        begin = (fleet.now - fleet.start).as_secs();
        most
    };
    fleet.run(HOUR);
    check(&fleet, "quiet hour");
    let revision = fleet.write("change", Some("{}"));
    assert!(time_to_all(&mut fleet, "change", revision).is_some());
    check(&fleet, "change");
    fleet.set_platform_down(true);
    fleet.run(HOUR);
    check(&fleet, "outage of an hour");
    fleet.set_platform_down(false);
    let revision = fleet.write("after", Some("{}"));
    let change = time_to_all(&mut fleet, "after", revision).unwrap();
    fleet.run(Duration::from_secs(60));
    let most = check(&fleet, "return");
    println!("after the return: change {change:?}");
    assert!(most <= 128, "no more than every watch at once");
}

#[test]
fn contact_state_follows_the_silence() {
    let start = std::time::Instant::now();
    let clock = ContactTracker::new(start);
    assert_eq!(clock.state(start + Duration::from_secs(12)), ContactState::Fresh);
    assert_eq!(clock.state(start + Duration::from_secs(13)), ContactState::Stale);
    assert_eq!(clock.state(start + Duration::from_secs(600)), ContactState::Isolated);
}

/// One thing that may reach a store, in any order.
#[derive(Clone, Debug)]
enum StoreStep {
    Push { to: usize, write: usize },
    Pull { from: usize, to: usize, max_bytes: usize },
    List { to: usize },
}

fn store_step() -> impl Strategy<Value = StoreStep> {
    let store = 0..3_usize;
    proptest::prop_oneof![
        (store.clone(), any::<usize>()).prop_map(|(to, write)| StoreStep::Push { to, write }),
        (store.clone(), store.clone(), 1..400_usize)
            .prop_map(|(from, to, max_bytes)| StoreStep::Pull { from, to, max_bytes }),
        store.prop_map(|to| StoreStep::List { to }),
    ]
}

/// One page, or a whole listing where a page won't do.
fn pull(stores: &mut [ObjectStore], from: usize, to: usize, max_bytes: usize) {
    let after = stores[to].summary().complete_revision;
    let delta = stores[from].delta_after(after, after == 0, max_bytes);
    if after > 0 && !delta.too_old {
        stores[to].apply_delta(after, &delta);
        return;
    }
    let mut listing = ObjectListing::default();
    let mut page = stores[from].delta_after(0, true, max_bytes);
    listing.add_page(&page);
    while page.has_more {
        page = stores[from].delta_after(page.scanned_revision, true, max_bytes);
        listing.add_page(&page);
    }
    stores[to].apply_listing(&listing);
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Writes 1.. are numbered by revision; stores hear them in any order and never go back.
    #[test]
    fn object_store_never_reverts(
        writes in proptest::collection::vec((0..5_usize, any::<bool>()), 1..30),
        steps in proptest::collection::vec(store_step(), 1..80),
    ) {
        let names = ["a", "b", "c", "d", "e"];
        let log: Vec<_> = (1_u64..)
            .zip(&writes)
            .map(|(revision, (name, is_kept))| {
                object(names[*name], revision, is_kept.then_some("{}"))
            })
            .collect();
        let last = log.len() as Revision;
        let newest = |name: &str| log.iter().rev().find(|write| &*write.key.name == name);
        let mut stores: [ObjectStore; 3] = Default::default();
        let mut seen = [[0; 5]; 3];
        for step in steps {
            match step {
                StoreStep::Push { to, write } => {
                    stores[to].apply(&log[write % log.len()]);
                }
                StoreStep::Pull { from, to, max_bytes } => {
                    pull(&mut stores, from, to, max_bytes);
                }
                StoreStep::List { to } => {
                    let newest = names.iter().filter_map(|name| newest(name));
                    let live = newest.filter(|write| write.body.is_some());
                    let list: Vec<_> = live.cloned().collect();
                    stores[to].apply_listing(&ObjectListing::from_platform(&list, last));
                }
            }
            for (store, seen) in stores.iter().zip(&mut seen) {
                let complete_revision = store.summary().complete_revision;
                for (name, seen) in names.iter().zip(seen) {
                    let held = store.get(&object(name, 1, None).key).map(|held| held.revision);
                    // Nothing older than what was ever served, a deletion included.
                    assert!(held.is_none_or(|revision| revision >= *seen));
                    *seen = held.unwrap_or(*seen);
                    // Complete means what it says.
                    if let Some(write) = newest(name).filter(|write| write.revision <= complete_revision) {
                        assert_eq!(held, write.body.as_ref().map(|_| write.revision));
                    }
                }
            }
        }
    }
}
