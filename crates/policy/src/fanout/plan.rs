//! What a query asks of the fan-out.

use std::sync::Arc;
use std::time::Instant;

use crate::AnswerPreference;
use crate::ClassId;
use crate::ClassPriority;
use crate::CustomerId;
use crate::SnapshotManifest;

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
}
