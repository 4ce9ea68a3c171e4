//! Tests of the quotas of organisations: what one VM issues and admits, and fleets in virtual time.
#![allow(clippy::unwrap_used)]

#[path = "quota/fleet.rs"]
mod fleet;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::QuotaAnswer;
use oleanderwind_policy::QuotaDecision;
use oleanderwind_policy::QuotaGrant;
use oleanderwind_policy::QuotaHolder;
use oleanderwind_policy::QuotaReach;
use oleanderwind_policy::QuotaRole;
use oleanderwind_policy::QuotaSettings;
use oleanderwind_policy::QuotaTable;
use oleanderwind_policy::QuotaVm;
use oleanderwind_policy::RequestQuota;
use proptest::prelude::*;

use crate::fleet::QuotaFleet;
use crate::fleet::QuotaStep;

const QUOTA: RequestQuota = RequestQuota { requests_per_second: 10.0, burst: 8.0 };

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn vm(name: &str, processor_millicores: u32) -> QuotaVm {
    QuotaVm {
        vm: name.into(),
        processor_millicores,
        is_heard: true,
        is_reached: true,
        is_serving: true,
    }
}

/// Guards against a holder whose predecessor has issued the burst, and that issues it again.
#[test]
fn issue_starts_with_part_of_the_slack() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut holder = QuotaHolder::new(QuotaSettings::default(), "a".into(), now, wall);
    holder.set_view(&[vm("a", 500)], now, wall);
    let grant = holder.issue(&"o".into(), &QUOTA, 50, QuotaRole::Holder, now, wall).unwrap();
    assert_eq!(grant.granted, 4);
    assert!(grant.retry_after > Duration::ZERO);
}

/// Guards against a bucket that fills up while another VM issues the quota.
#[test]
fn issue_after_a_freeze_starts_empty() {
    let (mut now, mut wall) = (Instant::now(), SystemTime::now());
    let mut holder = QuotaHolder::new(QuotaSettings::default(), "a".into(), now, wall);
    holder.set_view(&[vm("a", 500)], now, wall);
    holder.issue(&"o".into(), &QUOTA, 50, QuotaRole::Holder, now, wall).unwrap();
    // Its steady clock stands still while it is suspended.
    now += ms(1);
    wall += ms(60_000);
    let grant = holder.issue(&"o".into(), &QUOTA, 50, QuotaRole::Holder, now, wall).unwrap();
    assert_eq!(grant.granted, 0);
}

#[test]
fn issue_is_left_to_the_holder_in_the_view() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let vms = [vm("a", 500), vm("b", 500), vm("c", 120)];
    let mut holders = Vec::new();
    for own in ["a", "b", "c"] {
        let mut holder = QuotaHolder::new(QuotaSettings::default(), own.into(), now, wall);
        holder.set_view(&vms, now, wall);
        if holder.issue(&"o".into(), &QUOTA, 1, QuotaRole::Holder, now, wall).is_some() {
            holders.push(own);
        }
        assert!(!holder.holders(&"o".into()).contains(&"c".into()));
    }
    assert_eq!(holders.len(), 1);
}

#[test]
fn reach_counts_vms_as_callers_use_them() {
    let lost = |name: &str, millicores: u32| QuotaVm { is_reached: false, ..vm(name, millicores) };
    let unheard = QuotaVm { is_heard: false, ..lost("d", 0) };
    let near = |value: f64, expected: f64| assert!((value - expected).abs() < 1e-9, "{value}");
    let all = QuotaReach::of(&"a".into(), &[vm("a", 500), vm("b", 120)]);
    near(all.reached, 1.0);
    near(all.own, 1.0 / 1.1);
    near(QuotaReach::of(&"a".into(), &[vm("a", 500), lost("b", 500)]).reached, 0.5);
    near(QuotaReach::of(&"a".into(), &[vm("a", 500), lost("b", 120)]).reached, 1.0 / 1.1);
    near(QuotaReach::of(&"a".into(), &[vm("a", 500), unheard]).reached, 0.5);
}

#[test]
fn admit_takes_back_the_token_of_a_request_that_did_not_run() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut table = QuotaTable::new(QuotaSettings::default());
    let organisation = "o".into();
    assert_eq!(table.admit(&organisation, QUOTA, 1.0, now, wall), QuotaDecision::Waits);
    assert_eq!(table.start_asking(&organisation, now), Some(1));
    assert_eq!(table.start_asking(&organisation, now), None);
    let grant = QuotaGrant { granted: 1, ..QuotaGrant::default() };
    table.finish_asking(&organisation, QuotaAnswer::Granted(grant), now, wall, now);
    let QuotaDecision::Admitted(token) = table.decide(&organisation, 1.0, now, wall) else {
        panic!("not admitted")
    };
    table.give_back(&organisation, token, now + ms(10), wall + ms(10));
    let again = table.admit(&organisation, QUOTA, 1.0, now + ms(20), wall + ms(20));
    assert_eq!(again, QuotaDecision::Admitted(token));
    table.give_back(&organisation, token, now + ms(300), wall + ms(300));
    let late = table.admit(&organisation, QUOTA, 1.0, now + ms(300), wall + ms(300));
    assert_eq!(late, QuotaDecision::Waits, "its time to be used has ended");
}

