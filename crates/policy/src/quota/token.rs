//! Permission for one request of an organisation.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Permission for one request. It ends by the steady clock and by the wall clock, which keeps running while the VM is
/// suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken {
    expires_at: Instant,
    asked_at_wall: SystemTime,
    expires_at_wall: SystemTime,
}

impl QuotaToken {
    /// Returns a token that was asked for at `asked_at`, which is `asked_at_wall` by the wall clock.
    pub fn new(asked_at: Instant, asked_at_wall: SystemTime, use_time: Duration) -> QuotaToken {
        QuotaToken {
            expires_at: asked_at + use_time,
            asked_at_wall,
            expires_at_wall: asked_at_wall + use_time,
        }
    }

    /// Returns whether a request may be admitted with it, by both clocks.
    pub fn is_valid(&self, now: Instant, wall: SystemTime) -> bool {
        now < self.expires_at && self.asked_at_wall <= wall && wall < self.expires_at_wall
    }
}
