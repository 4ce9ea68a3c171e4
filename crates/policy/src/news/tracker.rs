//! Ages of the platform's last words.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ObjectKind;

/// Tracks when the platform last answered about each kind of object, while this VM asks it.
#[derive(Clone, Debug, Default)]
pub struct NewsTracker {
    words: BTreeMap<ObjectKind, Instant>,
}

impl NewsTracker {
    /// Records that the platform answered about a kind.
    pub fn record_word(&mut self, kind: ObjectKind, now: Instant) {
        self.words.insert(kind, now);
    }

    /// Forgets all words, as this VM does not ask the platform any more.
    pub fn forget(&mut self) {
        self.words.clear();
    }

    /// Returns the age of the last word about each kind.
    pub fn ages(&self, now: Instant) -> BTreeMap<ObjectKind, Duration> {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.words.iter().map(|(kind, at)| (*kind, age(at))).collect()
    }

    /// Returns the age of the last word about the kind that has waited longest.
    pub fn oldest_age(&self, now: Instant) -> Option<Duration> {
        self.ages(now).into_values().max()
    }
}
