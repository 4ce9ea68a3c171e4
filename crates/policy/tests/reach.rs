//! Tests of the reachability of targets.

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ReachState;
use oleanderwind_policy::ReachTracker;
use oleanderwind_policy::TargetId;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn target(number: usize) -> TargetId {
    format!("t-{number}").into()
}

/// Guards against a VM that holds its callers while its own links are cut.
#[test]
fn record_silence_of_several_targets_means_a_cut() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    tracker.record_reply(start);
    let now = start + ms(260);
    assert!(!tracker.record_silence(&target(1), 1, start + ms(5), now));
    assert!(!tracker.record_silence(&target(1), 2, start + ms(6), now));
    assert!(!tracker.record_silence(&target(2), 1, start + ms(5), now));
    assert!(!tracker.record_silence(&target(3), 2, start + ms(5), now + ms(99)));
    assert_eq!(tracker.state(), ReachState::Reaching);
    let now = now + ms(100);
    assert!(tracker.record_silence(&target(3), 2, start + ms(5), now));
    assert_eq!(tracker.state(), ReachState::CutOff);
    assert!(!tracker.record_silence(&target(4), 1, start + ms(5), now));
    assert!(tracker.record_reply(now + ms(10)));
    assert_eq!(tracker.state(), ReachState::Reaching);
    assert!(!tracker.record_reply(now + ms(11)));
}

/// Guards against a crash of some targets that is taken for a cut of the VM.
#[test]
fn record_silence_beside_replies_means_a_fault_of_targets() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    for number in 0..50 {
        let now = start + ms(10 * number);
        let silent = target(usize::try_from(number).unwrap_or_default() % 10);
        assert!(!tracker.record_silence(&silent, number, now, now + ms(5)));
        if number % 2 == 0 {
            tracker.record_reply(now + ms(6));
        }
    }
    assert_eq!(tracker.state(), ReachState::Reaching);
    // Calls that left before the last reply are no evidence.
    for number in 0..5 {
        assert!(!tracker.record_silence(&target(number), number as u64, start, start + ms(900)));
    }
}

/// Guards against silences of targets that lie far apart and add up to a cut.
#[test]
fn record_silence_of_long_ago_is_forgotten() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    for number in 0..6 {
        let now = start + ms(2_500) * u32::try_from(number).unwrap_or_default();
        assert!(!tracker.record_silence(&target(number), number as u64, now, now + ms(300)));
    }
}

/// Guards against one request that ends a target of every shard and is taken for a cut, so that peers get it too.
#[test]
fn record_silence_under_one_work_is_no_cut() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    for number in 0..20 {
        assert!(!tracker.record_silence(&target(number), 7, start, start + ms(300)));
    }
    assert_eq!(tracker.state(), ReachState::Reaching);
}

/// Guards against work that is blamed for the silence of targets while the VM's links may be cut.
#[test]
fn blames_target_only_once_another_target_replies() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    for number in 0..3 {
        assert_eq!(tracker.blames_target(start), None);
        let now = start + ms(60) * u32::try_from(number).unwrap_or_default();
        tracker.record_silence(&target(number), number as u64, start, now);
    }
    assert_eq!(tracker.blames_target(start), Some(false));
    tracker.record_reply(start + ms(122));
    assert_eq!(tracker.blames_target(start), Some(true));
    assert_eq!(tracker.blames_target(start + ms(122)), None);
}

/// Guards against a request that ends several targets at once under a VM that was idle, and is taken for a cut.
#[test]
fn record_silence_of_a_moment_is_no_cut() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    tracker.record_reply(start);
    let burst = start + ms(1_500);
    for number in 0..6 {
        let now = burst + ms(number);
        let silent = target(usize::try_from(number).unwrap_or_default());
        assert!(!tracker.record_silence(&silent, number % 2, burst, now));
    }
    assert_eq!(tracker.state(), ReachState::Reaching);
    tracker.record_reply(burst + ms(20));
    assert!(!tracker.record_silence(&target(7), 3, burst + ms(21), burst + ms(200)));
    assert_eq!(tracker.state(), ReachState::Reaching);
}