/// Guards against refused callers that all come back at the same moment.
#[test]
fn admit_tells_refused_requests_ascending_times() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut table = QuotaTable::new(QuotaSettings::default());
    let organisation = "o".into();
    table.admit(&organisation, QUOTA, 0.5, now, wall);
    table.start_asking(&organisation, now);
    let grant = QuotaGrant { granted: 0, retry_after: ms(100), left: 0.0 };
    table.finish_asking(&organisation, QuotaAnswer::Granted(grant), now, wall, now);
    let mut told = || match table.admit(&organisation, QUOTA, 0.5, now, wall) {
        QuotaDecision::Refused(refusal) => refusal.retry_after,
        decision => panic!("{decision:?}"),
    };
    assert_eq!([told(), told(), told()], [ms(100), ms(300), ms(500)]);
}

/// The parts of what is asked under the limit, and of the limit under double demand, that are admitted.
fn admitted_in_calm(vms: usize, per_second: f64) -> (f64, f64) {
    let quota = RequestQuota { requests_per_second: per_second, burst: per_second.max(4.0) };
    let mut calm = QuotaFleet::new(vms, quota, per_second / 1.6, 7);
    calm.run(ms(40_000));
    calm.assert_within_bound();
    let mut double = QuotaFleet::new(vms, quota, per_second * 2.0, 7);
    double.run(ms(40_000));
    double.assert_within_bound();
    println!(
        "{vms} VMs, {per_second}/s: calls for each request {:.3} in calm, {:.3} under double demand",
        calm.calls_per_request(),
        double.calls_per_request()
    );
    let limit = per_second * 40.0 * 0.9;
    (calm.admitted() as f64 / calm.asked() as f64, double.admitted() as f64 / limit)
}

#[test]
fn fleet_admits_what_lies_under_the_limit() {
    let rates = [0.3, 3.0, 16.0, 50.0, 200.0];
    let fleets = [1, 7, 66, 295].into_iter().flat_map(|vms| rates.map(|rate| (vms, rate)));
    for (vms, per_second) in fleets.chain([(7, 430.0), (7, 2_000.0)]) {
        let (calm, double) = admitted_in_calm(vms, per_second);
        println!("{vms} VMs, {per_second}/s: calm {calm:.3}, double {double:.3}");
        assert!(calm >= 0.9, "{vms} VMs, {per_second}/s: {calm:.3} of the demand in calm");
        assert!(double >= 1.0, "{vms} VMs, {per_second}/s: {double:.3} of 0.9 of the limit");
    }
}

/// Guards against a fleet that issues the burst twice after a loss of power.
#[test]
fn fleet_keeps_the_bound_after_a_loss_of_power() {
    for vms in [1, 7, 66, 295] {
        let quota = RequestQuota { requests_per_second: 10.0, burst: 100.0 };
        // Its bucket is full when it begins to ask more than its quota.
        let mut fleet = QuotaFleet::new(vms, quota, 1.0, 3);
        for _ in 0..3 {
            fleet.step(QuotaStep::Demand { tenths: 1 });
            fleet.run(ms(20_000));
            fleet.step(QuotaStep::Demand { tenths: 200 });
            fleet.run(ms(1_000));
            fleet.step(QuotaStep::PowerOff { down: ms(900) });
            fleet.run(ms(6_000));
        }
        fleet.assert_within_bound();
    }
}

/// Guards against an organisation that is refused whenever its holder leaves.
#[test]
fn fleet_admits_demand_through_planned_stops() {
    for vms in [7, 66] {
        let quota = RequestQuota { requests_per_second: 20.0, burst: 20.0 };
        let mut fleet = QuotaFleet::new(vms, quota, 12.5, 5);
        for vm in 0..7 {
            fleet.run(ms(4_000));
            fleet.step(QuotaStep::PlannedStop { vm });
        }
        fleet.run(ms(10_000));
        fleet.assert_within_bound();
        let admitted = fleet.admitted() as f64 / fleet.asked() as f64;
        println!("{vms} VMs: {admitted:.3} of the demand through planned stops");
        assert!(admitted >= 0.9, "{vms} VMs: {admitted:.3}");
    }
}

fn any_history() -> impl Strategy<Value = (usize, u32, u32, u64, Vec<QuotaStep>)> {
    let vms = prop_oneof![Just(1_usize), Just(7), Just(66), Just(295)];
    (vms, 3..600_u32, 5..60_u32, any::<u64>(), prop::collection::vec(QuotaStep::any(), 1..14))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// No history of the fleet lets more than the bound run in any window.
    #[test]
    fn fleet_keeps_the_bound_in_every_history(
        (vms, tenths, demand_tenths, seed, steps) in any_history()
    ) {
        let per_second = f64::from(tenths) / 10.0;
        let quota = RequestQuota { requests_per_second: per_second, burst: per_second * 2.0 };
        let demand = (per_second * f64::from(demand_tenths) / 10.0).min(250.0);
        let mut fleet = QuotaFleet::new(vms, quota, demand, seed);
        fleet.run(ms(6_000));
        for step in steps {
            fleet.step(step);
        }
        fleet.run(ms(6_000));
        fleet.assert_within_bound();
    }
}
