//! Work that may end targets, as operators see it.

use serde::Deserialize;
use serde::Serialize;

/// What the responding VM knows of work that ended targets.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SuspectWork {
    /// Fingerprint of the work, 32 hexadecimal digits, as in the logs.
    pub work: String,
    /// Service whose targets ended.
    pub service: String,
    /// `suspect`, `blocked` or `cleared`.
    pub state: String,
    /// Targets that ended under it and count.
    pub ends: usize,
    /// Number of these that ended in trials.
    pub trial_ends: usize,
    /// Whether an operator blocked it.
    pub is_blocked_by_operator: bool,
    /// Time since the last end, or since it was cleared, in milliseconds.
    pub age_ms: u64,
    /// Time until the next trial, in milliseconds, if it is blocked.
    pub retry_after_ms: Option<u64>,
}
