//! Actions that the ledger engine requests from its driver.

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

/// One action for the driver; actions are performed in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerAction {
    /// Read a segment's object from the platform, bypassing any cache.
    ReadSegment {
        /// Segment to read.
        segment: SegmentId,
    },
    /// Create a segment's object if it doesn't exist; the request is sent once, without retries.
    CreateSegment {
        /// Segment to create.
        segment: SegmentId,
        /// Body of the object, which contains the claims' tokens.
        body: LedgerSegment,
    },
    /// Replace a segment's object if it is still at the expected revision; the request is sent
    /// once, without retries.
    UpdateSegment {
        /// Segment to update.
        segment: SegmentId,
        /// Body of the object, which contains the claims' tokens.
        body: LedgerSegment,
        /// Revision that the object must have.
        expected: Revision,
    },
    /// Send the request to a target at most once, over a connection just verified to be alive.
    Dispatch {
        /// Attempt to dispatch.
        request: LedgerRequestId,
        /// Hash that selects the provider by the shares of the contract now in force.
        provider_hash: u64,
        /// Time from which on no byte may be sent.
        deadline: Instant,
        /// The same deadline on the wall clock.
        wall_deadline: SystemTime,
    },
    /// Answer the caller; emitted at most once per attempt.
    Answer {
        /// Attempt to answer.
        request: LedgerRequestId,
        /// Outcome of the attempt.
        outcome: RequestOutcome,
        /// Whether a target ran the request, in this attempt or an earlier one.
        ran: RunState,
        /// Reason for the outcome.
        cause: LedgerCause,
        /// Result, if the request ran and its result was kept.
        result: Option<String>,
        /// Time after which to retry, if a retry may help.
        retry_after: Option<Duration>,
    },
}
