//! Outcome of a call to a target.

use oleanderwind_http::ClientReply;
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
    /// Nothing was sent, as the work may not be sent any more.
    Withdrawn,
    /// No answer to this call arrived. The target may have run the call.
    Failed,
}

/// Outcome of a forwarded request.
#[derive(Debug)]
pub(crate) enum ForwardOutcome {
    /// Nothing was sent.
    Unsent,
    /// Nothing was sent, as the target may get no calls any more.
    Withdrawn,
    /// A complete reply to this request arrived.
    Replied(ClientReply),
    /// No reply to this request arrived. The target may have run it.
    Failed(CallFailure),
}

/// Whether a reply belongs to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyMatch {
    /// It belongs to another request.
    Other,
    /// It belongs to this one, which may be sent again.
    Own,
    /// It is the final answer to this one.
    Final,
}

/// How a call that was sent ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The connection was closed or reset before the reply was complete.
    Closed,
    /// The reply was not complete by the deadline.
    TimedOut,
    /// The reply belongs to another request.
    OtherRequest,
    /// The reply exceeded its limit.
    OverLimit,
}

impl CallFailure {
    /// Returns the stable label of the failure in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallFailure::Closed => "closed",
            CallFailure::TimedOut => "timed_out",
            CallFailure::OtherRequest => "other_request",
            CallFailure::OverLimit => "over_limit",
        }
    }
}
