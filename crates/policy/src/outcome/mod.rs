//! Outcomes of requests, and reasons for refused calls.

mod reply;

pub use reply::ReplyUse;
pub use reply::TargetReply;
pub use reply::is_promise;

use serde::Deserialize;
use serde::Serialize;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The answer is complete.
    Answered,
    /// The answer covers only a part of the snapshot.
    Partial,
    /// The request was not run; this is certain.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// Whether a target ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// A target ran the request.
    Yes,
    /// No target ran the request, in this attempt or an earlier one under the same idempotency key.
    No,
    /// It is not known whether a target ran the request.
    Unknown,
}

/// Reason that a target refused a call without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// Too many calls are queued.
    Shedding,
    /// The target is draining.
    Draining,
    /// The target does not have the snapshot.
    SnapshotUnknown,
    /// The deadline passed before a slot became free.
    DeadlinePassed,
    /// The call was cancelled before it ran.
    Cancelled,
    /// The call could not be parsed.
    Malformed,
}
