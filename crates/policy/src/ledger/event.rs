//! Events that the driver reports to the ledger engine.

use crate::ProviderId;
use crate::Revision;

use super::key::SegmentId;
use super::request::LedgerRequestId;
use super::segment::LedgerSegment;

/// Outcome of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ExecuteOutcome {
    /// The target ran the request.
    Done {
        /// Provider of the target that ran it.
        provider: ProviderId,
        /// Text of the result.
        result: String,
    },
    /// The target replied that it did not run the request and will not run it.
    RefusedNotRun,
    /// No byte was sent to a target, and none will be.
    NotSent,
    /// A byte may have been sent, and no matching reply arrived.
    Uncertain,
}

/// Completion of one action; each read, write and dispatch completes with exactly one event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEvent {
    /// A segment was read.
    SegmentRead {
        /// Segment that was read.
        segment: SegmentId,
        /// Body of the object, or `None` if there is no such object.
        body: Option<LedgerSegment>,
        /// Revision of the object, or 0 if there is no such object.
        revision: Revision,
    },
    /// The read failed, or the body could not be parsed.
    ReadFailed {
        /// Segment that was to be read.
        segment: SegmentId,
    },
    /// The write took effect.
    WriteAccepted {
        /// Segment that was written.
        segment: SegmentId,
        /// Revision that the write created.
        revision: Revision,
    },
    /// The platform answered 409.
    WriteConflict {
        /// Segment that was to be written.
        segment: SegmentId,
    },
    /// The write may have taken effect or may still do so: no reply, a broken connection, any 5xx.
    WriteUncertain {
        /// Segment that was to be written.
        segment: SegmentId,
    },
    /// The write certainly has no effect: no connection was made, or the platform answered 429.
    WriteRefused {
        /// Segment that was to be written.
        segment: SegmentId,
    },
    /// A dispatch finished.
    ExecuteFinished {
        /// Attempt that was dispatched.
        request: LedgerRequestId,
        /// Outcome of the dispatch.
        outcome: ExecuteOutcome,
    },
}
