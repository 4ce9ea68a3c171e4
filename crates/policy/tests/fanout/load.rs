//! Budgets, backoff, hedging and queues under slow, shedding and failing targets.

use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;

use crate::baseline::warm_fleet;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

#[test]
fn budget_lets_load_recover_after_all_targets_were_slow() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.targets.values_mut().for_each(|target| target.base_time = ms(50));
    fleet.submit_every(2_000, 150, ms(20));
    fleet.targets.values_mut().for_each(|target| target.base_time = ms(10));
    fleet.submit_every(3_000, 50, ms(20));
    let sent = fleet.sent.len();
    fleet.submit_every(4_000, 100, ms(20));
    let whole =
        (4_000..4_100).filter(|query| fleet.result(*query).outcome == RequestOutcome::Answered);
    assert!(whole.count() >= 99, "answers should be complete again");
    assert!(
        fleet.sent.len() - sent <= 100 * 20 * 11 / 10,
        "the number of calls should be back to normal"
    );
}

#[test]
fn budget_bounds_retries_when_every_call_fails() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.targets.values_mut().for_each(|target| target.behaviour = Behaviour::Fail);
    let (primary, sent) = (fleet.primary_calls, fleet.sent.len() as u64);
    fleet.submit_every(2_000, 100, ms(5));
    let primary = fleet.primary_calls - primary;
    // A tenth of the new calls, and at most 100 calls saved up earlier.
    assert!(fleet.sent.len() as u64 - sent <= primary + primary / 10 + 100);
    assert!((2_000..2_100).all(|query| fleet.result(query).ran == RunState::Unknown));
}

#[test]
fn budget_reserves_calls_for_retries_beside_hedges() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    // Enough stragglers for hedges alone to use up the budget.
    fleet.targets.values_mut().for_each(|target| target.straggler_permille = 150);
    fleet.submit_every(2_000, 100, ms(20));
    fleet.targets.values_mut().for_each(|target| target.straggler_permille = 0);
    for shard in 0..10 {
        fleet.target(&format!("s{shard}r0")).behaviour = Behaviour::Fail;
    }
    fleet.submit_every(3_000, 50, ms(20));
    let whole =
        (3_000..3_050).filter(|query| fleet.result(*query).outcome == RequestOutcome::Answered);
    assert_eq!(whole.count(), 50, "every shard has a replica that answers");
}

#[test]
fn backoff_spends_one_retry_on_each_lost_target() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for shard in 0..10 {
        fleet.target(&format!("s{shard}r0")).behaviour = Behaviour::Fail;
    }
    let sent = fleet.sent.len();
    for query in 2_000..2_008 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
        fleet.advance(ms(10));
    }
    // All queries are submitted before the first probe is due. One more call may be in flight when
    // the first one fails.
    for shard in 0..10 {
        let lost = format!("s{shard}r0");
        let calls = fleet.sent[sent..].iter().filter(|sent| *sent.target == *lost).count();
        assert!(calls <= 2, "{calls} calls to {lost}");
    }
}

#[test]
fn hedge_stops_while_a_replica_sheds() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Refuse(RefusalCause::Shedding);
    }
    let plan = fleet.plan();
    fleet.submit(1, plan);
    fleet.advance(ms(250));
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Silent;
    }
    let plan = fleet.plan();
    fleet.submit(2, plan);
    fleet.advance(ms(250));
    let calls = fleet.sent.iter().filter(|sent| sent.query == 2 && sent.shard == 3);
    assert_eq!(calls.count(), 1);
}

#[test]
fn hedge_stops_without_budget() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 20, 2);
    fleet.extra_permille = 0;
    fleet.submit_every(1, 100, ms(10));
    assert_eq!(fleet.extra_calls, 0);
    assert_eq!(fleet.sent.len(), 2_000);
}

#[test]
fn queue_serves_interactive_before_deferrable() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 1);
    for query in 1..=2 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
    }
    for query in 3..=6 {
        let mut plan = fleet.plan();
        plan.priority =
            if query < 5 { ClassPriority::Deferrable } else { ClassPriority::Interactive };
        fleet.submit(query, plan);
    }
    fleet.advance(ms(300));
    let order: Vec<_> = fleet.sent.iter().map(|sent| sent.query).collect();
    assert_eq!(order, [1, 2, 5, 6, 3, 4]);
}

#[test]
fn submit_refuses_at_once_when_the_queues_are_full() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    for query in 1..=1_000 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
        if query > 200 {
            let result = fleet.result(query);
            assert_eq!(result.reason, FinishReason::TargetsBusy);
            assert_eq!(result.ran, RunState::No);
            assert!(result.retry_after.is_some());
        }
    }
    fleet.advance(ms(300));
    assert_eq!(fleet.finished.len(), 1_000);
    let whole = fleet.finished.values().filter(|(_, result)| result.documents_covered > 0);
    assert!(whole.count() >= 40, "queued calls are served while there is time");
}

#[test]
fn queue_drops_calls_that_can_no_longer_be_answered_in_time() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Silent;
    }
    for query in 1..=8 {
        let mut plan = fleet.plan();
        plan.coverage_floor_permille = 1_000;
        fleet.submit(query, plan);
    }
    fleet.advance(ms(300));
    let busy: Vec<_> =
        (1..=8).filter(|query| fleet.result(*query).reason == FinishReason::TargetsBusy).collect();
    assert!(!busy.is_empty());
    // A call takes about 7 ms, so a queued call is dropped that long before the answer margin of
    // 5 ms begins.
    assert!(busy.iter().all(|query| fleet.latency(*query) < ms(192)));
}
