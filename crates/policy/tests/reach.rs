//! Tests of the reachability of targets.

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::PathTracker;
use oleanderwind_policy::ReachState;
use oleanderwind_policy::ReachTracker;
use oleanderwind_policy::TargetId;
use proptest::prelude::*;

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

/// Longest time in which requests are served again once the targets answer.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Interval at which a VM that is cut off asks a target for its health.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a tracker that has found out a cut, and the time of that.
fn cut_off(start: Instant) -> (ReachTracker, Instant) {
    let mut tracker = ReachTracker::default();
    for number in 0..4 {
        let now = start + ms(50 * number);
        tracker.record_silence(&target(number as usize), number, start, now);
    }
    assert_eq!(tracker.state(), ReachState::CutOff);
    (tracker, start + ms(150))
}

/// Guards against a VM that refuses all requests for good, as none of them may be repeated.
#[test]
fn take_trial_of_a_request_that_may_not_be_repeated() {
    let (mut tracker, now) = cut_off(Instant::now());
    let later = now + ms(5_000);
    assert!(!tracker.take_trial(false, 4, later), "no target accepts connections");
    tracker.record_accepted(&target(1));
    tracker.record_accepted(&target(1));
    assert!(!tracker.take_trial(false, 4, later), "one target proves little");
    tracker.record_accepted(&target(2));
    tracker.record_accepted(&target(3));
    assert!(!tracker.take_trial(false, 4, now), "the cut is new");
    assert!(tracker.take_trial(false, 4, later));
    assert!(!tracker.take_trial(false, 4, later), "one request at a time");
    (1..4).for_each(|number| tracker.record_accepted(&target(number)));
    assert!(!tracker.take_trial(false, 4, later + ms(1_000)));
    assert!(tracker.take_trial(false, 4, later + ms(2_000)));
    // Two targets are listed in the meantime.
    (1..3).for_each(|number| tracker.record_accepted(&target(number)));
    assert!(tracker.take_trial(false, 2, later + ms(4_000)));
}

#[test]
fn take_trial_of_a_request_that_may_be_repeated() {
    let (mut tracker, now) = cut_off(Instant::now());
    assert!(!tracker.take_trial(true, 4, now));
    tracker.record_accepted(&target(1));
    assert!(tracker.take_trial(true, 4, now));
    assert!(!tracker.take_trial(true, 4, now));
    tracker.record_reply(now);
    tracker.record_accepted(&target(1));
    assert!(!tracker.take_trial(true, 4, now), "the VM is not cut off");
}

/// An event in the life of a VM before its targets answer.
#[derive(Clone, Debug)]
enum PastEvent {
    Silence { target: usize, work: u64 },
    Reply,
    Accepted { target: usize },
    Trial { is_idempotent: bool },
}

fn past_event() -> impl Strategy<Value = PastEvent> {
    prop_oneof![
        8 => (0..6_usize, 0..5_u64).prop_map(|(target, work)| PastEvent::Silence { target, work }),
        1 => Just(PastEvent::Reply),
        2 => (0..6_usize).prop_map(|target| PastEvent::Accepted { target }),
        2 => any::<bool>().prop_map(|is_idempotent| PastEvent::Trial { is_idempotent }),
    ]
}

proptest! {
    /// Guards against any state that outlasts the targets' return, whatever callers send and if health checks get no reply.
    #[test]
    fn requests_are_served_within_the_recovery_time(
        past in prop::collection::vec((past_event(), 0..400_u64), 0..80),
        request_interval_ms in 20..1_000_u64,
        idempotent_percent in prop_oneof![Just(0_u64), Just(100), 0..100_u64],
        listed in 1..6_usize,
        has_health_path in any::<bool>(),
        has_traffic in any::<bool>(),
    ) {
        let mut tracker = ReachTracker::default();
        let mut now = Instant::now();
        for (event, pause) in past {
            now += ms(pause);
            match event {
                PastEvent::Silence { target: number, work } => {
                    tracker.record_silence(&target(number), work, now, now);
                }
                PastEvent::Reply => drop(tracker.record_reply(now)),
                PastEvent::Accepted { target: number } => tracker.record_accepted(&target(number)),
                PastEvent::Trial { is_idempotent } => {
                    tracker.take_trial(is_idempotent, listed, now);
                }
            }
        }
        // The targets answer from now on.
        let end = now + RECOVERY_TIME;
        let (mut probe_at, mut request_at) = (now, now);
        let mut count = 0;
        while now < end && tracker.state() == ReachState::CutOff {
            now = probe_at.min(request_at);
            count += 1;
            if now == probe_at {
                match has_health_path {
                    true => drop(tracker.record_reply(now)),
                    false => tracker.record_accepted(&target(count as usize % listed)),
                }
                probe_at += PROBE_INTERVAL;
                continue;
            }
            let is_idempotent = count * 37 % 100 < idempotent_percent;
            if has_traffic && tracker.take_trial(is_idempotent, listed, now) {
                tracker.record_reply(now);
            }
            request_at += ms(request_interval_ms);
        }
        // Without requests and health checks nothing shows that the targets answer, and no request waits for it.
        prop_assert!(tracker.state() == ReachState::Reaching || !(has_traffic || has_health_path));
    }
}

/// Guards against a reply over an old connection that hides refused new ones, and against a state that outlasts them.
#[test]
fn refused_connections_are_evidence_of_their_own() {
    let now = Instant::now();
    let mut paths = PathTracker::default();
    assert!(!paths.has_refused());
    paths.record_refused(&target(1), now);
    paths.record_refused(&target(2), now + ms(1));
    paths.record_accepted(&target(3));
    assert!(paths.is_refused(&target(1)) && !paths.is_refused(&target(3)));
    assert_eq!(paths.next_probe(), Some(target(1)));
    paths.record_refused(&target(1), now + ms(2));
    assert_eq!(paths.next_probe(), Some(target(2)));
    paths.record_accepted(&target(2));
    assert!(!paths.has_refused());
    paths.record_refused(&target(4), now);
    paths.retain_listed(|listed| *listed != target(4));
    assert!(!paths.has_refused());
}

/// Guards against load on peers where the fault is the targets', and against a caller that leaves and blocks the others.
#[test]
fn take_relay_goes_on_only_while_peers_serve() {
    let now = Instant::now();
    let mut paths = PathTracker::default();
    assert!(paths.take_relay(now) && paths.take_relay(now));
    assert!(!paths.take_relay(now), "it is not known whether peers help");
    paths.record_relay(None, now);
    assert!(paths.take_relay(now));
    paths.record_relay(Some(false), now);
    paths.record_relay(Some(false), now);
    assert!(!paths.take_relay(now + ms(499)));
    assert!(paths.take_relay(now + ms(500)));
    paths.record_relay(Some(true), now + ms(510));
    assert!((0..100).all(|_| paths.take_relay(now + ms(520))));
}
