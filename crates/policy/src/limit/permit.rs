//! Permission for one call to a target with a limit.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::TargetId;

/// Permission for one call. It ends by the steady clock and by the wall clock, which keeps running while the VM is
/// suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPermit {
    usable_from: Instant,
    expires_at: Instant,
    asked_at_wall: SystemTime,
    expires_at_wall: SystemTime,
}

impl CallPermit {
    /// Time from which it is usable in which a permit must be used.
    pub const USE_TIME: Duration = Duration::from_millis(200);

    /// Returns a permit that is usable `delay` after it was issued.
    ///
    /// It was issued between `asked_at`, which is `asked_at_wall` by the wall clock, and `now`. It is usable as if it had
    /// been issued at the end of that span, and expires as if at its beginning.
    pub fn new(
        delay: Duration,
        asked_at: Instant,
        asked_at_wall: SystemTime,
        now: Instant,
    ) -> CallPermit {
        CallPermit {
            usable_from: now + delay,
            expires_at: asked_at + delay + CallPermit::USE_TIME,
            asked_at_wall,
            expires_at_wall: asked_at_wall + delay + CallPermit::USE_TIME,
        }
    }

    /// Returns when it becomes usable.
    pub fn usable_from(&self) -> Instant {
        self.usable_from
    }

    /// Returns whether it has expired by the steady clock.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.expires_at
    }

    /// Returns whether a call may leave with it, by both clocks.
    pub fn is_valid(&self, now: Instant, wall: SystemTime) -> bool {
        let is_valid_by_wall = self.asked_at_wall <= wall && wall < self.expires_at_wall;
        self.usable_from <= now && !self.is_expired(now) && is_valid_by_wall
    }
}

/// Permits that the engine asks its driver for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The target.
    pub target: TargetId,
    /// Process of the target that named the limit.
    pub incarnation: u64,
    /// Number of permits wanted.
    pub wanted: u32,
}

impl PermitRequest {
    /// Maximum number of permits wanted at once.
    pub const MAX_WANTED: u32 = 64;
}

/// Answer of a holder to a VM that asks for permits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitGrant {
    /// Time until each permit becomes usable, ascending; empty if there are none for now.
    pub delays: Vec<Duration>,
    /// Time after which it is worth asking again; zero if all wanted permits were granted.
    pub retry_after: Duration,
}
