//! Targets that drain, misreport their load, fail or disappear, and executor slots.

use oleanderwind_policy::ExecutorOutcome;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetPhase;

use crate::baseline::warm_fleet;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

#[test]
fn drain_stops_new_calls_and_counts_late_answers() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let plan = fleet.plan();
    fleet.submit(1, plan);
    let before = fleet.target("s3r0").received;
    fleet.engine.mark_draining(&"s3r0".into(), fleet.now);
    fleet.submit_every(2, 50, ms(10));
    assert_eq!(fleet.target("s3r0").received, before);
    assert_eq!(fleet.result(1).outcome, RequestOutcome::Answered);
}

#[test]
fn drain_notice_overrides_the_platform_list() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").draining = true;
    let before = fleet.target("s3r0").received;
    fleet.submit_every(1, 20, ms(250));
    assert_eq!(fleet.target("s3r0").received, before + 1, "the first answer reports the drain");
    let specs = fleet.specs.clone();
    fleet.engine.apply_targets(specs, fleet.now);
    fleet.submit_every(100, 50, ms(10));
    assert_eq!(fleet.target("s3r0").received, before + 1);
}

#[test]
fn drain_ends_when_the_platform_lists_the_target_ready_again() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let before = fleet.target("s3r0").received;
    fleet.engine.mark_draining(&"s3r0".into(), fleet.now);
    for phase in [TargetPhase::Draining, TargetPhase::Ready] {
        let mut specs = fleet.specs.clone();
        specs.iter_mut().filter(|spec| &*spec.target == "s3r0").for_each(|spec| spec.phase = phase);
        fleet.engine.apply_targets(specs, fleet.now);
    }
    fleet.submit_every(1, 50, ms(10));
    assert!(fleet.target("s3r0").received > before);
}

#[test]
fn drain_notice_applies_to_a_target_that_is_not_listed_yet() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    let mut engine = FanoutEngine::new(FanoutSettings::default());
    engine.mark_draining(&"s0r0".into(), fleet.now);
    engine.apply_targets(fleet.specs.clone(), fleet.now);
    fleet.engine = engine;
    fleet.submit_every(1, 20, ms(20));
    assert_eq!((fleet.target("s0r0").received, fleet.target("s0r1").received), (0, 20));
}

#[test]
fn drain_moves_queued_calls_to_another_replica() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    for query in 1..=10 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
    }
    fleet.engine.mark_draining(&"s0r0".into(), fleet.now);
    fleet.advance(ms(300));
    assert!((1..=10).all(|query| fleet.result(query).outcome == RequestOutcome::Answered));
    assert_eq!(fleet.target("s0r0").received, 2);
}

#[test]
fn reported_load_alone_does_not_stop_calls_to_a_target() {
    for misreporting in [vec!["s3r0"], vec!["s3r0", "s3r1"]] {
        let mut fleet = warm_fleet(FanoutSettings::default());
        for name in &misreporting {
            fleet.target(name).reported_load =
                Some(LoadReport { busy: 2, queued: 9_999, slots: 2 });
        }
        fleet.submit_every(1, 200, ms(8));
        let whole = (1..=200).filter(|query| fleet.result(*query).reason == FinishReason::Complete);
        assert_eq!(whole.count(), 200, "misreporting {misreporting:?}");
        for query in 300..304 {
            let plan = fleet.plan();
            fleet.submit(query, plan);
        }
        let at_once =
            fleet.sent.iter().filter(|sent| (300..304).contains(&sent.query) && sent.shard == 3);
        assert_eq!(at_once.count(), 4, "each replica keeps a window of two calls, its slots");
    }
}

#[test]
fn reported_idleness_does_not_attract_calls_to_a_slow_target() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").reported_load = Some(LoadReport { busy: 0, queued: 0, slots: 2 });
    fleet.target("s3r0").base_time = ms(60);
    let before = (fleet.target("s3r0").received, fleet.target("s3r1").received);
    fleet.submit_every(1, 200, ms(20));
    let slow = fleet.target("s3r0").received - before.0;
    let quick = fleet.target("s3r1").received - before.1;
    assert!(slow * 3 < quick, "slow {slow}, quick {quick}");
}

