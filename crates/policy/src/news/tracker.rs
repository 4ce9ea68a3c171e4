//! Ages of the platform's last words.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ObjectKind;

/// Time without a word from any peer after which a VM takes itself for alone. In this time it sends
/// and gets six heartbeats.
const PEER_SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Tracks when the platform last answered about each kind of object, while this VM asks it.
#[derive(Clone, Debug, Default)]
pub struct NewsTracker {
    words: BTreeMap<ObjectKind, Instant>,
    /// When the watches that run now began.
    watching_since: Option<Instant>,
    peer_heard_at: Option<Instant>,
}

impl NewsTracker {
    /// Records that the platform answered about a kind.
    pub fn record_word(&mut self, kind: ObjectKind, now: Instant) {
        self.words.insert(kind, now);
    }

    /// Records that all watches begin, with calls that do not wait.
    pub fn begin_watches(&mut self, now: Instant) {
        self.watching_since = Some(now);
    }

    /// Returns whether no word has come for longer than `limit` about a kind whose changes have to take effect within
    /// a limit, although the watches that run now had that time too.
    pub fn is_silent(&self, limit: Duration, now: Instant) -> bool {
        let had_time = self.watching_since.is_some_and(|since| now > since + limit);
        had_time && self.oldest_limited_age(now).is_some_and(|age| age > limit)
    }

    /// Records a message of a peer.
    pub fn record_peer(&mut self, now: Instant) {
        self.peer_heard_at = Some(now);
    }

    /// Returns whether peers tell this VM what they hear.
    pub fn hears_peers(&self, now: Instant) -> bool {
        self.peer_heard_at.is_some_and(|at| now < at + PEER_SILENCE_LIMIT)
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

    /// Returns the age of the last word about the kind that has waited longest, among the kinds whose
    /// changes have to take effect within a limit.
    fn oldest_limited_age(&self, now: Instant) -> Option<Duration> {
        let limited = self.ages(now).into_iter().filter(|(kind, _)| kind.has_change_limit());
        limited.map(|(_, age)| age).max()
    }

    /// Returns the age of the last word about the kind that has waited longest.
    pub fn oldest_age(&self, now: Instant) -> Option<Duration> {
        self.ages(now).into_values().max()
    }
}
