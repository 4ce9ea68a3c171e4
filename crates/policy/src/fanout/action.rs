//! Actions that the engine asks its driver to execute.

use std::time::Instant;

use crate::CallId;
use crate::FanoutResult;
use crate::IndexVersion;
use crate::QueryId;
use crate::ShardId;
use crate::TargetId;

/// An action for the driver. Actions must be executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum FanoutAction {
    /// Send a shard's call to a target, and report with
    /// [`FanoutEngine::mark_sent`](crate::FanoutEngine::mark_sent) when it leaves.
    Send {
        /// Query that the call belongs to.
        query: QueryId,
        /// Id of the call, never used before and unique across VMs.
        call: CallId,
        /// Target to send the call to.
        target: TargetId,
        /// Shard to search.
        shard: ShardId,
        /// Snapshot to search.
        index_version: IndexVersion,
        /// Time after which the answer is no longer used.
        deadline: Instant,
    },
    /// Merge the answer to a call into the query's result.
    Merge {
        /// Query that the call belongs to.
        query: QueryId,
        /// Call whose answer is merged.
        call: CallId,
    },
    /// Cancel a call at its target. The engine ignores any later event for the call.
    Cancel {
        /// Call to cancel.
        call: CallId,
        /// Target that the call was sent to.
        target: TargetId,
    },
    /// Reply to the caller. The engine no longer holds the query.
    Finish {
        /// Query that ended.
        query: QueryId,
        /// Result to reply with.
        result: FanoutResult,
    },
}
