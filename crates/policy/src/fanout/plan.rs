//! What a query asks of the fan-out.

use std::sync::Arc;
use std::time::Instant;

use crate::AnswerPreference;
use crate::ClassId;
use crate::ClassPriority;
use crate::CustomerId;
use crate::ServiceId;
use crate::SnapshotManifest;

/// Most calls for one shard of a query, whatever its terms allow.
pub(crate) const MAX_SENDS: u8 = 4;

/// A running query of one VM.
pub type QueryId = u64;

/// A query with the snapshot that it is pinned to.
#[derive(Clone, Debug)]
pub struct FanoutPlan {
    /// Whose contract bounds it.
    pub customer: CustomerId,
    /// Class within the contract.
    pub class: ClassId,
    /// The snapshot that every call names.
    pub manifest: Arc<SnapshotManifest>,
    /// When the caller must have the answer.
    pub deadline: Instant,
    /// Least coverage, in thousandths of the documents.
    pub coverage_floor_permille: u32,
    /// What to trade.
    pub preference: AnswerPreference,
    /// Order under load.
    pub priority: ClassPriority,
    /// Bound of hedges, retries and refills, in thousandths of the primary calls.
    pub extra_load_permille: u32,
    /// When an answer loses most of its worth: from then on one at the floor goes out.
    pub objective: Option<Instant>,
    /// What may be sent more than once.
    pub attempt_policy: AttemptPolicy,
}

/// How often a shard's call may be sent, and who pays for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Whether a call that may have run may be sent again.
    pub is_idempotent: bool,
    /// Most targets that may run the call of one shard.
    pub max_attempts: u8,
    /// Whose budget extra calls are taken from.
    pub budget: BudgetOwner,
}

impl Default for AttemptPolicy {
    fn default() -> AttemptPolicy {
        AttemptPolicy {
            is_idempotent: true,
            max_attempts: MAX_SENDS,
            budget: BudgetOwner::Customer,
        }
    }
}

/// Whose budget pays for a query's extra calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetOwner {
    /// The customer's, over all shards.
    Customer,
    /// That of each shard's own service, in the order of the manifest's shards.
    Services(Arc<[ServiceId]>),
}
