//! Counters of the engine's state and work, for metrics and for tests that bound its cost.

use crate::FanoutEngine;

/// Current sizes of the engine's collections, and the work done since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct EngineCounts {
    /// Queries in progress.
    pub running_queries: usize,
    /// Calls in flight, excluding those sent through `pick_executor`.
    pub open_calls: usize,
    /// Timers that are set, including stale ones.
    pub pending_timers: usize,
    /// Known targets, including those recently removed from the platform's list.
    pub known_targets: usize,
    /// Timers set since the engine was created.
    pub timers_set: u64,
    /// Candidate targets considered by routing decisions since the engine was created.
    pub targets_compared: u64,
}

impl FanoutEngine {
    /// Returns the engine's current counters.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            running_queries: self.queries.len(),
            open_calls: self.calls.len(),
            pending_timers: self.timers.len(),
            known_targets: self.targets.len(),
            timers_set: self.timers_set,
            targets_compared: self.targets_compared,
        }
    }
}
