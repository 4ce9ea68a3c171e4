//! Tests of how recent a VM takes its news from the platform to be.

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::NewsTracker;
use oleanderwind_policy::ObjectKind;

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
