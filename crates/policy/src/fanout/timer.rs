//! Timers of the engine.

use std::time::Instant;

use crate::QueryId;
use crate::routing::TargetIndex;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The query must be answered, or its rest is late.
    Answer,
    /// A hedge of a shard is due.
    Hedge,
    /// A waiting shard call can't make it any more.
    WaitExpired,
    /// A refused or failed shard call may be tried again.
    Retry,
    /// A target may have room for waiting calls, or must hand them on.
    Serve(TargetIndex),
}

/// One timer; stale once its shard has moved to another step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EngineTimer {
    pub(crate) at: Instant,
    pub(crate) query: QueryId,
    pub(crate) position: u32,
    pub(crate) step: u32,
    pub(crate) kind: TimerKind,
}
