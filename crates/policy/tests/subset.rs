//! Subsetting: holders of services, connection limits of targets and VMs for callers.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::collections::BTreeMap;

use fleet::platform_vm;
use oleanderwind_policy::ConnectionBudget;
use oleanderwind_policy::FleetShape;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::ShardPlacement;
use oleanderwind_policy::SubsetCandidate;
use oleanderwind_policy::SubsetSpec;
use oleanderwind_policy::VmId;
use oleanderwind_policy::holders_by_service;
use oleanderwind_policy::rank_holders_for_caller;
use oleanderwind_policy::select_vms_for_caller;
use oleanderwind_policy::service_holders;
use proptest::prelude::any;
use proptest::proptest;

fn candidates(numbers: impl Iterator<Item = usize>, domains: usize) -> Vec<SubsetCandidate> {
    let candidate = |number| {
        let listed = platform_vm(number, domains);
        SubsetCandidate { vm: listed.vm, failure_domain: listed.failure_domain }
    };
    numbers.map(candidate).collect()
}

fn held_services(services: usize, holders: usize) -> Vec<SubsetSpec> {
    let held = |number| SubsetSpec { service: format!("service-{number}").into(), holders };
    (0..services).map(held).collect()
}

/// Returns the holders of the first service, selected alone and jointly with the other services.
fn first_holders(services: usize, vms: &[SubsetCandidate], holders: usize) -> [Vec<VmId>; 2] {
    let mut joint = holders_by_service(&held_services(services, holders), vms);
    [service_holders("service-0", vms, holders), joint.remove("service-0").unwrap()]
}

/// Returns the maximum number of connections to a target when each VM acts on its own view, over
/// both ways of selecting holders.
fn connections(
    views: &[(usize, Vec<usize>)],
    limit: u32,
    spare: usize,
    wanted: u32,
    services: usize,
) -> u32 {
    let mut sums = [0; 2];
    for (own, view) in views {
        let budget = ConnectionBudget::new(limit, view.len(), spare, wanted);
        let vms = candidates(view.iter().copied(), 4);
        let ways = first_holders(services, &vms, budget.holders);
        for (sum, holders) in sums.iter_mut().zip(ways) {
            if holders.contains(&platform_vm(*own, 4).vm) {
                *sum += budget.per_vm;
            }
        }
    }
    sums.into_iter().max().unwrap()
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..Default::default()
    })]

    /// The view of each VM lacks an arbitrary set of the disputed VMs.
    #[test]
    fn connections_stay_within_the_limit_while_views_differ(
        size in 4..60_usize,
        disputed in proptest::collection::vec(any::<proptest::sample::Index>(), 0..4),
        choices in proptest::collection::vec(any::<u8>(), 60),
        limit in 25..101_u32,
        wanted in 1..4_u32,
        services in 1..5_usize,
    ) {
        let disputed: Vec<usize> = disputed.iter().map(|index| index.index(size)).collect();
        let lacks = |own: usize, other: usize| {
            let place = disputed.iter().position(|number| *number == other);
            own != other && place.is_some_and(|place| choices[own] & 1 << place != 0)
        };
        let views: Vec<(usize, Vec<usize>)> = (0..size)
            .map(|own| (own, (0..size).filter(|other| !lacks(own, *other)).collect()))
            .collect();
        assert!(connections(&views, limit, disputed.len(), wanted, services) <= limit);
    }

    /// The bound on connections requires that all other holders remain holders when a VM leaves.
    #[test]
    fn holders_by_service_keeps_other_holders_when_a_vm_leaves(
        size in 2..80_usize,
        gone in any::<proptest::sample::Index>(),
        domains in 1..7_usize,
        services in 1..9_usize,
        holders in 1..20_usize,
    ) {
        let gone = gone.index(size);
        let services = held_services(services, holders);
        let with = holders_by_service(&services, &candidates(0..size, domains));
        let rest = (0..size).filter(|number| *number != gone);
        let without = holders_by_service(&services, &candidates(rest, domains));
        let gone = platform_vm(gone, domains).vm;
        for (service, with) in with {
            let without = &without[&service];
            assert!(with.iter().all(|vm| *vm == gone || without.contains(vm)), "{service}");
            assert_eq!(without.len(), holders.min(size - 1));
        }
    }

    /// VMs are replaced one at a time, and each VM may not yet know of the latest replacement.
    #[test]
    fn connections_stay_within_the_limit_during_rolling_replacement(
        size in 4..40_usize,
        heard in proptest::collection::vec(any::<bool>(), 40 * 12),
        services in 1..4_usize,
    ) {
        for step in 0..12 {
            let old: Vec<usize> = (step..size + step).collect();
            let new: Vec<usize> = (step + 1..size + step + 1).collect();
            // The leaving VM still holds its connections while the new one opens its own.
            let view = |own: usize| {
                let knows = heard[step * 40 + own % 40] && own != step || own == size + step;
                (own, if knows { new.clone() } else { old.clone() })
            };
            let views: Vec<_> = (step..size + step + 1).map(view).collect();
            assert!(connections(&views, 25, 2, 1, services) <= 25);
        }
    }
}

