//! Tests of the rate limits of targets: what one VM knows and issues, and fleets in virtual time.
#![allow(clippy::unwrap_used)]

#[path = "limits/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderwind_policy::CallPermit;
use oleanderwind_policy::ColdTargetTable;
use oleanderwind_policy::FleetReach;
use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitNotice;
use oleanderwind_policy::LimitRecord;
use oleanderwind_policy::LimitTable;
use oleanderwind_policy::PermitIssuer;
use oleanderwind_policy::RequestRate;
use oleanderwind_policy::RequestRateError;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use oleanderwind_policy::rank_limit_holders;
use proptest::prelude::*;

use crate::fleet::LimitFleet;
use crate::fleet::LimitStep;
use crate::fleet::spec;

const ALONE: FleetReach = FleetReach { reached: 1, known: 1 };

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

fn record(incarnation: u64, per_second: Option<f64>, observed_at: Instant) -> LimitRecord {
    LimitRecord { target: "t".into(), incarnation, rate: per_second.map(rate), observed_at }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Pattern: all VMs want to call a cold target, far more often than it takes.
#[test]
fn cold_target_gets_no_more_in_any_second_and_still_warms() {
    for vms in [1, 7, 75] {
        for per_second in [2.0, 10.0, 40.0] {
            let mut fleet = LimitFleet::new(vms, rate(per_second), per_second * 4.0, 11);
            fleet.advance(Duration::from_secs(20));
            assert_eq!(fleet.find_cold_excess(), None, "{vms} VMs, {per_second}/s");
            let warming = fleet.arrivals_after(Duration::from_secs(10));
            assert!(warming as f64 > per_second * 5.0, "{vms} VMs, {per_second}/s: {warming}");
        }
    }
}

/// Guards against a target that is cold by its entry, or when it is taken back, and gets its usual share at once.
#[test]
fn cold_target_has_a_limit_by_its_entry_and_after_an_evacuation() {
    let now = Instant::now();
    let rates = HashMap::from([("one".into(), rate(8.0))]);
    let mut table = ColdTargetTable::default();
    // Lists the target `count` ms after the start, and returns the limits.
    let list = |table: &mut ColdTargetTable, count: u64, incarnation: u64, cold_ms: u64| {
        let listed = TargetSpec { incarnation, cold_ms, ..spec() };
        table.apply_targets(&[listed], &rates, now + ms(count), UNIX_EPOCH)
    };
    let limit =
        |count: u64, incarnation: u64| vec![record(incarnation, Some(8.0), now + ms(count))];
    assert_eq!(list(&mut table, 0, 1, 0), [], "it is warm");
    assert_eq!(list(&mut table, 1, 1, 3_000), limit(1, 1), "cold again");
    assert_eq!(list(&mut table, 2, 1, 3_000), [], "nothing new");
    assert_eq!(list(&mut table, 3, 2, 3_000), limit(3, 2), "another process");
    let evacuated = BTreeSet::from(["a".into()]);
    assert_eq!(table.set_evacuated(&evacuated, now + ms(4)), limit(4, 2));
    assert_eq!(table.set_evacuated(&evacuated, now + ms(5)), []);
    assert_eq!(
        list(&mut table, 6, 3, 0),
        limit(6, 3),
        "a process that starts there counts as cold"
    );
    assert_eq!(table.set_evacuated(&BTreeSet::new(), now + ms(7)), []);
    let cold = [TargetSpec { cold_ms: 3_000, ..spec() }];
    let unnamed = table.apply_targets(&cold, &HashMap::new(), now, UNIX_EPOCH);
    assert_eq!(unnamed, [], "no rate is named");
    let later = UNIX_EPOCH + Duration::from_secs(60);
    let old = ColdTargetTable::default().apply_targets(&cold, &rates, now, later);
    assert_eq!(old, [], "its process has long been warm");
}

/// Guards against an answer that calls its target cold and names no limit, a higher or a lower one.
#[test]
fn cold_answer_is_read_as_the_lower_limit() {
    let rates = HashMap::from([("one".into(), rate(8.0))]);
    let mut table = ColdTargetTable::default();
    let target: TargetId = "t".into();
    let named = |per_second: f64| LimitNotice::Named(rate(per_second));
    assert_eq!(table.read_notice(&target, LimitNotice::Missing, ms(9)), LimitNotice::Missing);
    table.apply_targets(&[spec()], &rates, Instant::now(), UNIX_EPOCH);
    assert_eq!(table.read_notice(&target, LimitNotice::Missing, ms(0)), LimitNotice::Missing);
    assert_eq!(table.read_notice(&target, LimitNotice::Missing, ms(9)), named(8.0));
    assert_eq!(table.read_notice(&target, named(5.0), ms(9)), named(5.0));
    assert_eq!(table.read_notice(&target, named(50.0), ms(9)), named(8.0));
    assert_eq!(table.read_notice(&target, LimitNotice::Unreadable, ms(9)), named(8.0));
}

#[test]
fn request_rate_has_a_meaning_for_every_text() {
    let per_second = |text: &str| RequestRate::try_from(text).map(RequestRate::per_second);
    assert_eq!(per_second("20.1"), Ok(20.1));
    assert_eq!(per_second(" 3 "), Ok(3.0));
    assert_eq!(per_second("0"), Ok(0.1));
    assert_eq!(per_second("-0.0"), Ok(0.1));
    assert_eq!(per_second("1e300"), Ok(1_000_000.0));
    assert_eq!(per_second("-1"), Err(RequestRateError::Negative));
    assert_eq!(per_second("NaN"), Err(RequestRateError::NotFinite));
    assert_eq!(per_second("infinity"), Err(RequestRateError::NotFinite));
    assert_eq!(per_second("1e999"), Err(RequestRateError::NotFinite));
    assert_eq!(per_second("few"), Err(RequestRateError::NotANumber));
    assert_eq!(per_second(""), Err(RequestRateError::NotANumber));
}

/// Guards against an answer to an earlier call, late news of a peer or an earlier process that undo a later word.
#[test]
fn merge_keeps_the_word_of_the_latest_call_and_process() {
    let now = Instant::now();
    let mut table = LimitTable::default();
    assert_eq!(table.merge(&record(1, None, now), now), LimitChange::Unchanged);
    assert_eq!(table.merge(&record(1, Some(5.0), now + ms(10)), now), LimitChange::Named);
    assert_eq!(table.merge(&record(1, None, now + ms(5)), now), LimitChange::Unchanged);
    assert_eq!(table.merge(&record(1, Some(6.0), now + ms(20)), now), LimitChange::Changed);
    assert_eq!(table.merge(&record(1, None, now + ms(30)), now), LimitChange::Ended);
    assert_eq!(table.merge(&record(1, Some(6.0), now + ms(25)), now), LimitChange::Unchanged);
    assert_eq!(table.merge(&record(2, Some(2.0), now), now), LimitChange::Named);
    assert_eq!(table.merge(&record(1, None, now + ms(90)), now), LimitChange::Unchanged);
    assert!(table.limit_in_force(&"t".into(), 2).is_some());
}

#[test]
fn issue_spaces_permits_by_the_interval_of_the_rate() {
    let start = Instant::now();
    let mut issuer = PermitIssuer::default();
    let target: TargetId = "t".into();
    assert!(issuer.issue(&target, 1, rate(20.0), 1, ALONE, start).delays.is_empty());
    let now = start + Duration::from_secs(1);
    let grant = issuer.issue(&target, 1, rate(20.0), 9, ALONE, now);
    assert_eq!(grant.delays, [ms(0), ms(50), ms(100)]);
    assert_eq!(grant.retry_after, ms(50));
    let halved = FleetReach { reached: 3, known: 6 };
    let grant = issuer.issue(&target, 1, rate(20.0), 9, halved, now + Duration::from_secs(1));
    assert_eq!(grant.delays, [ms(0), ms(100)]);
}

/// Guards against two holders that issue permits at the same time while the one takes over from the other.
#[test]
fn issue_of_a_new_holder_waits_until_earlier_permits_have_expired() {
    let now = Instant::now();
    let (mut earlier, mut later) = (PermitIssuer::default(), PermitIssuer::default());
    let target: TargetId = "t".into();
    earlier.issue(&target, 1, rate(10.0), 1, ALONE, now);
    let handover = now + Duration::from_secs(1);
    let grant = earlier.issue(&target, 1, rate(10.0), 9, ALONE, handover);
    let last = handover + *grant.delays.last().unwrap() + CallPermit::USE_TIME;
    let grant = later.issue(&target, 1, rate(10.0), 1, ALONE, handover);
    assert!(grant.delays.is_empty());
    assert!(handover + grant.retry_after >= last);
}

/// Guards against a process that was suspended and acts on a permit which ran out meanwhile.
#[test]
fn permit_expires_by_either_clock() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let permit = CallPermit::new(ms(50), now, wall, now + ms(2));
    assert!(!permit.is_valid(now + ms(51), wall + ms(51)));
    assert!(permit.is_valid(now + ms(52), wall + ms(52)));
    assert!(!permit.is_valid(now + ms(250), wall + ms(52)));
    assert!(!permit.is_valid(now + ms(52), wall + Duration::from_secs(3)));
    assert!(!permit.is_valid(now + ms(52), wall - Duration::from_secs(3)));
}

