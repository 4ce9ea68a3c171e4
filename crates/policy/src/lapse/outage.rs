//! Outages of the platform's store, as one VM sees them.

use std::time::Duration;
use std::time::Instant;

use crate::MissingObjects;

/// Consecutive failed calls that make an outage. A single one shows less: the store closes watches
/// that wait, and one answer may be lost.
const OUTAGE_FAILURES: u32 = 2;

/// How long after a restore of the store entries that its copy lacks are kept: the targets write
/// them again at their own pace.
const RESTORE_HOLD: Duration = Duration::from_secs(10);

/// Decides whether entries that vanish may still belong to living targets.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oleanderwind_policy::OutageTracker;
///
/// let mut outages = OutageTracker::new(Some(Duration::from_secs(2)));
/// let now = Instant::now();
/// assert!(!outages.holds_removals(now), "a removal is final while the store serves");
/// outages.record_failure();
/// outages.record_failure();
/// assert!(outages.holds_removals(now));
/// outages.record_contact(now);
/// assert!(outages.holds_removals(now + Duration::from_secs(1)));
/// assert_eq!(outages.check_due_at(), Some(now + Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageTracker {
    hold: Option<Duration>,
    failures: u32,
    held_until: Option<Instant>,
    restore_held_until: Option<Instant>,
}

impl OutageTracker {
    /// Creates a tracker that holds removals for `hold` after each outage; with `None` it never does.
    pub fn new(hold: Option<Duration>) -> OutageTracker {
        OutageTracker { hold, ..OutageTracker::default() }
    }

    /// Records a call to the store that failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that this VM takes over from others that the store turned away: it may have been away for
    /// all.
    pub fn record_takeover(&mut self) {
        self.failures = self.failures.max(OUTAGE_FAILURES);
    }

    /// Records an answer of the store, which ends an outage.
    pub fn record_contact(&mut self, now: Instant) {
        if self.is_away() {
            self.held_until = self.hold.map(|hold| now + hold);
        }
        self.failures = 0;
    }

    /// Records that the store was restored from a copy.
    pub fn record_restore(&mut self, now: Instant) {
        self.held_until = self.hold.map(|hold| now + hold);
        self.restore_held_until = self.hold.map(|hold| now + hold.max(RESTORE_HOLD));
    }

    /// Returns what becomes of objects that a list of `now` lacks.
    pub fn missing_objects(&self, now: Instant) -> MissingObjects {
        if self.holds_earlier_eras(now) {
            return MissingObjects::KeepEarlierEras;
        }
        match self.holds_removals(now) {
            true => MissingObjects::Keep,
            false => MissingObjects::Remove,
        }
    }

    /// Returns whether entries that were written before the last restore, and not since, are kept
    /// for now.
    fn holds_earlier_eras(&self, now: Instant) -> bool {
        self.restore_held_until.is_some_and(|until| now < until)
    }

    /// Returns whether entries that vanish are kept for now.
    pub fn holds_removals(&self, now: Instant) -> bool {
        self.hold.is_some() && (self.is_away() || self.held_until.is_some_and(|until| now < until))
    }

    /// Returns when a new list has to show which of the kept entries are back, if any may be kept.
    pub fn check_due_at(&self) -> Option<Instant> {
        self.held_until.or(self.restore_held_until)
    }

    /// Records that a list was applied at `now`, which ends the holds that are over.
    pub fn record_check(&mut self, now: Instant) {
        self.held_until = self.held_until.filter(|until| now < *until);
        self.restore_held_until = self.restore_held_until.filter(|until| now < *until);
    }

    fn is_away(&self) -> bool {
        self.failures >= OUTAGE_FAILURES
    }
}
