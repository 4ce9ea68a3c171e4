//! A request that may not be repeated, and how far it got.

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

/// One try of a request, unique on its VM.
pub type LedgerRequestId = u64;

/// One try of a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerRequest {
    /// Names the try on its VM.
    pub id: LedgerRequestId,
    /// Whose request it is.
    pub customer: CustomerId,
    /// The caller's key.
    pub key: LedgerKey,
    /// The caller's number of this try of the key, counted from 1 and never used twice; 0 when
    /// the caller doesn't count, which makes unrecorded refusals `unknown`.
    pub attempt: u32,
    /// Nothing is dispatched at or after this.
    pub deadline: Instant,
    /// The same on the wall clock, which goes on while a VM is suspended.
    pub wall_deadline: SystemTime,
}

/// How far a try got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestPhase {
    /// Not known to be claimed.
    Claiming,
    /// Handed out for dispatch, once and for all.
    Running,
    /// What became of it is certain, and to be recorded.
    Recording(EntryState),
}

/// A try with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestWork {
    pub(crate) request: LedgerRequest,
    pub(crate) segment: SegmentId,
    pub(crate) entry_name: String,
    pub(crate) token: ClaimToken,
    pub(crate) phase: RequestPhase,
    /// Base of the newest write that may have carried the claim and is not settled.
    pub(crate) exposed: Option<Revision>,
    /// Why it did not run, once that is certain.
    pub(crate) cause: LedgerCause,
    pub(crate) is_answered: bool,
    /// Whether the segment was read after the try came.
    pub(crate) is_fresh: bool,
}

impl RequestWork {
    /// It certainly does not run; to be recorded.
    pub(crate) fn record_not_run(&mut self, cause: LedgerCause) {
        self.phase = RequestPhase::Recording(EntryState::NotRun(self.request.attempt));
        self.cause = cause;
    }

    /// Whether a dispatch would come too late.
    pub(crate) fn is_expired(&self, clock: ClockReading) -> bool {
        clock.now >= self.request.deadline || clock.wall >= self.request.wall_deadline
    }
}
