//! Rate limit on log lines.

use std::time::Instant;

/// A token bucket for log lines.
#[derive(Debug)]
pub(crate) struct LineRateLimiter {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl LineRateLimiter {
    /// Returns a full bucket.
    pub(crate) fn new(per_second: u32, burst: u32, now: Instant) -> LineRateLimiter {
        let burst = f64::from(burst);
        LineRateLimiter {
            per_second: f64::from(per_second),
            burst,
            tokens: burst,
            refilled_at: now,
            dropped: 0,
        }
    }

    /// Returns the number of lines dropped since the last admitted one, or `None` if this line must
    /// be dropped.
    pub(crate) fn admit(&mut self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}
