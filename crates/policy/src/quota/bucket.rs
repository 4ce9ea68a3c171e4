//! Token bucket of an organisation.

use std::time::Duration;
use std::time::Instant;

/// Longest time to the next token that is told.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Token bucket whose rate and capacity follow the configuration and the view of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaBucket {
    level: f64,
    refilled_at: Instant,
}

impl QuotaBucket {
    /// Returns a bucket with `level` tokens.
    pub(crate) fn new(level: f64, now: Instant) -> QuotaBucket {
        QuotaBucket { level, refilled_at: now }
    }

    /// Returns the number of tokens at the last refill.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Adds the tokens since the last refill at `rate`, in tokens per second, up to `capacity`.
    pub(crate) fn refill(&mut self, rate: f64, capacity: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(capacity);
    }

    /// Takes up to `wanted` tokens; returns the number taken.
    pub(crate) fn take(&mut self, wanted: u32) -> u32 {
        let taken = (self.level.max(0.0) as u32).min(wanted);
        self.level -= f64::from(taken);
        taken
    }

    /// Takes all tokens.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.level = self.level.min(0.0);
        self.refilled_at = now;
    }

    /// Returns the time until there is a token at `rate`, in tokens per second.
    pub(crate) fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / rate).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}
