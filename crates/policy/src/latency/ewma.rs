//! Exponentially weighted moving averages of the latency of one target.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new sample in the recent average.
const RECENT_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the baseline average.
const BASELINE_WEIGHT: f64 = 0.004;
/// Ratio of the recent to the baseline average above which a target counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Time without samples after which the recent average has lost half its weight.
const RECENT_HALF_LIFE_SECONDS: f64 = 2.0;
/// Time without samples after which the baseline average has lost half its weight.
const BASELINE_HALF_LIFE_SECONDS: f64 = 5.0;
/// Number of samples from which on an average decays with its full half-life. With fewer samples it
/// decays faster, in proportion. This is the number of samples that the recent average effectively
/// spans, which is the inverse of its weight.
const FULL_CONFIDENCE_SAMPLES: u32 = 8;

/// Recent and baseline averages of one target's latency, in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyEwma {
    recent: f64,
    baseline: f64,
    /// Number of recorded samples, up to [`FULL_CONFIDENCE_SAMPLES`].
    samples: u32,
    sampled_at: Option<Instant>,
}

impl LatencyEwma {
    /// Records one latency.
    pub(crate) fn record(&mut self, latency: Duration, now: Instant) {
        let seconds = latency.as_secs_f64();
        let Some(sampled_at) = self.sampled_at.replace(now) else {
            self.recent = seconds;
            self.baseline = seconds;
            self.samples = 1;
            return;
        };
        // Earlier samples lose weight with the time since the last one.
        let recent_weight = 1.0
            - (1.0 - RECENT_WEIGHT)
                * self.retained_fraction(sampled_at, now, RECENT_HALF_LIFE_SECONDS);
        let baseline_weight = 1.0
            - (1.0 - BASELINE_WEIGHT)
                * self.retained_fraction(sampled_at, now, BASELINE_HALF_LIFE_SECONDS);
        self.recent += (seconds - self.recent) * recent_weight;
        self.baseline += (seconds - self.baseline) * baseline_weight;
        self.samples = (self.samples + 1).min(FULL_CONFIDENCE_SAMPLES);
    }

    /// Returns the expected latency in seconds, or 0 without samples.
    ///
    /// This is the recent average. Without new samples, its part above the baseline average decays
    /// with the recent half-life and the rest with the baseline half-life, both towards 0. So a
    /// target that was slow, even on its first call, is tried again.
    pub(crate) fn expected_seconds(&self, now: Instant) -> f64 {
        let Some(sampled_at) = self.sampled_at else { return 0.0 };
        let baseline = self.baseline.min(self.recent);
        let excess = (self.recent - baseline)
            * self.retained_fraction(sampled_at, now, RECENT_HALF_LIFE_SECONDS);
        excess + baseline * self.retained_fraction(sampled_at, now, BASELINE_HALF_LIFE_SECONDS)
    }

    /// Returns the fraction of an average's weight that is left after the time since `sampled_at`.
    fn retained_fraction(&self, sampled_at: Instant, now: Instant, half_life_seconds: f64) -> f64 {
        let idle_seconds = now.saturating_duration_since(sampled_at).as_secs_f64();
        let confidence = f64::from(self.samples) / f64::from(FULL_CONFIDENCE_SAMPLES);
        (-idle_seconds / (half_life_seconds * confidence)).exp2()
    }

    /// Returns whether the target has become much slower than its baseline.
    pub(crate) fn is_slow(&self) -> bool {
        self.recent > self.baseline * SLOW_FACTOR
    }
}
