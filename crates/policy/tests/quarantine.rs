//! Tests of the quarantine of work that ends targets: one VM's decisions, and fleets in virtual time.
#![allow(clippy::unwrap_used)]

#[path = "quarantine/fleet.rs"]
mod fleet;

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::QuarantineEngine;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetEnd;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TrialDecision;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_policy::WorkRecord;
use oleanderwind_policy::WorkVerdict;
use proptest::prelude::*;

use crate::fleet::FleetHistory;
use crate::fleet::FleetStep;

const HOLD: Duration = Duration::from_secs(2);

fn work(name: &str) -> WorkFingerprint {
    WorkFingerprint::of(&[name.as_bytes()])
}

fn service() -> ServiceId {
    "searches".into()
}

fn end(target: &str, in_trial: bool) -> TargetEnd {
    TargetEnd { in_trial, ..TargetEnd::outside_trial(&target.into(), 1) }
}

fn is_blocked(engine: &QuarantineEngine, name: &str, now: Instant) -> bool {
    matches!(engine.verdict(&work(name), now), WorkVerdict::Blocked { .. })
}

/// Returns an engine that holds these ends against work `a`.
fn engine_with(ends: &[TargetEnd], now: Instant) -> QuarantineEngine {
    let mut engine = QuarantineEngine::default();
    for end in ends {
        engine.record_end(work("a"), &service(), *end, now);
    }
    engine
}

#[test]
fn record_end_blocks_after_two_trials() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false)], now);
    assert_eq!(engine.verdict(&work("a"), now), WorkVerdict::Suspect);
    assert_eq!(engine.verdict(&work("b"), now), WorkVerdict::Clear);
    engine.record_end(work("a"), &service(), end("2", true), now);
    assert_eq!(engine.verdict(&work("a"), now), WorkVerdict::Suspect);
    engine.record_end(work("a"), &service(), end("3", true), now);
    assert!(is_blocked(&engine, "a", now));
}

/// Guards against good work that is blocked because many targets ended at once.
#[test]
fn record_end_does_not_block_without_a_trial() {
    let now = Instant::now();
    let ends: Vec<TargetEnd> = (0..40).map(|target| end(&target.to_string(), false)).collect();
    let mut engine = engine_with(&ends, now);
    assert_eq!(engine.verdict(&work("a"), now), WorkVerdict::Suspect);
    engine.record_end(work("a"), &service(), end("trial", true), now);
    assert!(is_blocked(&engine, "a", now));
}

#[test]
fn record_end_counts_a_process_once() {
    let now = Instant::now();
    let engine = engine_with(&[end("1", false), end("1", true), end("1", true)], now);
    assert_eq!(engine.record(&work("a"), now).unwrap().counted_ends(), 1);
}

/// Guards against trials that end process after process of a target and count as one end, since the platform still
/// lists the first process (issue 32).
#[test]
fn record_end_counts_a_process_that_is_not_listed_yet() {
    let now = Instant::now();
    let (target, incarnation) = ("1".into(), 1);
    let mut engine = engine_with(&[TargetEnd::outside_trial(&target, incarnation)], now);
    for ends in 2..4 {
        let known = engine.record(&work("a"), now).unwrap();
        let end = TargetEnd::in_trial(&target, incarnation, &known);
        assert!(engine.record_end(work("a"), &service(), end, now));
        assert_eq!(engine.record(&work("a"), now).unwrap().counted_ends(), ends);
        assert!(!engine.record_end(work("a"), &service(), end, now), "the same process");
    }
    assert!(is_blocked(&engine, "a", now));
}

/// Guards against two ends for one process that another VM's call was under way on when the trial ended it.
#[test]
fn record_end_counts_a_process_of_a_trial_and_of_another_call_once() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false)], now);
    let known = engine.record(&work("a"), now).unwrap();
    for end in
        [TargetEnd::outside_trial(&"2".into(), 1), TargetEnd::in_trial(&"2".into(), 1, &known)]
    {
        engine.record_end(work("a"), &service(), end, now);
    }
    assert_eq!(engine.record(&work("a"), now).unwrap().counted_ends(), 2);
}

