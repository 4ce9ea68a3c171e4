//! The end of a query.

use std::time::Duration;

use crate::RequestOutcome;
use crate::RunState;

/// Why a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// Every shard answered.
    Complete,
    /// The contract prefers time, the floor is met and the rest is late.
    FloorMet,
    /// The missing shards can't arrive in time.
    DeadlineNear,
    /// No target could take the missing shards.
    TargetsBusy,
    /// No live target holds a missing shard.
    ShardLost,
    /// The targets no longer hold the pinned snapshot.
    SnapshotRetired,
    /// The caller went away.
    Abandoned,
}

/// What a query came to.
#[derive(Clone, Debug, PartialEq)]
pub struct FanoutResult {
    /// Whole, partial or not run.
    pub outcome: RequestOutcome,
    /// Whether a target ran any part of it.
    pub ran: RunState,
    /// Documents covered by the merged answers.
    pub documents_covered: u64,
    /// Documents of the snapshot.
    pub documents_total: u64,
    /// Shards merged.
    pub shards_answered: u32,
    /// Shards of the snapshot.
    pub shards_total: u32,
    /// Calls sent: one primary a shard, and the extra ones.
    pub calls_sent: u32,
    /// Calls beyond the first of each shard.
    pub extra_calls: u32,
    /// Calls to targets in other failure domains than this VM's.
    pub cross_domain_calls: u32,
    /// Why it ended.
    pub reason: FinishReason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}
