//! What the driver of the ledger has to do.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::RequestOutcome;
use crate::Revision;
use crate::RunState;

use super::cause::LedgerCause;
use super::key::SegmentId;
use super::request::LedgerRequestId;
use super::segment::LedgerSegment;

/// One thing to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerAction {
    /// Read a segment's object, not from a cache.
    ReadSegment {
        /// The segment.
        segment: SegmentId,
    },
    /// Create a segment's object, only if there is none; send it once.
    CreateSegment {
        /// The segment.
        segment: SegmentId,
        /// Its body, with the claims' tokens inside.
        body: LedgerSegment,
    },
    /// Replace a segment's object, only if it is still at the revision; send it once.
    UpdateSegment {
        /// The segment.
        segment: SegmentId,
        /// Its body, with the claims' tokens inside.
        body: LedgerSegment,
        /// The revision that the object must have.
        expected: Revision,
    },
    /// Send the request to a target, at most once, over a connection just proven live.
    Dispatch {
        /// The try.
        request: LedgerRequestId,
        /// Chooses the provider by the contract's present shares.
        provider_hash: u64,
        /// No byte may leave at or after this.
        deadline: Instant,
        /// The same on the wall clock.
        wall_deadline: SystemTime,
    },
    /// Answer the caller; at most one a try.
    Answer {
        /// The try.
        request: LedgerRequestId,
        /// What became of it.
        outcome: RequestOutcome,
        /// Whether a target ran it, in this try or an earlier one.
        ran: RunState,
        /// Why.
        cause: LedgerCause,
        /// The result, when it ran and the result was kept.
        result: Option<String>,
        /// When to come back, if that may help.
        retry_after: Option<Duration>,
    },
}
