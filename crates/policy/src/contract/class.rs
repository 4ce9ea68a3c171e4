//! Contract terms of one request class.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::FindingList;
use crate::ServiceId;
use crate::contract::RawClass;

/// Minimum deadline of a class.
const MIN_DEADLINE_MS: u64 = 5;
/// Maximum deadline of a class.
const MAX_DEADLINE_MS: u64 = 60_000;
/// 100 %, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Whether requests of a class are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationKind {
    /// Idempotent: a search over all shards of a snapshot.
    Search,
    /// Not idempotent: executed at most once per idempotency key.
    Execute,
}

/// Priority of a class under load.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ClassPriority {
    /// A user is waiting for the answer; served first.
    #[default]
    Interactive,
    /// May be delayed in favor of interactive requests.
    Deferrable,
}

/// Validated contract terms of one request class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTerms {
    /// Service that answers the class's requests.
    pub service: ServiceId,
    /// Whether the class's requests are idempotent.
    pub operation: OperationKind,
    /// Maximum time from a request's arrival to its answer.
    pub deadline: Duration,
    /// Minimum coverage of an answer, in thousandths of the snapshot's documents.
    pub coverage_floor_permille: u32,
    /// Priority under load.
    pub priority: ClassPriority,
}

impl ClassTerms {
    /// Validates `raw`.
    ///
    /// # Errors
    ///
    /// Returns all findings; each names a place below `place`.
    pub(crate) fn from_raw(raw: &RawClass, place: &str) -> Result<ClassTerms, FindingList> {
        let mut findings = FindingList::default();
        if raw.service.is_empty() {
            findings.add(format!("{place}.service"), "is empty; name the service");
        }
        if !(MIN_DEADLINE_MS..=MAX_DEADLINE_MS).contains(&raw.deadline_ms) {
            findings.add(
                format!("{place}.deadline_ms"),
                format!(
                    "is {}; give {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS} milliseconds",
                    raw.deadline_ms
                ),
            );
        }
        if raw.coverage_floor_permille > FULL_PERMILLE {
            findings.add(
                format!("{place}.coverage_floor_permille"),
                format!("is {}; give 0 to {FULL_PERMILLE}", raw.coverage_floor_permille),
            );
        }
        findings.into_result(ClassTerms {
            service: raw.service.as_str().into(),
            operation: raw.operation,
            deadline: Duration::from_millis(raw.deadline_ms),
            coverage_floor_permille: raw.coverage_floor_permille,
            priority: raw.priority,
        })
    }
}
