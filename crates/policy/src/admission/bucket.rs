//! A token bucket whose rate changes.

use std::time::Duration;
use std::time::Instant;

use crate::ClassPriority;

/// Time's worth of its rate that a bucket holds.
const BUCKET_DEPTH: Duration = Duration::from_secs(1);
/// Part of the depth that deferrable requests leave to interactive ones.
const INTERACTIVE_RESERVE: f64 = 0.5;

/// Tokens of one customer at one VM.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Starts empty, so that a VM that is replaced often brings no bursts.
    pub(crate) fn new(now: Instant) -> TokenBucket {
        TokenBucket { tokens: 0.0, filled_at: now }
    }

    /// Up to when it is filled.
    pub(crate) fn filled_at(&self) -> Instant {
        self.filled_at
    }

    /// Fills at `rate` since the last time; what is above the depth of that rate is lost.
    pub(crate) fn fill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(depth(rate));
    }

    /// Takes a token, or says how long it takes until there is one.
    pub(crate) fn take(&mut self, rate: f64, priority: ClassPriority) -> Result<(), Duration> {
        let reserve = match priority {
            ClassPriority::Interactive => 0.0,
            ClassPriority::Deferrable => depth(rate) * INTERACTIVE_RESERVE,
        };
        // A depth of less than one token must still let one through at a time.
        let needed = (reserve + 1.0).min(depth(rate));
        if self.tokens >= needed && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = needed.max(1.0) - self.tokens;
        Err(Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX))
    }
}

/// Most tokens at a rate; at least one, or a slow customer would never get any.
fn depth(rate: f64) -> f64 {
    (rate * BUCKET_DEPTH.as_secs_f64()).max(1.0)
}