#[test]
fn backoff_probes_a_failing_target_with_few_calls() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").behaviour = Behaviour::Fail;
    let before = fleet.target("s3r0").received;
    fleet.submit_every(1, 200, ms(10));
    let received = fleet.target("s3r0").received - before;
    // Three calls until the target counts as failing, then probes after 100, 200, 400, 800 and
    // 1,600 ms.
    assert!(received <= 3 + 5, "received {received}");
    fleet.target("s3r0").behaviour = Behaviour::Serve;
    fleet.advance(ms(5_000));
    let before = fleet.target("s3r0").received;
    fleet.submit_every(1_000_000, 100, ms(10));
    assert!(fleet.target("s3r0").received - before > 10, "the recovered target gets calls again");
}

#[test]
fn backoff_probes_a_silent_target_whose_calls_all_lose_to_hedges() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").behaviour = Behaviour::Silent;
    let before = fleet.target("s3r0").received;
    fleet.submit_every(1, 200, ms(10));
    let received = fleet.target("s3r0").received - before;
    // As for a failing target, and two more that are in flight when it is found to be failing.
    assert!(received <= 3 + 5 + 2, "received {received}");
}

#[test]
fn backoff_uses_failing_targets_if_no_other_is_usable() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Fail;
    }
    fleet.submit_every(1, 20, ms(10));
    for name in ["s3r0", "s3r1"] {
        fleet.target(name).behaviour = Behaviour::Serve;
    }
    let plan = fleet.plan();
    fleet.submit(100, plan);
    fleet.advance(ms(250));
    assert_eq!(fleet.result(100).outcome, RequestOutcome::Answered);
}

#[test]
fn submit_gives_up_at_once_when_all_replicas_are_lost() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 4, 2);
    let mut specs = fleet.specs.clone();
    specs.retain(|spec| !spec.target.starts_with("s3"));
    specs
        .iter_mut()
        .filter(|spec| spec.target.starts_with("s2"))
        .for_each(|spec| spec.phase = TargetPhase::Draining);
    fleet.engine.apply_targets(specs, fleet.now);
    let mut plan = fleet.plan();
    plan.coverage_floor_permille = 501;
    fleet.submit(1, plan);
    let result = fleet.result(1);
    assert_eq!((result.reason, result.ran), (FinishReason::ShardLost, RunState::No));
    assert!(result.retry_after.is_some() && fleet.sent.is_empty());
    let plan = fleet.plan();
    fleet.submit(2, plan);
    fleet.advance(ms(250));
    assert_eq!(fleet.result(2).documents_covered, 2_000);
    assert_eq!(fleet.result(2).retry_after, None);
}

#[test]
fn pick_executor_reserves_slots_and_release_frees_them() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 3);
    let (service, provider) = (ServiceId::from("courses"), ProviderId::from("east"));
    let now = fleet.now;
    let picks: Vec<_> =
        std::iter::from_fn(|| fleet.engine.pick_executor(&service, &provider, now)).collect();
    assert_eq!(picks.len(), 6, "three targets with two slots");
    fleet.engine.mark_draining(&picks[0], now);
    for target in &picks {
        fleet.engine.release_executor(target, ExecutorOutcome::NotSent, now);
    }
    let again: Vec<_> =
        std::iter::from_fn(|| fleet.engine.pick_executor(&service, &provider, now)).collect();
    assert_eq!(again.len(), 4);
    assert!(!again.contains(&picks[0]));
    assert_eq!(fleet.engine.pick_executor(&service, &"west".into(), now), None);
}

#[test]
fn target_whose_first_call_was_slow_is_tried_again() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    fleet.target("s0r0").base_time = ms(100);
    fleet.submit_every(1, 20, ms(100));
    let before = fleet.target("s0r0").received;
    assert!(before > 0, "the slow target must get a first call");
    fleet.target("s0r0").base_time = ms(10);
    fleet.submit_every(100, 300, ms(100));
    let received = fleet.target("s0r0").received - before;
    assert!(received >= 30, "only {received} of 300 calls after it recovered");
}

#[test]
fn target_seen_once_while_cold_is_tried_again_within_two_seconds() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    fleet.target("s0r0").base_time = ms(20);
    fleet.target("s0r1").base_time = ms(4);
    while fleet.target("s0r0").received == 0 {
        let id = 1 + u64::from(fleet.target("s0r1").received);
        fleet.submit_every(id, 1, ms(20));
    }
    let before = fleet.target("s0r0").received;
    fleet.target("s0r0").base_time = ms(4);
    fleet.submit_every(100, 100, ms(20));
    let received = fleet.target("s0r0").received - before;
    assert!(received >= 10, "only {received} of 100 calls within two seconds");
}
