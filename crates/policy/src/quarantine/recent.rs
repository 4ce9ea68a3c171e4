//! Work that was answered recently.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time for which an answer shows that its work does not end targets. It is short, since work that was answered
/// may end targets once these have changed.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// Maximum number of answers remembered.
const MAX_ANSWERS: usize = 4_096;

/// Hashes of work that was answered on this VM, newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    answered_at: HashMap<u64, Instant>,
    order: VecDeque<(u64, Instant)>,
}

impl RecentAnswers {
    /// Records an answer.
    pub(super) fn record(&mut self, hash: u64, now: Instant) {
        while let Some((oldest, at)) = self.order.front().copied()
            && (now >= at + ANSWER_VALIDITY || self.order.len() >= MAX_ANSWERS)
        {
            self.order.pop_front();
            if self.answered_at.get(&oldest) == Some(&at) {
                self.answered_at.remove(&oldest);
            }
        }
        self.answered_at.insert(hash, now);
        self.order.push_back((hash, now));
    }

    /// Returns whether the work was answered recently.
    pub(super) fn contains(&self, hash: u64, now: Instant) -> bool {
        self.answered_at.get(&hash).is_some_and(|at| now < *at + ANSWER_VALIDITY)
    }
}
