//! Deadlines of unanswered attempts.

use std::collections::BTreeSet;
use std::time::Instant;
use std::time::SystemTime;

use super::key::ClockReading;
use super::request::LedgerRequest;
use super::request::LedgerRequestId;

/// Deadlines on the monotonic clock and on the wall clock, each earliest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DeadlineIndex {
    by_instant: BTreeSet<InstantDeadline>,
    by_wall: BTreeSet<WallDeadline>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InstantDeadline {
    at: Instant,
    request: LedgerRequestId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct WallDeadline {
    at: SystemTime,
    request: LedgerRequestId,
}

impl DeadlineIndex {
    pub(crate) fn insert(&mut self, request: &LedgerRequest) {
        self.by_instant.insert(InstantDeadline::of(request));
        self.by_wall.insert(WallDeadline::of(request));
    }

    /// Removes an attempt, if it is present.
    pub(crate) fn remove(&mut self, request: &LedgerRequest) {
        self.by_instant.remove(&InstantDeadline::of(request));
        self.by_wall.remove(&WallDeadline::of(request));
    }

    /// Returns the earliest deadline on the monotonic clock.
    pub(crate) fn earliest(&self) -> Option<Instant> {
        self.by_instant.first().map(|deadline| deadline.at)
    }

    /// Returns every attempt whose deadline has passed on either clock, in order of identifier.
    pub(crate) fn expired(&self, clock: ClockReading) -> BTreeSet<LedgerRequestId> {
        let by_instant = self.by_instant.iter().take_while(|deadline| deadline.at <= clock.now);
        let by_wall = self.by_wall.iter().take_while(|deadline| deadline.at <= clock.wall);
        let by_instant = by_instant.map(|deadline| deadline.request);
        by_instant.chain(by_wall.map(|deadline| deadline.request)).collect()
    }
}

impl InstantDeadline {
    fn of(request: &LedgerRequest) -> InstantDeadline {
        InstantDeadline { at: request.deadline, request: request.id }
    }
}

impl WallDeadline {
    fn of(request: &LedgerRequest) -> WallDeadline {
        WallDeadline { at: request.wall_deadline, request: request.id }
    }
}
