//! Result of a query.

use std::time::Duration;

use crate::RequestOutcome;
use crate::RunState;

/// Why a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// Every shard answered.
    Complete,
    /// The coverage floor is met, and either the objective or the wait for missing shards is over.
    FloorMet,
    /// The missing shards can't be answered in time.
    DeadlineNear,
    /// No target had room for the calls of the missing shards, or those that serve asked for a pause.
    TargetsBusy,
    /// No usable target holds a missing shard.
    ShardLost,
    /// The targets no longer hold the snapshot that the query is pinned to.
    SnapshotRetired,
    /// The work of the query may end targets and must not reach one now.
    Quarantined,
    /// The caller disconnected, or what admitted the query was taken back.
    Abandoned,
}

/// Result of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct FanoutResult {
    /// Whether the query was answered, fully or in part.
    pub outcome: RequestOutcome,
    /// Whether a target ran any part of it.
    pub ran: RunState,
    /// Number of documents that the merged answers cover.
    pub documents_covered: u64,
    /// Number of documents in the snapshot.
    pub documents_total: u64,
    /// Number of shards whose answers were merged.
    pub shards_answered: u32,
    /// Number of shards in the snapshot.
    pub shards_total: u32,
    /// Number of calls sent: one primary call a shard and the extra calls.
    pub calls_sent: u32,
    /// Number of calls sent beyond the first one of each shard: hedges and retries.
    pub extra_calls: u32,
    /// Number of calls sent to targets in failure domains other than this VM's.
    pub cross_domain_calls: u32,
    /// Reason why the query ended.
    pub reason: FinishReason,
    /// Delay after which the caller may retry; set only when the result is below the floor.
    pub retry_after: Option<Duration>,
}
