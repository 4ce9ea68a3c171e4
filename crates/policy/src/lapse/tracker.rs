//! Lapsed targets and the ends of their grace periods.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;
use crate::TargetPhase;

/// Outcome for a target that is no longer listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LapseOutcome {
    /// The target is removed at once.
    Removed,
    /// The target lapses: it is a last resort until its grace period ends.
    Lapsed,
}

/// Lapsed targets, each with the end of its grace period.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oleanderwind_policy::{LapseOutcome, LapseTracker, TargetPhase};
///
/// let grace_period = Duration::from_secs(2);
/// let now = Instant::now();
/// let mut tracker = LapseTracker::new(Some(grace_period));
/// let outcome = tracker.target_unlisted(&"t-1".into(), TargetPhase::Ready, now);
/// assert_eq!(outcome, LapseOutcome::Lapsed);
/// let outcome = tracker.target_unlisted(&"t-2".into(), TargetPhase::Draining, now);
/// assert_eq!(outcome, LapseOutcome::Removed);
/// assert_eq!(tracker.take_expired(now + grace_period), ["t-1".into()]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LapseTracker {
    grace_period: Option<Duration>,
    expires_at: HashMap<TargetId, Instant>,
}

impl LapseTracker {
    /// Returns an empty tracker; without a grace period no target lapses.
    pub fn new(grace_period: Option<Duration>) -> LapseTracker {
        LapseTracker { grace_period, expires_at: HashMap::new() }
    }

    /// Records that a target in this phase is no longer listed.
    ///
    /// A target that is already lapsed keeps the end of its grace period.
    pub fn target_unlisted(
        &mut self,
        target: &TargetId,
        phase: TargetPhase,
        now: Instant,
    ) -> LapseOutcome {
        match (self.grace_period, phase) {
            (Some(grace_period), TargetPhase::Ready | TargetPhase::Lapsed) => {
                self.expires_at.entry(target.clone()).or_insert(now + grace_period);
                LapseOutcome::Lapsed
            }
            (None, _) | (Some(_), TargetPhase::Draining) => LapseOutcome::Removed,
        }
    }

    /// Records that a target is listed, which ends its lapse.
    pub fn target_listed(&mut self, target: &TargetId) {
        self.expires_at.remove(target);
    }

    /// Returns whether a target is lapsed.
    pub fn is_lapsed(&self, target: &TargetId) -> bool {
        self.expires_at.contains_key(target)
    }

    /// Returns when the next grace period ends, if any target is lapsed.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expires_at.values().min().copied()
    }

    /// Removes and returns the targets whose grace period has ended.
    pub fn take_expired(&mut self, now: Instant) -> Vec<TargetId> {
        self.expires_at
            .extract_if(|_, expires_at| *expires_at <= now)
            .map(|(target, _)| target)
            .collect()
    }
}
