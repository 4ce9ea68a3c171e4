//! Sizes and work of the engine, for metrics and for bounds on its cost.

use crate::FanoutEngine;

/// What the engine holds now, and what it has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct EngineCounts {
    /// Queries that run.
    pub running_queries: usize,
    /// Calls that are open, without those of executors.
    pub open_calls: usize,
    /// Timers that are set, stale ones included.
    pub pending_timers: usize,
    /// Targets that are known, those that left the list lately included.
    pub known_targets: usize,
    /// Timers set since the start.
    pub timers_set: u64,
    /// Targets looked at for choices since the start.
    pub targets_compared: u64,
}

impl FanoutEngine {
    /// Sizes and work so far.
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
