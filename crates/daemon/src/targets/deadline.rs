//! Until when a call that may not be repeated may leave.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Until when a call that may not be repeated may leave, and how long its reply is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExecuteDeadline {
    /// No byte leaves at or after this.
    pub(crate) instant: Instant,
    /// The same on the wall clock, which goes on while a VM is suspended.
    pub(crate) wall: SystemTime,
    /// Time after the deadline in which a reply is still taken, for the record.
    pub(crate) reply_grace: Duration,
}

impl ExecuteDeadline {
    /// Whether it is too late by either clock.
    pub(crate) fn has_passed(&self) -> bool {
        Instant::now() >= self.instant || SystemTime::now() >= self.wall
    }
}
