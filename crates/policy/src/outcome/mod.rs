//! What may become of a request, and why a target refused a call.

use serde::Deserialize;
use serde::Serialize;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer.
    Answered,
    /// An answer that covers less than the whole snapshot.
    Partial,
    /// The request was certainly not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// Whether any target ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// A target ran it.
    Yes,
    /// No target ran it, now or in an earlier try of the same key.
    No,
    /// It can't be told.
    Unknown,
}

/// Why a target refused a call without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// Too many calls wait.
    Shedding,
    /// The target is leaving.
    Draining,
    /// The target doesn't hold the snapshot.
    SnapshotUnknown,
    /// The deadline passed before a slot was free.
    DeadlinePassed,
    /// The call was cancelled before it ran.
    Cancelled,
    /// The call could not be read.
    Malformed,
}
