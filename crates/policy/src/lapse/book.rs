//! Which targets lapse, and until when.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;
use crate::TargetPhase;

/// What becomes of a target that is listed no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostTarget {
    /// It gets nothing from now on.
    Gone,
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
/// use oleanderwind_policy::{LapseBook, LostTarget, TargetPhase};
///
/// let hold = Duration::from_secs(2);
/// let now = Instant::now();
/// let mut book = LapseBook::new(Some(hold));
/// assert_eq!(book.lose(&"t-1".into(), TargetPhase::Ready, now), LostTarget::Lapsed);
/// assert_eq!(book.lose(&"t-2".into(), TargetPhase::Draining, now), LostTarget::Gone);
/// assert_eq!(book.take_due(now + hold), ["t-1".into()]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LapseBook {
    hold: Option<Duration>,
    until: HashMap<TargetId, Instant>,
}

impl LapseBook {
    /// An empty book; without a hold nothing lapses.
    pub fn new(hold: Option<Duration>) -> LapseBook {
        LapseBook { hold, until: HashMap::new() }
    }

    /// Takes in that a target in this phase is listed no more.
    pub fn lose(&mut self, target: &TargetId, phase: TargetPhase, now: Instant) -> LostTarget {
        match (self.hold, phase) {
            (Some(hold), TargetPhase::Ready | TargetPhase::Lapsed) => {
                self.until.entry(target.clone()).or_insert(now + hold);
                LostTarget::Lapsed
            }
            (None, _) | (Some(_), TargetPhase::Draining) => LostTarget::Gone,
        }
    }

    /// Takes in that a target is listed.
    pub fn find(&mut self, target: &TargetId) {
        self.until.remove(target);
    }

    /// Whether a target lapses.
    pub fn is_lapsing(&self, target: &TargetId) -> bool {
        self.until.contains_key(target)
    }

    /// When the next target is gone, if one lapses.
    pub fn next_due(&self) -> Option<Instant> {
        self.until.values().min().copied()
    }

    /// Takes out the targets that are gone now.
    pub fn take_due(&mut self, now: Instant) -> Vec<TargetId> {
        self.until.extract_if(|_, until| *until <= now).map(|(target, _)| target).collect()
    }
}
