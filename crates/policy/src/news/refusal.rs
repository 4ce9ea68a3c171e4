//! Whether the platform refuses this VM's calls.

use std::time::Duration;
use std::time::Instant;

use crate::news::role::WatchRole;

/// Time for which the calls of a regular watch holder must have failed before it counts as refused: a
/// watch that waits may be cut off, and one answer may be lost.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);
/// Time for which the platform must have answered again before a VM no longer counts as refused, so
/// that watches do not move to and fro while it answers by turns.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time after which a VM that makes no calls any more counts as answered again.
const REST_TIME: Duration = Duration::from_secs(30);

/// Decides from the results of a VM's calls whether the platform refuses it.
///
/// Regular watch holders call the platform all the time. Any other VM calls it only in their place, so
/// that its first failure decides, and it is not tried again for half a minute.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oleanderwind_policy::{RefusalTracker, WatchRole};
///
/// let (mut refusals, now) = (RefusalTracker::default(), Instant::now());
/// refusals.record_failure(now);
/// assert!(!refusals.update(WatchRole::Regular, now));
/// assert!(refusals.update(WatchRole::Regular, now + Duration::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalTracker {
    is_refused: bool,
    /// First of the failures since the last answer.
    failing_since: Option<Instant>,
    /// First of the answers since the last failure.
    answering_since: Option<Instant>,
    last_failure_at: Option<Instant>,
}

impl RefusalTracker {
    /// Records a call that the platform turned away or did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
        self.answering_since = None;
        self.last_failure_at = Some(now);
    }

    /// Records an answer of the platform.
    pub fn record_answer(&mut self, now: Instant) {
        self.answering_since.get_or_insert(now);
        self.failing_since = None;
    }

    /// Returns whether the platform refuses this VM, which has `role` at `now`.
    pub fn update(&mut self, role: WatchRole, now: Instant) -> bool {
        if self.due_at(role).is_some_and(|due| now >= due) {
            self.is_refused = !self.is_refused;
            self.failing_since = None;
        }
        self.is_refused
    }

    /// Returns when [`RefusalTracker::update`] returns another value, if nothing else happens until then.
    pub fn due_at(&self, role: WatchRole) -> Option<Instant> {
        if !self.is_refused {
            let confirmation = match role {
                WatchRole::Regular => CONFIRMATION_TIME,
                WatchRole::Substitute | WatchRole::None => Duration::ZERO,
            };
            return self.failing_since.map(|since| since + confirmation);
        }
        let recovered_at = self.answering_since.map(|since| since + RECOVERY_TIME);
        let rested_at = match role {
            WatchRole::Regular => None,
            WatchRole::Substitute | WatchRole::None => {
                self.last_failure_at.map(|last| last + REST_TIME)
            }
        };
        recovered_at.into_iter().chain(rested_at).min()
    }
}