#[test]
fn rank_limit_holders_moves_only_the_limits_of_a_vm_that_leaves() {
    let vms: Vec<_> = (0..7).map(|vm| format!("vm-{vm}").into()).collect();
    for target in (0..50).map(|target| TargetId::from(format!("t-{target}"))) {
        let ranked = rank_limit_holders(&target, &vms);
        let fewer = rank_limit_holders(&target, &vms[..6]);
        let expected: Vec<_> = ranked.into_iter().filter(|vm| &**vm != "vm-6").collect();
        assert_eq!(fewer, expected);
    }
}

/// Guards against a fleet that sends a target more than its limit, or far less, whatever the number of VMs.
#[test]
fn limit_is_kept_and_used_by_fleets_of_any_size() {
    for (vms, per_second, demand) in [
        (1, 20.0, 60.0),
        (7, 20.0, 60.0),
        (7, 0.3, 5.0),
        (83, 2.0, 40.0),
        (295, 5.0, 60.0),
        (7, 300.0, 500.0),
    ] {
        let mut fleet = LimitFleet::new(vms, rate(per_second), demand, 1);
        fleet.advance(Duration::from_secs(14));
        assert_eq!(fleet.find_excess(), None, "{vms} VMs, {per_second} a second");
        let used = fleet.arrivals_after(Duration::from_secs(4)) as f64 / 10.0;
        assert!(used >= per_second * 0.75 - 0.1, "{vms} VMs, {per_second} a second: {used}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against histories of restarts, freezes, cuts, changed limits and lost messages that break the limit.
    #[test]
    fn limit_is_kept_in_any_history(
        vms in 1..32_usize,
        tenths in 3..400_u32,
        seed in 0..1_000_u64,
        steps in prop::collection::vec(LimitStep::any(), 1..20),
    ) {
        let mut fleet = LimitFleet::new(vms, rate(f64::from(tenths) / 10.0), 80.0, seed);
        for step in steps {
            fleet.apply(step);
        }
        fleet.advance(Duration::from_secs(6));
        prop_assert_eq!(fleet.find_excess(), None);
    }
}
