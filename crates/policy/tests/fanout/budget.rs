//! Credit for extra calls: what earns it, what spends it, and what must not earn it twice.

use std::collections::HashSet;
use std::time::Duration;

use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::BudgetOwner;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::ServiceId;

use crate::budget_window::CALL_PERMILLE;
use crate::budget_window::max_window_excess;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

/// Extra calls allowed, in thousandths of the primary calls: two queries pay for one extra call.
const EXTRA_PERMILLE: u32 = 500;
/// Extra calls to a service in any window beyond the share of a VM's primary calls.
const SHARE: u32 = 16;

/// Pattern: targets that refuse connections while others lose calls, so that the credit of a call
/// that was never sent is spent before its end is known.
#[test]
fn unsent_call_that_is_sent_again_earns_credit_once() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 3);
    fleet.extra_permille = EXTRA_PERMILLE;

    set_all(&mut fleet, Behaviour::Fail);
    let failed_first = fleet.plan();
    fleet.submit(1, failed_first);
    set_all(&mut fleet, Behaviour::Unreachable);
    let unsent = fleet.plan();
    fleet.submit(2, unsent);
    set_all(&mut fleet, Behaviour::Serve);
    // Query 1 fails first and spends the credit of both; then the call of query 2 comes back
    // unsent and is sent again.
    fleet.advance(ms(1));
    assert_eq!(fleet.extra_calls, 1);
    fleet.advance(ms(100));
    assert_eq!(fleet.result(2).outcome, RequestOutcome::Answered);

    set_all(&mut fleet, Behaviour::Fail);
    let failed_last = fleet.plan();
    fleet.submit(3, failed_last);
    fleet.advance(ms(400));
    assert_eq!(fleet.extra_calls, 1, "three primary calls at {EXTRA_PERMILLE} permille");
}

/// Pattern: an index is cut anew, and queries on the retired snapshot are run again.
#[test]
fn repeated_run_is_paid_for_by_later_queries() {
    const SHARDS: u32 = 4;
    let mut fleet = FakeFleet::new(FanoutSettings::default(), SHARDS, 2);
    fleet.extra_permille = EXTRA_PERMILLE;
    fleet.submit_every(1, 2, ms(400));

    set_all(&mut fleet, Behaviour::Refuse(RefusalCause::SnapshotUnknown));
    fleet.submit_every(3, 1, ms(400));
    let retired = fleet.result(3).clone();
    assert_eq!(retired.reason, FinishReason::SnapshotRetired);
    fleet.engine.charge_repeated_run(&"library".into(), &retired, EXTRA_PERMILLE, fleet.now);

    // Each shard of the second run and of the queries after it would use a retry.
    set_all(&mut fleet, Behaviour::Fail);
    fleet.submit_every(4, 4, ms(400));
    let queries = [1, 2, 4, 5, 6, 7];
    let extra_calls: u32 = queries.iter().map(|query| fleet.result(*query).extra_calls).sum();
    let primary_calls = queries.len() as u32 * SHARDS;
    assert!(
        (retired.calls_sent + extra_calls) * 1_000 <= primary_calls * EXTRA_PERMILLE,
        "{} calls of the retired run and {extra_calls} extra calls",
        retired.calls_sent
    );
}

/// Settings of a VM of a large fleet: its share of the slack is a few calls.
fn large_fleet_settings() -> FanoutSettings {
    let mut settings = FanoutSettings::default();
    settings.service_share = SHARE;
    settings.answer_margin = ms(15);
    settings
}

/// Returns a plan with an objective, charged to a service for each shard.
fn service_plan(fleet: &FakeFleet) -> FanoutPlan {
    let shards = 0..fleet.manifest.shards.len();
    let services: Vec<ServiceId> = shards.map(|shard| format!("s{shard}").into()).collect();
    FanoutPlan {
        objective: Some(fleet.now + ms(100)),
        extra_load_permille: 200,
        attempt_policy: AttemptPolicy {
            budget: BudgetOwner::Services(services.into()),
            ..AttemptPolicy::default()
        },
        ..fleet.plan()
    }
}

/// Pattern: hundreds of VMs share the traffic, so that each has few queries, and targets are slow
/// at the first of them.
#[test]
fn hedges_are_affordable_at_the_first_queries_of_a_vm() {
    let mut fleet = FakeFleet::new(large_fleet_settings(), 6, 3);
    fleet.engine.set_service_share(SHARE, fleet.now);
    // A VM starts some seconds before callers learn of it.
    fleet.advance(ms(14_000));
    for shard in 0..6 {
        fleet.target(&format!("s{shard}r0")).behaviour = Behaviour::Silent;
    }
    for query in 0..8 {
        let plan = service_plan(&fleet);
        fleet.submit(query, plan);
        fleet.advance(ms(430));
    }
    let whole = (0..8).filter(|query| fleet.result(*query).outcome == RequestOutcome::Answered);
    assert_eq!(whole.count(), 8, "every shard has two replicas that answer in time");
}

/// Pattern: every VM is killed and restarted while all calls fail. The slack holds in each window.
#[test]
fn restart_does_not_exceed_the_share_of_the_slack() {
    let mut events = Vec::new();
    let mut offset = Duration::ZERO;
    for process in 0..2 {
        let mut fleet = FakeFleet::new(large_fleet_settings(), 1, 3);
        fleet.engine.set_service_share(SHARE, fleet.now);
        // The first process saves up all that it may; the second one is used at once.
        if process == 0 {
            fleet.advance(ms(20_000));
        }
        set_all(&mut fleet, Behaviour::Fail);
        for query in 0..100 {
            let plan = service_plan(&fleet);
            fleet.submit(query, plan);
            fleet.advance(ms(40));
        }
        let mut seen = HashSet::new();
        let change = |query| if seen.insert(query) { -200 } else { CALL_PERMILLE };
        let times: Vec<(Duration, QueryId)> =
            fleet.sent.iter().map(|sent| (offset + (sent.at - fleet.start), sent.query)).collect();
        let changes: Vec<i64> = times.iter().map(|(_, query)| *query).map(change).collect();
        events.extend(times.iter().map(|(at, _)| *at).zip(changes));
        offset += fleet.now - fleet.start;
    }
    let excess = max_window_excess(events);
    // One more call for rounding: an empty budget may hold a fraction of a call.
    assert!(excess <= i64::from(SHARE) + 1, "{excess} extra calls beyond the share of {SHARE}");
}

/// Sets how every target treats the calls that arrive from now on.
fn set_all(fleet: &mut FakeFleet, behaviour: Behaviour) {
    fleet.targets.values_mut().for_each(|target| target.behaviour = behaviour);
}
