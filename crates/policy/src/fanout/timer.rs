//! Timers of the fan-out engine.

use std::time::Instant;

use crate::QueryId;
use crate::routing::TargetIndex;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// Check whether the query has to finish: deadline, objective or end of the floor wait.
    CheckFinish,
    /// Send a hedge for a shard.
    Hedge,
    /// Give up a queued shard call that can no longer be answered in time.
    WaitExpired,
    /// Retry a shard call that was refused or failed.
    Retry,
    /// Send the calls queued for a target, or move them to other replicas if it is unusable.
    ServeQueue(TargetIndex),
}

/// A timer of the engine. It is stale once its shard's `state_version` differs from the one recorded
/// here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EngineTimer {
    pub(crate) at: Instant,
    pub(crate) query: QueryId,
    pub(crate) position: u32,
    pub(crate) state_version: u32,
    pub(crate) kind: TimerKind,
}
