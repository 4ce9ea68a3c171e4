//! What the driver of the engine has to do.

use std::time::Instant;

use crate::CallId;
use crate::FanoutResult;
use crate::IndexVersion;
use crate::QueryId;
use crate::ShardId;
use crate::TargetId;

/// One thing to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum FanoutAction {
    /// Send a shard's call to a target.
    Send {
        /// The query.
        query: QueryId,
        /// A fresh call id, unique over all VMs.
        call: CallId,
        /// Where to.
        target: TargetId,
        /// Shard to search.
        shard: ShardId,
        /// Snapshot to search.
        index_version: IndexVersion,
        /// After this the answer is of no use.
        deadline: Instant,
    },
    /// Merge the answer that came for this call into the query's answer.
    Merge {
        /// The query.
        query: QueryId,
        /// The call whose answer counts.
        call: CallId,
    },
    /// Tell the target to drop the call; nothing further of it counts.
    Cancel {
        /// The call.
        call: CallId,
        /// Where it went.
        target: TargetId,
    },
    /// Answer the caller now; the query is gone from the engine.
    Finish {
        /// The query.
        query: QueryId,
        /// What to answer.
        result: FanoutResult,
    },
}
