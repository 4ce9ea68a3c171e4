//! Tests of how recent a VM takes its news from the platform to be.

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::NewsTracker;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::WatchPace;
use oleanderwind_policy::WatchPosition;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn tracker_oldest_age_is_that_of_the_silent_kind() {
    let now = Instant::now();
    let mut news = NewsTracker::default();
    assert_eq!(news.oldest_age(now), None);
    news.record_word(ObjectKind::Routes, now);
    news.record_word(ObjectKind::Targets, now);
    news.record_word(ObjectKind::Routes, now + 3 * SECOND);
    assert_eq!(news.oldest_age(now + 4 * SECOND), Some(4 * SECOND));
    assert_eq!(news.ages(now + 4 * SECOND)[&ObjectKind::Routes], SECOND);
    news.forget();
    assert_eq!(news.oldest_age(now + 4 * SECOND), None);
}

/// Guards against watches that begin anew before their first answer can come, again and again.
#[test]
fn tracker_gives_new_watches_time_for_a_word() {
    let now = Instant::now();
    let mut news = NewsTracker::default();
    news.record_word(ObjectKind::Routes, now);
    news.begin_watches(now);
    assert!(!news.is_silent(3 * SECOND, now + 3 * SECOND));
    let silent_at = now + 4 * SECOND;
    assert!(news.is_silent(3 * SECOND, silent_at));
    news.begin_watches(silent_at);
    assert!(!news.is_silent(3 * SECOND, silent_at + 3 * SECOND));
    assert!(news.is_silent(3 * SECOND, silent_at + 4 * SECOND));
    news.record_word(ObjectKind::Routes, silent_at + 4 * SECOND);
    assert!(!news.is_silent(3 * SECOND, silent_at + 4 * SECOND));
}

#[test]
fn tracker_hears_peers_for_three_seconds() {
    let now = Instant::now();
    let mut news = NewsTracker::default();
    assert!(!news.hears_peers(now));
    news.record_peer(now);
    assert!(news.hears_peers(now + 2 * SECOND));
    assert!(!news.hears_peers(now + 3 * SECOND));
}

/// Time in which the platform answers a call whose wait is over; later the call counts as lost.
const ANSWER_TIME: Duration = SECOND;

/// Returns when the calls of a holder that begins its first one at `start` end, without changes.
fn call_ends(pace: WatchPace, position: WatchPosition, start: Duration) -> Vec<Duration> {
    let next = |end: &Duration| Some(*end + pace.hold(ObjectKind::Targets, position, *end));
    std::iter::successors(Some(start), next).skip(1).take(20).collect()
}

/// Guards against watches that wait for long all at once: an outage that swallows every open call is
/// noticed by none of them for the whole wait.
#[test]
fn pace_holders_that_lose_all_calls_at_once_notice_it_in_turn() {
    let limits = [(3, 1), (3, 6), (3, 7), (5, 6), (6, 14), (13, 32)];
    for (limit, holders) in limits {
        let limit = limit * SECOND;
        let pace = WatchPace::new(limit, Some(20 * SECOND));
        let mut ends: Vec<Duration> = (0..holders)
            .flat_map(|rank| {
                // All begin a call at the same moment, as the same change has ended their last one.
                call_ends(pace, WatchPosition { rank, holders }, Duration::from_millis(4_321))
            })
            .collect();
        ends.sort_unstable();
        let last_of_all = ends[ends.len() - holders];
        let gaps = ends.windows(2).filter(|pair| pair[1] < last_of_all);
        let longest = gaps.map(|pair| pair[1] - pair[0]).max().unwrap_or_default();
        assert!(longest + ANSWER_TIME <= limit, "{holders} holders, {limit:?}: {longest:?}");
    }
}

/// Guards against calls by the time of day that never end, or end at once, where a clock jumps.
#[test]
fn pace_hold_is_within_the_period_at_any_time_of_day() {
    let pace = WatchPace::new(3 * SECOND, Some(20 * SECOND));
    for holders in [1, 2, 7, 14, 300] {
        for rank in [0, holders / 2, holders - 1, holders] {
            for time_of_day_ms in [0, 1, 999, 13_599, 1_770_676_044_192] {
                let position = WatchPosition { rank, holders };
                let time_of_day = Duration::from_millis(time_of_day_ms);
                let hold = pace.hold(ObjectKind::Targets, position, time_of_day);
                assert!(
                    hold > Duration::ZERO && hold <= pace.period(ObjectKind::Targets, holders),
                    "{hold:?}"
                );
            }
        }
    }
}
