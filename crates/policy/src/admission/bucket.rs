//! Token bucket with a variable rate.

use std::time::Duration;
use std::time::Instant;

use crate::ClassPriority;

/// Capacity of a bucket, as the time in which its rate fills it.
const CAPACITY_TIME: Duration = Duration::from_secs(1);
/// Fraction of the capacity that is reserved for interactive requests.
const INTERACTIVE_RESERVE: f64 = 0.5;

/// Token bucket of one customer at one VM.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Returns an empty bucket, so that frequent replacement of a VM causes no bursts.
    pub(crate) fn new(now: Instant) -> TokenBucket {
        TokenBucket { tokens: 0.0, refilled_at: now }
    }

    /// Returns the time up to which the bucket has been refilled.
    pub(crate) fn refilled_at(&self) -> Instant {
        self.refilled_at
    }

    /// Adds the tokens for the time since the last refill at `rate`, in tokens per second.
    ///
    /// Tokens above the capacity at that rate are discarded.
    pub(crate) fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity(rate));
    }

    /// Takes a token.
    ///
    /// If there is none for this priority, returns the time until one is available at `rate`.
    pub(crate) fn try_take(&mut self, rate: f64, priority: ClassPriority) -> Result<(), Duration> {
        let reserve = match priority {
            ClassPriority::Interactive => 0.0,
            ClassPriority::Deferrable => capacity(rate) * INTERACTIVE_RESERVE,
        };
        // With a capacity below two tokens, the reserve must not block deferrable requests for
        // good.
        let needed = (reserve + 1.0).min(capacity(rate));
        if self.tokens >= needed && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = needed.max(1.0) - self.tokens;
        Err(Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX))
    }
}

/// Returns the capacity at a rate, in tokens.
///
/// It is at least one, as otherwise a customer with a low rate would never get a token.
fn capacity(rate: f64) -> f64 {
    (rate * CAPACITY_TIME.as_secs_f64()).max(1.0)
}
