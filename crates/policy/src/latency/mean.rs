//! Smoothed latency of one target.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new sample in the recent mean.
const RECENT_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the usual mean.
const USUAL_WEIGHT: f64 = 0.004;
/// A recent mean above the usual one by this factor counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Silence after which a recent mean has lost half its weight, in seconds.
const FORGET_HALF_LIFE: f64 = 2.0;

/// A recent and a usual mean of one target's latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyMean {
    recent: f64,
    usual: f64,
    sampled_at: Option<Instant>,
}

impl LatencyMean {
    /// Takes in one latency.
    pub(crate) fn record(&mut self, latency: Duration, now: Instant) {
        let seconds = latency.as_secs_f64();
        if self.sampled_at.is_none() {
            self.recent = seconds;
            self.usual = seconds;
        }
        self.recent += (seconds - self.recent) * RECENT_WEIGHT;
        self.usual += (seconds - self.usual) * USUAL_WEIGHT;
        self.sampled_at = Some(now);
    }

    /// The recent mean in seconds, 0 without samples.
    ///
    /// Falls back to at most the usual mean with silence, so that a target once slow is tried again.
    pub(crate) fn expected(&self, now: Instant) -> f64 {
        let Some(sampled_at) = self.sampled_at else { return 0.0 };
        let usual = self.usual.min(self.recent);
        let silence = now.saturating_duration_since(sampled_at).as_secs_f64();
        usual + (self.recent - usual) * (-silence / FORGET_HALF_LIFE).exp2()
    }

    /// Whether the target has become much slower than it used to be.
    pub(crate) fn is_slow(&self) -> bool {
        self.recent > self.usual * SLOW_FACTOR
    }
}
