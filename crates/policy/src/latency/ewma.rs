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
/// Silence after which the usual mean counts for half, in seconds.
const USUAL_HALF_LIFE: f64 = 5.0;
/// Samples from which on a mean is kept for its whole half-life; with fewer it is forgotten sooner,
/// in proportion. As many as the recent mean spreads over, the inverse of its weight.
const FULL_SAMPLES: u32 = 8;

/// A recent and a usual mean of one target's latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyEwma {
    recent: f64,
    usual: f64,
    /// Samples taken in, up to [`FULL_SAMPLES`].
    samples: u32,
    sampled_at: Option<Instant>,
}

impl LatencyEwma {
    /// Takes in one latency.
    pub(crate) fn record(&mut self, latency: Duration, now: Instant) {
        let seconds = latency.as_secs_f64();
        let Some(sampled_at) = self.sampled_at.replace(now) else {
            self.recent = seconds;
            self.usual = seconds;
            self.samples = 1;
            return;
        };
        // What was kept before a silence counts for less after it.
        let recent = 1.0 - (1.0 - RECENT_WEIGHT) * self.kept(sampled_at, now, FORGET_HALF_LIFE);
        let usual = 1.0 - (1.0 - USUAL_WEIGHT) * self.kept(sampled_at, now, USUAL_HALF_LIFE);
        self.recent += (seconds - self.recent) * recent;
        self.usual += (seconds - self.usual) * usual;
        self.samples = (self.samples + 1).min(FULL_SAMPLES);
    }

    /// The recent mean in seconds, 0 without samples.
    ///
    /// Falls back to at most the usual mean with silence, and that one towards 0, so that a target
    /// that was slow, even at its very first call, is tried again.
    pub(crate) fn expected_seconds(&self, now: Instant) -> f64 {
        let Some(sampled_at) = self.sampled_at else { return 0.0 };
        let usual = self.usual.min(self.recent);
        let late = (self.recent - usual) * self.kept(sampled_at, now, FORGET_HALF_LIFE);
        late + usual * self.kept(sampled_at, now, USUAL_HALF_LIFE)
    }

    /// The part of a mean that is left after the silence since `sampled_at`.
    fn kept(&self, sampled_at: Instant, now: Instant, half_life: f64) -> f64 {
        let silence = now.saturating_duration_since(sampled_at).as_secs_f64();
        let confidence = f64::from(self.samples) / f64::from(FULL_SAMPLES);
        (-silence / (half_life * confidence)).exp2()
    }

    /// Whether the target has become much slower than it used to be.
    pub(crate) fn is_slow(&self) -> bool {
        self.recent > self.usual * SLOW_FACTOR
    }
}