/// Returns the number of services that each VM holds, without the VMs that hold none.
fn held_by_vm(holders: impl Iterator<Item = Vec<VmId>>) -> BTreeMap<VmId, usize> {
    let mut held = BTreeMap::new();
    holders.flatten().for_each(|vm| *held.entry(vm).or_default() += 1);
    held
}

#[test]
fn holders_by_service_balances_services_over_vms() {
    let vms = candidates(0..2_200, 16);
    let services = held_services(66, 21);
    let separate = services.iter().map(|held| service_holders(&held.service, &vms, held.holders));
    let separate = held_by_vm(separate);
    let joint = held_by_vm(holders_by_service(&services, &vms).into_values());
    let most = |held: &BTreeMap<VmId, usize>| *held.values().max().unwrap();
    for (way, held) in [("separate", &separate), ("joint", &joint)] {
        println!(
            "{way}: {} of 2200 VMs hold a service, at most {} services each",
            held.len(),
            most(held)
        );
    }
    assert!(joint.len() > separate.len());
    assert!(most(&joint) < most(&separate));
}

#[test]
fn holders_by_service_spread_over_failure_domains() {
    let vms = candidates(0..2_200, 16);
    let domains: BTreeMap<_, _> =
        vms.iter().map(|candidate| (&candidate.vm, &candidate.failure_domain)).collect();
    for (service, holders) in holders_by_service(&held_services(66, 21), &vms) {
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        holders.iter().for_each(|vm| *counts.entry(domains[vm]).or_default() += 1);
        assert_eq!(counts.len(), 16, "{service}");
        assert!(counts.values().all(|count| *count <= 2), "{service}");
    }
}

/// The holders in a view that lacks a new service differ from those in a view that has it by at
/// most the number of spare VMs.
#[test]
fn holders_by_service_changes_few_holders_for_a_new_service() {
    const SPARE: usize = 4;
    let vms = candidates(0..2_200, 16);
    let old = holders_by_service(&held_services(66, 21), &vms);
    let new = holders_by_service(&held_services(67, 21), &vms);
    let moved = |service| new[service].iter().filter(|vm| !old[service].contains(vm)).count();
    let moved: Vec<usize> = old.keys().map(moved).collect();
    let sum: usize = moved.iter().sum();
    let most = *moved.iter().max().unwrap();
    println!("a new service moves {sum} of {} holders, at most {most} of a service", 66 * 21);
    assert!(most <= SPARE);
}

#[test]
fn service_holders_are_all_vms_of_a_small_fleet() {
    for size in [6, 7] {
        let budget = ConnectionBudget::new(25, size, 2, 1);
        let holders = service_holders("courses", &candidates(0..size, 3), budget.holders);
        assert_eq!(holders.len(), size);
        // Each VM can use both slots of a searcher.
        assert!(budget.per_vm >= 2);
    }
}

#[test]
fn service_holders_spread_over_failure_domains() {
    let vms = candidates(0..2_200, 16);
    let domains: BTreeMap<_, _> =
        vms.iter().map(|candidate| (&candidate.vm, &candidate.failure_domain)).collect();
    let mut held: BTreeMap<_, usize> = BTreeMap::new();
    for service in 0..66 {
        let holders = service_holders(&format!("service-{service}"), &vms, 21);
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        for vm in holders {
            *counts.entry(domains[&vm]).or_default() += 1;
            *held.entry(vm).or_default() += 1;
        }
        assert_eq!(counts.len(), 16);
        assert!(counts.values().all(|count| *count <= 2));
    }
    let most = held.values().max().unwrap();
    println!(
        "66 services, 21 holders each: {} VMs hold a service, at most {most} each",
        held.len()
    );
}

#[test]
fn connection_budget_sustains_the_target_load() {
    // 420,000 queries per second, each sent to 72 of 9,500 searchers.
    let calls_per_second = 420_000.0 * 72.0 / 9_500.0;
    for (limit, replicas) in [(25, 2), (50, 2), (100, 2)] {
        let budget = ConnectionBudget::new(limit, 2_200, 4, 1);
        let services = 9_500 / (72 * replicas);
        let open = f64::from(budget.per_vm) * budget.holders as f64;
        let busy_ms = open / calls_per_second * 1_000.0;
        let queries = 420_000.0 / (services * budget.holders) as f64;
        println!(
            "limit {limit}: {} holders of {services} services, {calls_per_second:.0} calls/s per \
             searcher over {open} connections, each call may use one for {busy_ms:.1} ms; \
             {queries:.0} queries/s and {:.0} calls/s per holder",
            budget.holders,
            queries * 72.0
        );
        // A call that takes 2 ms must leave half of the connections idle.
        assert!(busy_ms >= 4.0);
    }
}