#[test]
fn clear_forgets_what_was_held_and_wins_over_older_news() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false), end("2", true)], now);
    let older = engine.record(&work("a"), now).unwrap();
    assert!(engine.clear(&work("a"), now));
    assert!(!engine.merge(&older, now));
    assert_eq!(engine.verdict(&work("a"), now), WorkVerdict::Clear);
    assert!(engine.is_idle(), "a cleared record needs no look-ups");
    // What ends later counts from the beginning.
    assert!(engine.record_end(work("a"), &service(), end("3", false), now));
    assert_eq!(engine.record(&work("a"), now).unwrap().counted_ends(), 1);
}

/// Guards against blocks that hold for ever, and against trials that add up over a day.
#[test]
fn block_ends_for_one_trial_and_then_lasts_longer() {
    let begin = Instant::now();
    let mut engine = engine_with(&[end("1", false), end("2", true), end("3", true)], begin);
    let mut trials = Vec::new();
    let mut now = begin;
    while now < begin + Duration::from_secs(24 * 3_600) {
        match engine.verdict(&work("a"), now) {
            WorkVerdict::Blocked { retry_after } => now += retry_after,
            WorkVerdict::Suspect => {
                trials.push(now.duration_since(begin).as_secs());
                let target = format!("later-{}", trials.len());
                engine.record_end(work("a"), &service(), end(&target, true), now);
            }
            WorkVerdict::Clear => panic!("the work was never answered"),
        }
    }
    assert_eq!(trials, [60, 60 + 960, 60 + 960 + 15_360]);
}

#[test]
fn block_by_an_operator_holds_until_it_is_cleared() {
    let now = Instant::now();
    let mut engine = QuarantineEngine::default();
    assert!(engine.block(work("a"), &service(), now));
    assert!(!engine.block(work("a"), &service(), now), "it is blocked already");
    assert!(is_blocked(&engine, "a", now + Duration::from_secs(3_600)));
    assert!(engine.clear(&work("a"), now));
    assert_eq!(engine.verdict(&work("a"), now), WorkVerdict::Clear);
}

#[test]
fn begin_trial_permits_one_of_a_work_and_one_on_a_target() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false)], now);
    engine.record_end(work("b"), &service(), end("1", false), now);
    let record = |engine: &QuarantineEngine, name| engine.record(&work(name), now).unwrap();
    let (a, b) = (record(&engine, "a"), record(&engine, "b"));
    let (first, second): (TargetId, TargetId) = ("x".into(), "y".into());
    assert_eq!(engine.begin_trial(&a, &first, HOLD, now), TrialDecision::Granted);
    assert_eq!(engine.begin_trial(&a, &second, HOLD, now), TrialDecision::Wait);
    assert_eq!(engine.begin_trial(&b, &first, HOLD, now), TrialDecision::Wait);
    assert_eq!(engine.begin_trial(&b, &second, HOLD, now), TrialDecision::Granted);
    engine.end_trial(&a, &first, false, now);
    assert_eq!(engine.begin_trial(&a, &first, HOLD, now), TrialDecision::Granted);
    // A trial whose end is not reported is over after its hold.
    assert_eq!(engine.begin_trial(&a, &first, HOLD, now + HOLD), TrialDecision::Granted);
}

#[test]
fn begin_trial_learns_from_the_request_and_refuses_blocked_work() {
    let now = Instant::now();
    let known = engine_with(&[end("1", false), end("2", true), end("3", true)], now);
    let record = known.record(&work("a"), now).unwrap();
    let mut arbiter = QuarantineEngine::default();
    let decision = arbiter.begin_trial(&record, &"x".into(), HOLD, now);
    assert_eq!(decision, TrialDecision::Unneeded);
    assert!(is_blocked(&arbiter, "a", now));
}

/// Guards against trials that end so many targets of a service at once that nothing of it is left.
#[test]
fn begin_trial_waits_for_the_service_to_recover() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false), end("2", true)], now);
    engine.record_end(work("b"), &service(), end("2", false), now);
    let record = |engine: &QuarantineEngine, name| engine.record(&work(name), now).unwrap();
    let (a, b) = (record(&engine, "a"), record(&engine, "b"));
    assert_eq!(engine.begin_trial(&a, &"x".into(), HOLD, now), TrialDecision::Postponed);
    // Work that shared the target's end is tried at once.
    assert_eq!(engine.begin_trial(&b, &"x".into(), HOLD, now), TrialDecision::Granted);
    let later = now + Duration::from_secs(4);
    assert_eq!(engine.begin_trial(&a, &"y".into(), HOLD, later), TrialDecision::Granted);
}

