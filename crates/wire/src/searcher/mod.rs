//! Messages of the searchers' HTTP interface.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `POST /v1/search` | [`ShardCall`] | 200 [`ShardAnswer`], else [`SearcherRefusal`] |
//! | `POST /v1/execute` | [`ExecuteCall`] | 200 [`ExecuteAnswer`], else [`SearcherRefusal`] |
//! | `POST /v1/cancel` | [`CancelCall`] | 204, also for an unknown call |
//! | `GET /v1/load` | none | 200 [`LoadReport`], possibly out of date |
//! | `GET /v1/health` | none | 200 or 503, not always reliable |

use oleanderwind_policy::CallId;
use oleanderwind_policy::CustomerId;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// Request to search one shard of one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardCall {
    /// Id of the call, unique across all VMs; echoed in the answer.
    pub call_id: CallId,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// Shard to search; echoed in the answer.
    pub shard: ShardId,
    /// Snapshot to search; echoed in the answer.
    pub index_version: IndexVersion,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Query text.
    pub query: String,
}

/// A matching document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct SearchHit {
    /// Relevance score; higher is better.
    pub score: u32,
    /// Number of the document within the snapshot.
    pub document: u64,
}

/// Answer of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardAnswer {
    /// Id of the answered call.
    pub call_id: CallId,
    /// Shard that was searched.
    pub shard: ShardId,
    /// Snapshot that was searched.
    pub index_version: IndexVersion,
    /// Number of documents searched; fewer than the shard holds if only part of it was read.
    pub documents: u64,
    /// Hits, best first.
    pub hits: Vec<SearchHit>,
    /// Load of the searcher when it answered.
    pub load: LoadReport,
    /// Whether the searcher is draining.
    #[serde(default)]
    pub draining: bool,
}

/// Request to execute an operation at most once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExecuteCall {
    /// Id of the call, unique across all VMs; echoed in the answer.
    pub call_id: CallId,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// The caller's idempotency key; the searcher only records it.
    pub idempotency_key: String,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Description of the operation.
    pub body: String,
}

/// Answer to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExecuteAnswer {
    /// Id of the answered call.
    pub call_id: CallId,
    /// Result of the operation.
    pub result: String,
    /// Load of the searcher when it answered.
    pub load: LoadReport,
    /// Whether the searcher is draining.
    #[serde(default)]
    pub draining: bool,
}

/// Refusal of a call, which the searcher did not execute.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SearcherRefusal {
    /// Id of the answered call.
    pub call_id: CallId,
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Load of the searcher when it refused the call.
    pub load: LoadReport,
    /// Whether the searcher is draining.
    #[serde(default)]
    pub draining: bool,
}

/// Request to cancel a call; the searcher may ignore it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CancelCall {
    /// Id of the call to cancel.
    pub call_id: CallId,
}
