//! Basic behaviour: hedges, retries, the answer margin, early finish, and counting answers once.

use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

/// Returns a fleet of 20 shards with 2 replicas that has served 30 queries.
pub(crate) fn warm_fleet(settings: FanoutSettings) -> FakeFleet {
    let mut fleet = FakeFleet::new(settings, 20, 2);
    fleet.submit_every(1_000, 30, ms(20));
    fleet
}

#[test]
fn submit_hedges_a_straggler_and_cancels_the_loser() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let sent = fleet.sent.len();
    let plan = fleet.plan();
    fleet.target("s3r0").behaviour = Behaviour::Silent;
    fleet.target("s3r1").behaviour = Behaviour::Silent;
    fleet.submit(1, plan);
    let primary = fleet.sent[sent..].iter().find(|sent| sent.shard == 3).cloned().unwrap();
    let other = if &*primary.target == "s3r0" { "s3r1" } else { "s3r0" };
    fleet.target(other).behaviour = Behaviour::Serve;
    fleet.advance(ms(300));
    assert_eq!(fleet.result(1).outcome, RequestOutcome::Answered);
    assert!(fleet.cancelled.contains(&primary.call));
    assert!(fleet.latency(1) < ms(150));
}

#[test]
fn handle_retries_a_failed_call_on_another_replica() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").behaviour = Behaviour::Fail;
    for query in 1..=10 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
        fleet.advance(ms(250));
        assert_eq!(fleet.result(query).outcome, RequestOutcome::Answered, "query {query}");
    }
}

#[test]
fn wake_answers_with_a_margin_before_the_deadline() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").behaviour = Behaviour::Silent;
    fleet.target("s3r1").behaviour = Behaviour::Silent;
    let plan = fleet.plan();
    fleet.submit(1, plan);
    fleet.advance(ms(300));
    assert_eq!(fleet.result(1).reason, FinishReason::DeadlineNear);
    assert_eq!(fleet.result(1).documents_covered, 19_000);
    assert!(fleet.latency(1) < ms(200), "took {:?}", fleet.latency(1));
}

#[test]
fn handle_finishes_as_soon_as_the_floor_is_out_of_reach() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 20, 1);
    fleet.target("s3r0").behaviour = Behaviour::Refuse(RefusalCause::Draining);
    let mut plan = fleet.plan();
    plan.coverage_floor_permille = 1_000;
    fleet.submit(1, plan);
    fleet.advance(ms(2));
    let result = fleet.result(1);
    assert_eq!(result.reason, FinishReason::ShardLost);
    assert!(result.retry_after.is_some());
}

/// Returns the result of a query whose calls are all refused with `cause`.
fn refused_result(cause: RefusalCause) -> FanoutResult {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 4, 1);
    for shard in 0..4 {
        fleet.target(&format!("s{shard}r0")).behaviour = Behaviour::Refuse(cause);
    }
    let mut plan = fleet.plan();
    plan.coverage_floor_permille = 1;
    fleet.submit(1, plan);
    fleet.advance(ms(300));
    fleet.result(1).clone()
}

#[test]
fn handle_reports_not_run_when_every_call_was_refused() {
    let result = refused_result(RefusalCause::Draining);
    assert_eq!((result.ran, result.outcome), (RunState::No, RequestOutcome::NotRun));
}

#[test]
fn handle_reports_unknown_when_a_run_may_have_been_cut_short() {
    for cause in [RefusalCause::DeadlinePassed, RefusalCause::Cancelled] {
        let result = refused_result(cause);
        assert_eq!((result.ran, result.outcome), (RunState::Unknown, RequestOutcome::Unknown));
    }
}

#[test]
fn handle_reports_the_snapshot_retired_when_all_replicas_refuse_it() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for target in ["s3r0", "s3r1"] {
        fleet.target(target).behaviour = Behaviour::Refuse(RefusalCause::SnapshotUnknown);
    }
    let plan = fleet.plan();
    fleet.submit(1, plan);
    fleet.advance(ms(300));
    assert_eq!(fleet.result(1).reason, FinishReason::SnapshotRetired);
}

#[test]
fn submit_keeps_open_calls_within_the_connection_budget() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 4, 2);
    fleet.budget = 3;
    for spec in fleet.specs.clone() {
        fleet.engine.set_connection_budget(&spec.target, 3);
    }
    for query in 1..=40 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
    }
    fleet.advance(ms(400));
    assert_eq!(fleet.finished.len(), 40);
}

#[test]
fn handle_counts_no_more_documents_than_the_shard_has() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 2, 1);
    let plan = fleet.plan();
    fleet.submit(1, plan);
    let calls: Vec<_> = fleet.sent.iter().map(|sent| sent.call).collect();
    let load = LoadReport::default();
    let event = FanoutEvent::Answered { call: calls[0], documents: 9, load, draining: false };
    let mut actions = Vec::new();
    fleet.engine.handle(event.clone(), fleet.now, &mut actions);
    fleet.engine.handle(event, fleet.now, &mut actions);
    assert_eq!(actions.len(), 1, "a duplicate answer is ignored");
    let event = FanoutEvent::Answered { call: calls[1], documents: 5_000, load, draining: false };
    fleet.engine.handle(event, fleet.now, &mut actions);
    let covered = actions.iter().find_map(|action| match action {
        oleanderwind_policy::FanoutAction::Finish { result, .. } => Some(result.documents_covered),
        _ => None,
    });
    assert_eq!(covered, Some(1_009));
}
