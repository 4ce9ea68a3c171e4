//! Terms of one class of requests.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::FindingList;
use crate::ServiceId;
use crate::contract::RawClass;

/// Shortest deadline that a contract may promise.
const MIN_DEADLINE_MS: u64 = 5;
/// Longest deadline that a contract may promise.
const MAX_DEADLINE_MS: u64 = 60_000;
/// A whole, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationKind {
    /// Idempotent: a search over every shard of a snapshot.
    Search,
    /// Not idempotent: runs at most once under its key.
    Execute,
}

/// Which classes go first under load.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ClassPriority {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Can wait.
    Deferrable,
}

/// Checked terms of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTerms {
    /// The service that serves the class.
    pub service: ServiceId,
    /// Whether its requests may be repeated.
    pub operation: OperationKind,
    /// Longest time to the answer.
    pub deadline: Duration,
    /// Least coverage, in thousandths of the documents.
    pub coverage_floor_permille: u32,
    /// Order under load.
    pub priority: ClassPriority,
}

impl ClassTerms {
    /// Checks `raw`; findings name places below `place`.
    pub(crate) fn check(raw: &RawClass, place: &str) -> Result<ClassTerms, FindingList> {
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
        if raw.coverage_floor_permille > WHOLE_PERMILLE {
            findings.add(
                format!("{place}.coverage_floor_permille"),
                format!("is {}; give 0 to {WHOLE_PERMILLE}", raw.coverage_floor_permille),
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
