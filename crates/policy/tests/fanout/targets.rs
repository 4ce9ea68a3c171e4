//! Targets that drain, misreport their load, fail or disappear, and executor slots.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderwind_policy::ExecutorOutcome;
use oleanderwind_policy::FanoutAction;
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

/// Pattern: a restored store, or one that this VM can't reach, lists a target as ready that said
/// itself that it leaves.
#[test]
fn leaving_target_gets_no_calls_whatever_the_platform_lists() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let before = fleet.target("s3r0").received;
    assert!(fleet.engine.mark_leaving(&"s3r0".into(), 0, fleet.now));
    assert!(!fleet.engine.mark_leaving(&"s3r0".into(), 0, fleet.now), "known already");
    let ready = fleet.specs.clone();
    let mut draining = ready.clone();
    draining.iter_mut().for_each(|spec| spec.phase = TargetPhase::Draining);
    let unlisted: Vec<_> = ready.iter().filter(|spec| &*spec.target != "s3r0").cloned().collect();
    for specs in [&ready, &draining, &ready, &unlisted, &ready] {
        fleet.engine.apply_targets(specs.clone(), fleet.now);
    }
    fleet.submit_every(1, 50, ms(10));
    assert_eq!(fleet.target("s3r0").received, before);
    assert!((1..=50).all(|query| fleet.result(query).reason == FinishReason::Complete));
}

#[test]
fn leaving_applies_to_one_process_of_a_target() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    let list = |fleet: &mut FakeFleet, incarnation: u64, address: &str| {
        let mut specs = fleet.specs.clone();
        let target = specs.iter_mut().find(|spec| &*spec.target == "s3r0").unwrap();
        (target.incarnation, target.address) = (incarnation, address.parse().unwrap());
        fleet.engine.apply_targets(specs, fleet.now);
    };
    list(&mut fleet, 7, "127.0.0.1:7");
    fleet.engine.mark_leaving(&"s3r0".into(), 7, fleet.now);
    list(&mut fleet, 6, "127.0.0.1:6");
    let before = fleet.target("s3r0").received;
    fleet.submit_every(1, 20, ms(10));
    assert_eq!(fleet.target("s3r0").received, before, "an entry of an earlier process");
    list(&mut fleet, 8, "127.0.0.1:8");
    fleet.submit_every(100, 20, ms(10));
    assert!(fleet.target("s3r0").received > before, "a later process serves");
}

/// Pattern: the one target of a shard leaves. Callers must not wait for it until their deadline.
#[test]
fn leaving_last_target_of_a_shard_is_left_out_at_once() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 4, 1);
    fleet.engine.mark_leaving(&"s3r0".into(), 0, fleet.now);
    let plan = fleet.plan();
    fleet.submit(1, plan);
    fleet.advance(ms(100));
    assert_eq!(fleet.result(1).shards_answered, 3);
    let mut plan = fleet.plan();
    plan.coverage_floor_permille = 1_000;
    let sent = fleet.sent.len();
    fleet.submit(2, plan);
    assert_eq!(fleet.result(2).ran, RunState::No, "refused in the same step");
    assert!(fleet.result(2).retry_after.is_some());
    assert_eq!(fleet.sent.len(), sent);
}

/// Pattern: a call waits for a connection while its target begins to leave or asks for a pause.
#[test]
fn may_send_withdraws_a_call_that_waits_while_its_target_leaves() {
    for is_pause in [false, true] {
        let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
        fleet.send_backlog = ms(50);
        let plan = fleet.plan();
        fleet.submit(1, plan);
        let call = fleet.waiting_call().unwrap();
        let target = call.target.clone();
        assert!(fleet.engine.may_send(call.call, fleet.now, SystemTime::now()));
        match is_pause {
            true => drop(fleet.engine.pause_target(&target, 0, ms(2_000), fleet.now, UNIX_EPOCH)),
            false => drop(fleet.engine.mark_leaving(&target, 0, fleet.now)),
        }
        assert!(!fleet.engine.may_send(call.call, fleet.now, SystemTime::now()));
        fleet.withdraw(call.call);
        fleet.advance(ms(150));
        assert_eq!(fleet.target(&target).received, 0);
        assert_eq!(fleet.result(1).outcome, RequestOutcome::Answered);
        assert!(!fleet.engine.target_view(&target, fleet.now).is_failing);
    }
}

/// Pattern: a target refuses a call and asks for a pause.
#[test]
fn pause_stops_calls_hedges_and_probes_until_its_end() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    // A failing target is probed, and a slow replica is hedged.
    fleet.target("s3r0").behaviour = Behaviour::Fail;
    fleet.submit_every(1, 20, ms(10));
    fleet.target("s3r0").behaviour = Behaviour::Serve;
    fleet.target("s3r1").base_time = ms(60);
    let before = fleet.target("s3r0").received;
    assert!(fleet.engine.pause_target(&"s3r0".into(), 0, ms(3_000), fleet.now, UNIX_EPOCH));
    fleet.submit_every(100, 200, ms(10));
    assert_eq!(fleet.target("s3r0").received, before);
    assert!(!fleet.engine.target_view(&"s3r0".into(), fleet.now).paused_for.is_zero());
    fleet.advance(ms(1_000));
    fleet.submit_every(10_000, 100, ms(10));
    assert!(fleet.target("s3r0").received > before, "it gets calls again");
}