/// Guards against a second trial while it is not clear yet that the first one ended its target.
#[test]
fn begin_trial_is_postponed_after_an_unclear_end() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false)], now);
    let record = engine.record(&work("a"), now).unwrap();
    assert_eq!(engine.begin_trial(&record, &"x".into(), HOLD, now), TrialDecision::Granted);
    engine.end_trial(&record, &"x".into(), true, now);
    assert_eq!(engine.begin_trial(&record, &"y".into(), HOLD, now), TrialDecision::Postponed);
    let later = now + Duration::from_millis(1_001);
    assert_eq!(engine.begin_trial(&record, &"y".into(), HOLD, later), TrialDecision::Granted);
}

#[test]
fn recent_answer_holds_for_two_seconds() {
    let now = Instant::now();
    let mut engine = QuarantineEngine::default();
    engine.record_recent_answer(7, now);
    assert!(engine.is_recently_answered(7, now + Duration::from_millis(1_999)));
    assert!(!engine.is_recently_answered(7, now + Duration::from_secs(2)));
    for hash in 0..100_000 {
        engine.record_recent_answer(hash, now);
    }
    assert!(!engine.is_recently_answered(7, now), "the number of answers kept is bounded");
}

#[test]
fn table_keeps_blocked_work_over_its_limit() {
    let now = Instant::now();
    let mut engine = engine_with(&[end("1", false), end("2", true), end("3", true)], now);
    for number in 0..2_000_u32 {
        let other = WorkFingerprint::of(&[&number.to_le_bytes()]);
        let later = now + Duration::from_millis(number.into());
        engine.record_end(other, &service(), end("4", false), later);
    }
    assert!(is_blocked(&engine, "a", now + Duration::from_secs(10)));
    assert!(engine.records(now).len() <= 1_024);
    assert!(engine.shared_records(now).len() <= 256);
}

fn ends() -> impl Strategy<Value = Vec<TargetEnd>> {
    let any_end = (0..6_u64, any::<bool>());
    let end = any_end.prop_map(|(process, in_trial)| TargetEnd { process, in_trial });
    prop::collection::vec(end, 0..6)
}

fn record() -> impl Strategy<Value = WorkRecord> {
    (0..3_u64, ends()).prop_map(|(generation, ends)| WorkRecord {
        generation,
        ends,
        ..WorkRecord::new(work("a"), service())
    })
}

proptest! {
    /// VMs that have told each other everything agree, in whatever order they did.
    #[test]
    fn merge_agrees_in_any_order(records in prop::collection::vec(record(), 1..6)) {
        let now = Instant::now();
        let merged = |records: &mut dyn Iterator<Item = &WorkRecord>| {
            let mut engine = QuarantineEngine::default();
            records.for_each(|record| {
                engine.merge(record, now);
            });
            engine
        };
        let mut forth = merged(&mut records.iter());
        let mut back = merged(&mut records.iter().rev());
        for _ in 0..4 {
            for record in forth.shared_records(now) {
                back.merge(&record, now);
            }
            for record in back.shared_records(now) {
                forth.merge(&record, now);
            }
        }
        prop_assert_eq!(forth.digest(now), back.digest(now));
        prop_assert_eq!(forth.verdict(&work("a"), now), back.verdict(&work("a"), now));
    }

    /// No history of copies, ends, restarts, frozen VMs and lost news sends a deadly request on without end (issue
    /// 32), and none blocks a request that is answered for longer than the first block.
    #[test]
    fn fleet_keeps_the_rule_in_any_history(
        vms in 1..32_usize,
        targets in 2..8_usize,
        seed in any::<u64>(),
        steps in prop::collection::vec(FleetStep::any(), 1..120),
    ) {
        let report = FleetHistory { vms, targets, seed, steps }.play();
        prop_assert!(report.late_copies <= 3, "{:?}", report);
        prop_assert!(report.longest_good_block <= Duration::from_secs(60), "{:?}", report);
    }
}