#[test]
fn rank_holders_for_caller_omits_leaving_vms_and_prefers_idle_ones() {
    let records: Vec<MemberRecord> =
        (0..6).map(|number| MemberRecord::from(&platform_vm(number, 3))).collect();
    let standings = [
        (MemberState::Leaving, 0),
        (MemberState::Suspect, 0),
        (MemberState::Serving, 900),
        (MemberState::Serving, 100),
        (MemberState::Gone, 0),
        (MemberState::Left, 0),
    ];
    let holders: Vec<_> = records
        .iter()
        .zip(standings)
        .map(|(record, (standing, load))| (record, standing, load))
        .collect();
    let vms = rank_holders_for_caller("caller", &holders);
    let names: Vec<&str> = vms.iter().map(|vm| &**vm).collect();
    assert_eq!(names, ["vm-0003", "vm-0002", "vm-0001"]);
}

/// Returns the record of a serving VM.
fn serving(vm: &str, domain: &str, processor_millicores: u32) -> MemberRecord {
    MemberRecord {
        vm: vm.into(),
        incarnation: 1,
        sequence: 1,
        phase: MemberPhase::Serving,
        suspected: false,
        failure_domain: domain.into(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        caller_address: "127.0.0.1:2".parse().unwrap(),
        revision: 1,
        processor_millicores,
        is_refused: false,
    }
}

/// Shards have targets in two of three failure domains, and callers are in all three.
#[test]
fn select_vms_for_caller_prefers_vms_near_shards_and_caller() {
    let record = |vm: &str, domain: &str| serving(vm, domain, 0);
    let records = [
        record("a1", "a"),
        record("a2", "a"),
        record("b1", "b"),
        record("b2", "b"),
        record("c1", "c"),
        record("c2", "c"),
    ];
    let shards_by_domain = [("a".into(), 20), ("b".into(), 20)].into();
    let places = ShardPlacement { shards: 20, shards_by_domain };
    let selected = |domain: Option<&str>, standings: [MemberState; 6]| -> Vec<String> {
        let members: Vec<_> = records.iter().zip(standings).collect();
        let chosen = select_vms_for_caller(domain, &members, &places);
        chosen.iter().map(|record| record.vm.to_string()).collect()
    };
    let serving = [MemberState::Serving; 6];
    assert_eq!(selected(Some("a"), serving), ["a1", "a2"]);
    assert_eq!(selected(Some("c"), serving), ["a1", "a2", "b1", "b2"]);
    assert_eq!(selected(None, serving), ["a1", "a2", "b1", "b2"]);
    let mut one_left = serving;
    one_left[0] = MemberState::Leaving;
    assert_eq!(selected(Some("a"), one_left), ["a2", "b1", "b2"]);
    let mut only_far = [MemberState::Gone; 6];
    only_far[4] = MemberState::Serving;
    assert_eq!(selected(Some("a"), only_far), ["c1"]);
    assert_eq!(selected(Some("a"), [MemberState::Suspect; 6]).len(), 6);
}

/// A few VMs have half a core each, and many have an eighth.
#[test]
fn select_vms_for_caller_prefers_most_capable_vms_while_sufficient() {
    let mut records = Vec::new();
    for domain in ["a", "b", "c"] {
        records.extend((0..2).map(|number| serving(&format!("{domain}-big{number}"), domain, 500)));
        records.extend((0..25).map(|number| serving(&format!("{domain}-{number}"), domain, 120)));
    }
    let shards_by_domain = ["a", "b", "c"].map(|domain| (domain.into(), 90)).into();
    let places = ShardPlacement { shards: 90, shards_by_domain };
    let selected = |domain: &str, lost: &[&str]| -> Vec<String> {
        let standing = |record: &MemberRecord| match lost.contains(&&*record.vm) {
            true => MemberState::Gone,
            false => MemberState::Serving,
        };
        let members: Vec<_> = records.iter().map(|record| (record, standing(record))).collect();
        let chosen = select_vms_for_caller(Some(domain), &members, &places);
        chosen.iter().map(|record| record.vm.to_string()).collect()
    };
    assert_eq!(selected("a", &[]), ["a-big0", "a-big1"]);
    let others = ["a-big1", "b-big0", "b-big1", "c-big0", "c-big1"];
    assert_eq!(
        selected("a", &["a-big0"]),
        others,
        "one capable VM in the own domain is not enough"
    );
    let lost = ["a-big0", "a-big1", "b-big0", "b-big1"];
    assert_eq!(selected("a", &lost).len(), 25, "the remaining capable VMs can't serve all traffic");
}

/// A few capable VMs serve the traffic of a large fleet.
#[test]
fn slack_shares_stay_within_the_slack_with_one_vm_outside_the_view() {
    for slack in [10, 52, 206, 400] {
        for vms in 1..120_usize {
            for preferred_vms in 1..=vms {
                let preferred =
                    FleetShape { vms, preferred_vms, is_preferred: true }.slack_share(slack);
                let other =
                    FleetShape { vms, preferred_vms, is_preferred: false }.slack_share(slack);
                let others = (vms - preferred_vms) as u32;
                let sum = (preferred_vms as u32 + 1) * preferred + others * other;
                // Each VM gets one call, however many there are.
                let least = vms as u32 + 1;
                assert!(
                    sum <= slack.max(least),
                    "{vms} VMs, {preferred_vms} preferred: {sum} of {slack}"
                );
            }
        }
    }
}
