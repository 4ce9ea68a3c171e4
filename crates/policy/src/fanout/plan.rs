//! Parameters of a query.

use std::sync::Arc;
use std::time::Instant;

use crate::AnswerPreference;
use crate::CallUrgency;
use crate::ClassId;
use crate::ClassPriority;
use crate::CustomerId;
use crate::ServiceId;
use crate::SnapshotManifest;

/// Upper bound on the calls sent for one shard of a query, whatever its attempt policy allows.
pub(crate) const MAX_SENDS_PER_SHARD: u8 = 4;

/// Id of a query, unique among the running queries of one VM.
pub type QueryId = u64;

/// A query to run, pinned to one snapshot.
#[derive(Clone, Debug)]
pub struct FanoutPlan {
    /// Customer whose contract applies.
    pub customer: CustomerId,
    /// Class of the query within the contract.
    pub class: ClassId,
    /// Snapshot that every call of the query searches.
    pub manifest: Arc<SnapshotManifest>,
    /// Time by which the caller must have the answer.
    pub deadline: Instant,
    /// Minimum coverage that the contract accepts, in thousandths of the snapshot's documents.
    pub coverage_floor_permille: u32,
    /// Whether to prefer latency or coverage.
    pub preference: AnswerPreference,
    /// Priority of the query's calls in the queues of busy targets.
    pub priority: ClassPriority,
    /// Order of the query's calls among those of the same priority; `None` for the order of the
    /// deadlines.
    pub urgency: Option<CallUrgency>,
    /// Limit on hedges, retries and refills together, in thousandths of the primary calls.
    pub extra_load_permille: u32,
    /// Latency objective: from this time on the query finishes as soon as it meets its floor.
    pub objective: Option<Instant>,
    /// Whether and how often a shard's call may be sent again.
    pub attempt_policy: AttemptPolicy,
}

/// How often a shard's call may be sent, and whose budget pays for the extra calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Whether a call that may already have run may be sent again.
    pub is_idempotent: bool,
    /// Maximum number of targets that may run the call of one shard.
    pub attempt_limit: u8,
    /// Owner of the budget that extra calls are charged to.
    pub budget: BudgetOwner,
}

impl Default for AttemptPolicy {
    fn default() -> AttemptPolicy {
        AttemptPolicy {
            is_idempotent: true,
            attempt_limit: MAX_SENDS_PER_SHARD,
            budget: BudgetOwner::Customer,
        }
    }
}

/// Owner of the budget that a query's extra calls are charged to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetOwner {
    /// The customer; one budget covers all shards.
    Customer,
    /// The service of each shard, in the order of the manifest's shards.
    Services(Arc<[ServiceId]>),
}
