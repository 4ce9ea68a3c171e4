//! What the driver reports to the ledger.

use crate::ProviderId;
use crate::Revision;

use super::key::SegmentId;
use super::request::LedgerRequestId;
use super::segment::LedgerSegment;

/// What became of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ExecuteOutcome {
    /// The target ran it.
    Done {
        /// The provider whose target ran it.
        provider: ProviderId,
        /// Text of the result.
        result: String,
    },
    /// The target said that it did not and will not run it.
    RefusedNotRun,
    /// No byte left for a target and none will.
    NotSent,
    /// A byte may have left and no matching reply came.
    Uncertain,
}

/// The end of one action; each read, write and dispatch ends in exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEvent {
    /// The segment as read, `None` with revision 0 when there is no such object.
    SegmentRead {
        /// The segment.
        segment: SegmentId,
        /// Its body.
        body: Option<LedgerSegment>,
        /// Its revision.
        revision: Revision,
    },
    /// The read failed, or its body could not be parsed.
    ReadFailed {
        /// The segment.
        segment: SegmentId,
    },
    /// The write took effect.
    WriteAccepted {
        /// The segment.
        segment: SegmentId,
        /// The revision it made.
        revision: Revision,
    },
    /// The platform answered 409.
    WriteConflict {
        /// The segment.
        segment: SegmentId,
    },
    /// The write may have taken effect, or yet may: no reply, a broken connection, any 5xx.
    WriteUncertain {
        /// The segment.
        segment: SegmentId,
    },
    /// The write certainly has no effect: no connection was made, or the platform answered 429.
    WriteRefused {
        /// The segment.
        segment: SegmentId,
    },
    /// A dispatch ended.
    ExecuteFinished {
        /// The try.
        request: LedgerRequestId,
        /// How.
        outcome: ExecuteOutcome,
    },
}
