//! What a call to a target came to.

use oleanderwind_wire::SearcherRefusal;

/// The end of one call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallOutcome<A> {
    /// The answer to this very call.
    Answered(A),
    /// The target says that it ran nothing.
    Refused(SearcherRefusal),
    /// Nothing was sent.
    NotSent,
    /// No answer, or one to another call; the target may have run the call.
    Failed,
}