#[test]
fn pause_is_replaced_by_a_later_one_and_ends_with_its_process() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 1);
    let is_paused = |fleet: &FakeFleet| {
        !fleet.engine.target_view(&"s0r0".into(), fleet.now).paused_for.is_zero()
    };
    fleet.engine.pause_target(&"s0r0".into(), 0, ms(5_000), fleet.now, UNIX_EPOCH);
    fleet.engine.pause_target(&"s0r0".into(), 0, ms(100), fleet.now, UNIX_EPOCH);
    fleet.advance(ms(150));
    assert!(!is_paused(&fleet), "the later pause is shorter");
    fleet.engine.pause_target(&"s0r0".into(), 0, ms(5_000), fleet.now, UNIX_EPOCH);
    assert!(is_paused(&fleet));
    let mut specs = fleet.specs.clone();
    specs[0].incarnation = 1;
    fleet.engine.apply_targets(specs, fleet.now);
    assert!(!is_paused(&fleet), "another process");
    assert!(!fleet.engine.pause_target(&"s0r0".into(), 0, ms(5_000), fleet.now, UNIX_EPOCH));
    assert!(!is_paused(&fleet), "a late reply of the earlier process");
}

/// Guards against a pause that is forgotten, since the process that asked for it is listed only afterwards.
#[test]
fn pause_stays_when_a_process_is_listed_that_ran_already() {
    let asked_at = UNIX_EPOCH + ms(5_000);
    for (started_ms, stays) in [(4_000, true), (5_000, true), (5_001, false)] {
        for is_moved in [false, true] {
            let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 1);
            let target = "s0r0".into();
            assert!(fleet.engine.pause_target(&target, 0, ms(2_000), fleet.now, asked_at));
            let mut specs = fleet.specs.clone();
            specs[0].incarnation = started_ms;
            if is_moved {
                let port = specs[0].address.port() + 1;
                specs[0].address.set_port(port);
            }
            fleet.engine.apply_targets(specs, fleet.now);
            let paused_for = fleet.engine.target_view(&target, fleet.now).paused_for;
            assert_eq!(!paused_for.is_zero(), stays && !is_moved, "{started_ms} {is_moved}");
            fleet.advance(ms(2_001));
            assert!(fleet.engine.target_view(&target, fleet.now).paused_for.is_zero());
        }
    }
}

/// Pattern: all targets of a shard ask for a pause. Callers are told at once when to come back, and
/// not all at the same moment.
#[test]
fn pause_of_all_targets_of_a_shard_refuses_at_once_with_the_shortest_rest() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 4, 2);
    fleet.engine.pause_target(&"s3r0".into(), 0, ms(4_000), fleet.now, UNIX_EPOCH);
    fleet.engine.pause_target(&"s3r1".into(), 0, ms(2_000), fleet.now, UNIX_EPOCH);
    fleet.advance(ms(500));
    let mut delays = Vec::new();
    for query in 1..=20 {
        let mut plan = fleet.plan();
        plan.coverage_floor_permille = 1_000;
        fleet.submit(query, plan);
        let result = fleet.result(query);
        assert_eq!((result.reason, result.ran), (FinishReason::TargetsBusy, RunState::No));
        delays.push(result.retry_after.unwrap());
    }
    assert!(fleet.sent.is_empty());
    assert!(delays.iter().all(|delay| (ms(1_500)..ms(2_000)).contains(delay)), "{delays:?}");
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 10, "callers return at the same moment: {delays:?}");
}

/// Pattern: many queries wait when a pause ends. The target gets one call at first.
#[test]
fn pause_ends_with_one_call_at_a_time() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 1);
    fleet.engine.pause_target(&"s0r0".into(), 0, ms(1_000), fleet.now, UNIX_EPOCH);
    fleet.advance(ms(1_001));
    for query in 1..=6 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
    }
    assert_eq!(fleet.target("s0r0").received, 1);
    fleet.advance(ms(400));
    assert!(fleet.target("s0r0").received > 1, "the others follow");
}

#[test]
fn reported_load_alone_does_not_stop_calls_to_a_target() {
    for misreporting in [vec!["s3r0"], vec!["s3r0", "s3r1"]] {
        let mut fleet = warm_fleet(FanoutSettings::default());
        for name in &misreporting {
            fleet.target(name).reported_load =
                Some(LoadReport { busy: 2, queued: 9_999, slots: 2, pace_percent: 0 });
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
    fleet.target("s3r0").reported_load =
        Some(LoadReport { busy: 0, queued: 0, slots: 2, pace_percent: 0 });
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

/// Guards against a trial of a suspect request that ends the last target of a shard.
#[test]
fn is_last_live_replica_once_the_others_fail() {
    let mut fleet = warm_fleet(FanoutSettings::default());
    fleet.target("s3r0").behaviour = Behaviour::Fail;
    fleet.submit_every(1, 20, ms(10));
    let mut actions = Vec::new();
    let plan = fleet.plan();
    fleet.engine.submit(1_000, plan, fleet.now, &mut actions);
    let mut is_last = actions.iter().filter_map(|action| match action {
        FanoutAction::Send { call, target, .. } => {
            Some((target.clone(), fleet.engine.is_last_live_replica(*call, fleet.now)))
        }
        _ => None,
    });
    assert!(is_last.all(|(target, is_last)| is_last == (&*target == "s3r1")));
}
