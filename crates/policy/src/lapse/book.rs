//! Which targets lapse, and until when.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;
use crate::TargetPhase;

/// What becomes of a target that is listed no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LapseOutcome {
    /// It gets nothing from now on.
    Removed,
    /// It is the last resort for a while.
    Lapsed,
}

/// Targets that lapse.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oleanderwind_policy::{LapseTracker, LapseOutcome, TargetPhase};
///
/// let hold = Duration::from_secs(2);
/// let now = Instant::now();
/// let mut book = LapseTracker::new(Some(hold));
/// assert_eq!(book.target_unlisted(&"t-1".into(), TargetPhase::Ready, now), LapseOutcome::Lapsed);
/// assert_eq!(book.target_unlisted(&"t-2".into(), TargetPhase::Draining, now), LapseOutcome::Removed);
/// assert_eq!(book.take_expired(now + hold), ["t-1".into()]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LapseTracker {
    hold: Option<Duration>,
    until: HashMap<TargetId, Instant>,
}

impl LapseTracker {
    /// An empty book; without a hold nothing lapses.
    pub fn new(hold: Option<Duration>) -> LapseTracker {
        LapseTracker { hold, until: HashMap::new() }
    }

    /// Takes in that a target in this phase is listed no more.
    pub fn target_unlisted(
        &mut self,
        target: &TargetId,
        phase: TargetPhase,
        now: Instant,
    ) -> LapseOutcome {
        match (self.hold, phase) {
            (Some(hold), TargetPhase::Ready | TargetPhase::Lapsed) => {
                self.until.entry(target.clone()).or_insert(now + hold);
                LapseOutcome::Lapsed
            }
            (None, _) | (Some(_), TargetPhase::Draining) => LapseOutcome::Removed,
        }
    }

    /// Takes in that a target is listed.
    pub fn target_listed(&mut self, target: &TargetId) {
        self.until.remove(target);
    }

    /// Whether a target lapses.
    pub fn is_lapsed(&self, target: &TargetId) -> bool {
        self.until.contains_key(target)
    }

    /// When the next target is gone, if one lapses.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.until.values().min().copied()
    }

    /// Takes out the targets that are gone now.
    pub fn take_expired(&mut self, now: Instant) -> Vec<TargetId> {
        self.until.extract_if(|_, until| *until <= now).map(|(target, _)| target).collect()
    }
}
