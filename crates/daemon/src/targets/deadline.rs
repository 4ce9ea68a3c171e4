//! Deadline of a call that must not be sent twice.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Deadline for sending a call that must not be sent twice, and the time to wait for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExecuteDeadline {
    /// Monotonic time from which on no byte is sent.
    pub(crate) instant: Instant,
    /// The same deadline on the wall clock, which keeps running while the VM is suspended.
    pub(crate) wall: SystemTime,
    /// Time after the deadline during which a reply is still accepted and recorded.
    pub(crate) reply_grace: Duration,
}

impl ExecuteDeadline {
    /// Returns whether the deadline has passed on either clock.
    pub(crate) fn has_passed(&self) -> bool {
        Instant::now() >= self.instant || SystemTime::now() >= self.wall
    }
}
