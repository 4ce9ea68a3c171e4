//! How many lines a process may write.

use std::time::Instant;

/// A token bucket of lines.
#[derive(Debug)]
pub(crate) struct LineQuota {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
    left_out: u64,
}

impl LineQuota {
    /// A full bucket.
    pub(crate) fn new(per_second: u32, burst: u32, now: Instant) -> LineQuota {
        let burst = f64::from(burst);
        LineQuota {
            per_second: f64::from(per_second),
            burst,
            tokens: burst,
            refilled_at: now,
            left_out: 0,
        }
    }

    /// Whether a line may be written; with it comes how many were left out before.
    pub(crate) fn admit(&mut self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}
