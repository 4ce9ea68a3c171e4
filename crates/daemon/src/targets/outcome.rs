//! Outcome of a call to a target.

use oleanderwind_wire::SearcherRefusal;

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallOutcome<A> {
    /// The target answered this call.
    Answered(A),
    /// The target refused the call.
    Refused(SearcherRefusal),
    /// Nothing was sent.
    NotSent,
    /// No answer to this call arrived. The target may have run the call.
    Failed,
}
