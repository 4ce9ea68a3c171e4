//! Credit for extra calls: what earns it, what spends it, and what must not earn it twice.

use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RequestOutcome;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

/// Extra calls allowed, in thousandths of the primary calls: two queries pay for one extra call.
const EXTRA_PERMILLE: u32 = 500;

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
    fleet.engine.charge_repeated_run(&"library".into(), &retired, EXTRA_PERMILLE);

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

/// Sets how every target treats the calls that arrive from now on.
fn set_all(fleet: &mut FakeFleet, behaviour: Behaviour) {
    fleet.targets.values_mut().for_each(|target| target.behaviour = behaviour);
}
