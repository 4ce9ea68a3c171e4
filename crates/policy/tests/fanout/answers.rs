//! When a query finishes, and what its result reports.

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::HedgePolicy;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;

use crate::baseline::warm_fleet;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

/// Returns a warmed-up fleet without hedging, with shard 3 silent and one query submitted.
fn fleet_with_a_silent_shard(preference: AnswerPreference) -> FakeFleet {
    let mut settings = FanoutSettings::default();
    settings.hedge = HedgePolicy::None;
    let mut fleet = warm_fleet(settings);
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Silent;
    }
    let mut plan = fleet.plan();
    plan.preference = preference;
    plan.coverage_floor_permille = 950;
    fleet.submit(1, plan);
    fleet
}

#[test]
fn latency_preference_finishes_at_the_floor_once_missing_shards_are_late() {
    let mut fleet = fleet_with_a_silent_shard(AnswerPreference::Latency);
    fleet.advance(ms(300));
    assert_eq!(fleet.result(1).reason, FinishReason::FloorMet);
    assert_eq!(fleet.result(1).documents_covered, 19_000);
    assert!(fleet.latency(1) < ms(60), "took {:?}", fleet.latency(1));
}

#[test]
fn latency_preference_waits_for_the_hedge_of_a_late_shard() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for query in 1..=8 {
        let plan = FanoutPlan {
            preference: AnswerPreference::Latency,
            coverage_floor_permille: 950,
            ..fleet.plan()
        };
        fleet.target("s3r0").behaviour = Behaviour::Silent;
        fleet.target("s3r1").behaviour = Behaviour::Silent;
        let sent = fleet.sent.len();
        fleet.submit(query, plan);
        let first = fleet.sent[sent..].iter().find(|sent| sent.shard == 3).cloned().unwrap();
        let other = if &*first.target == "s3r0" { "s3r1" } else { "s3r0" };
        fleet.target(other).behaviour = Behaviour::Serve;
        fleet.advance(ms(300));
        let hedges = fleet.sent[sent..].iter().filter(|sent| sent.shard == 3).count();
        assert_eq!(hedges, 2, "the late shard was hedged");
        assert_eq!(fleet.result(query).reason, FinishReason::Complete, "query {query}");
        assert!(fleet.latency(query) < ms(150));
    }
}

#[test]
fn coverage_preference_waits_for_the_last_shard() {
    let mut fleet = fleet_with_a_silent_shard(AnswerPreference::Coverage);
    fleet.advance(ms(100));
    assert!(!fleet.finished.contains_key(&1));
    fleet.advance(ms(100));
    assert_eq!(fleet.result(1).reason, FinishReason::DeadlineNear);
    assert_eq!(fleet.result(1).retry_after, None, "the floor is met");
}

#[test]
fn submit_past_the_deadline_sends_nothing() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let sent = fleet.sent.len();
    let mut plan = fleet.plan();
    plan.deadline = fleet.now;
    fleet.submit(1, plan);
    assert_eq!(fleet.result(1).reason, FinishReason::DeadlineNear);
    assert_eq!((fleet.result(1).ran, fleet.sent.len()), (RunState::No, sent));
}

#[test]
fn submit_with_too_little_time_sends_nothing() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let sent = fleet.sent.len();
    let mut plan = fleet.plan();
    plan.deadline = fleet.now + ms(5);
    fleet.submit(1, plan);
    assert_eq!(fleet.result(1).reason, FinishReason::DeadlineNear);
    assert_eq!(fleet.sent.len(), sent);
}

#[test]
fn coverage_counts_the_documents_of_partial_answers() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Partial(417);
    }
    let plan = fleet.plan();
    fleet.submit(1, plan);
    fleet.advance(ms(300));
    let result = fleet.result(1);
    assert_eq!(result.documents_covered, 19_417);
    assert_eq!((result.reason, result.outcome), (FinishReason::Complete, RequestOutcome::Partial));
}

#[test]
fn shard_lost_for_lack_of_budget_keeps_the_answers_of_the_others() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 20, 2);
    fleet.extra_permille = 0;
    fleet.target("s3r0").behaviour = Behaviour::Refuse(RefusalCause::SnapshotUnknown);
    fleet.submit_every(1, 20, ms(20));
    let is_refused = |query: &u64| fleet.result(*query).outcome != RequestOutcome::Answered;
    let refused: Vec<u64> = (1..=20).filter(is_refused).collect();
    assert!(!refused.is_empty(), "some first calls should go to the replica without the snapshot");
    for query in refused {
        let result = fleet.result(query);
        assert_eq!((result.outcome, result.shards_answered), (RequestOutcome::Partial, 19));
        assert_eq!(
            result.reason,
            FinishReason::SnapshotRetired,
            "a newer snapshot may be complete"
        );
    }
}

#[test]
fn ran_is_unknown_after_a_cancelled_call() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 2, 1);
    fleet.target("s0r0").behaviour = Behaviour::Silent;
    fleet.target("s1r0").behaviour = Behaviour::Refuse(RefusalCause::Draining);
    let mut plan = fleet.plan();
    plan.coverage_floor_permille = 1_000;
    fleet.submit(1, plan);
    fleet.advance(ms(2));
    assert_eq!((fleet.result(1).ran, fleet.cancelled.len()), (RunState::Unknown, 1));
}

#[test]
fn abandon_cancels_every_open_call() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 20, 2);
    let plan = fleet.plan();
    fleet.submit(1, plan.clone());
    fleet.submit(1, plan);
    assert_eq!(fleet.sent.len(), 20, "a repeated submit is ignored");
    fleet.abandon(1);
    fleet.abandon(1);
    assert_eq!(fleet.cancelled.len(), 20);
    assert_eq!(fleet.result(1).reason, FinishReason::Abandoned);
    fleet.advance(ms(300));
    assert_eq!(fleet.engine.next_wake(), None);
}
