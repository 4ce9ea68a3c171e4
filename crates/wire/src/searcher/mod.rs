//! The searchers' HTTP interface.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `POST /v1/search` | [`ShardCall`] | 200 [`ShardAnswer`], else [`SearcherRefusal`] |
//! | `POST /v1/execute` | [`ExecuteCall`] | 200 [`ExecuteAnswer`], else [`SearcherRefusal`] |
//! | `POST /v1/cancel` | [`CancelCall`] | 204, also for an unknown call |
//! | `GET /v1/load` | none | 200 [`LoadReport`], may lag |
//! | `GET /v1/health` | none | 200 or 503, may mislead |

use oleanderwind_policy::CallId;
use oleanderwind_policy::CustomerId;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// A search of one shard on one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardCall {
    /// Unique over all VMs; echoed.
    pub call_id: CallId,
    /// The customer that the call is for.
    pub customer: CustomerId,
    /// Shard to search; echoed.
    pub shard: ShardId,
    /// Snapshot to search; echoed.
    pub index_version: IndexVersion,
    /// Time that is left, in milliseconds.
    pub deadline_ms: u64,
    /// Query text.
    pub query: String,
}

/// One matching document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct SearchHit {
    /// Rank weight, higher is better.
    pub score: u32,
    /// The document's number within the snapshot.
    pub document: u64,
}

/// The answer of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardAnswer {
    /// The call that this answers.
    pub call_id: CallId,
    /// The shard that was searched.
    pub shard: ShardId,
    /// The snapshot that was searched.
    pub index_version: IndexVersion,
    /// Documents searched; fewer than the shard's when only part was read.
    pub documents: u64,
    /// Best hits first.
    pub hits: Vec<SearchHit>,
    /// Load when the answer was made.
    pub load: LoadReport,
    /// True once the searcher is leaving.
    #[serde(default)]
    pub draining: bool,
}

/// A call that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExecuteCall {
    /// Unique over all VMs; echoed.
    pub call_id: CallId,
    /// The customer that the call is for.
    pub customer: CustomerId,
    /// The caller's key, for the searcher's record only.
    pub idempotency_key: String,
    /// Time that is left, in milliseconds.
    pub deadline_ms: u64,
    /// What to do.
    pub body: String,
}

/// The result of an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExecuteAnswer {
    /// The call that this answers.
    pub call_id: CallId,
    /// Text of the result.
    pub result: String,
    /// Load when the answer was made.
    pub load: LoadReport,
    /// True once the searcher is leaving.
    #[serde(default)]
    pub draining: bool,
}

/// A refused call; the searcher ran nothing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SearcherRefusal {
    /// The call that this answers.
    pub call_id: CallId,
    /// Why it did not run.
    pub cause: RefusalCause,
    /// Load when the call was refused.
    pub load: LoadReport,
    /// True once the searcher is leaving.
    #[serde(default)]
    pub draining: bool,
}

/// Asks the searcher to drop a call; whether it did is not promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CancelCall {
    /// The call to drop.
    pub call_id: CallId,
}
