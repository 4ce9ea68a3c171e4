//! Non-idempotent requests and their progress.

use std::time::Instant;
use std::time::SystemTime;

use crate::CustomerId;
use crate::Revision;

use super::cause::LedgerCause;
use super::key::ClockReading;
use super::key::LedgerKey;
use super::key::SegmentId;
use super::segment::ClaimToken;
use super::segment::EntryState;

/// Identifier of one attempt, unique on its VM.
pub type LedgerRequestId = u64;

/// One attempt of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerRequest {
    /// Identifier of the attempt on its VM.
    pub id: LedgerRequestId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Idempotency key that the caller sent.
    pub key: LedgerKey,
    /// Attempt number of the key, counted by the caller from 1 and never reused; 0 if the caller
    /// doesn't count, which makes unrecorded refusals `unknown`.
    pub attempt: u32,
    /// Time from which on nothing is dispatched.
    pub deadline: Instant,
    /// The same deadline on the wall clock, which continues while a VM is suspended.
    pub wall_deadline: SystemTime,
}

/// Progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestPhase {
    /// The claim is not yet known to be written.
    Claiming,
    /// Handed to the driver for dispatch, which happens at most once.
    Dispatched,
    /// The outcome is certain and remains to be recorded.
    Recording(EntryState),
}

/// Attempt with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequest {
    pub(crate) request: LedgerRequest,
    pub(crate) segment: SegmentId,
    pub(crate) entry_name: String,
    pub(crate) token: ClaimToken,
    pub(crate) phase: RequestPhase,
    /// Base revision of the latest write that may have carried the claim, while the claim is in
    /// doubt.
    pub(crate) in_doubt_base: Option<Revision>,
    /// Reason that the request did not run, once that is certain.
    pub(crate) cause: LedgerCause,
    pub(crate) is_answered: bool,
    /// Whether the segment was read after the attempt was submitted.
    pub(crate) has_read_since_submit: bool,
}

impl PendingRequest {
    /// Marks the request as certainly not run, which remains to be recorded.
    pub(crate) fn record_not_run(&mut self, cause: LedgerCause) {
        self.phase = RequestPhase::Recording(EntryState::NotRun(self.request.attempt));
        self.cause = cause;
    }

    /// Returns whether the deadline has passed on either clock.
    pub(crate) fn is_expired(&self, clock: ClockReading) -> bool {
        clock.now >= self.request.deadline || clock.wall >= self.request.wall_deadline
    }
}
