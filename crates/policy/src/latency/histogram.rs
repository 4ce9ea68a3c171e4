//! A small histogram of recent latency.

use std::time::Duration;

/// Buckets an octave; the width of a bucket is a quarter of its octave's start.
const BUCKETS_PER_OCTAVE: u32 = 4;
/// Octaves above [`FIRST_OCTAVE`], up to 64 s.
const OCTAVES: u32 = 20;
/// Binary logarithm of the lowest bucket's start, in microseconds.
const FIRST_OCTAVE: u32 = 6;
/// Buckets of a histogram.
const BUCKETS: usize = (OCTAVES * BUCKETS_PER_OCTAVE) as usize;
/// Samples after which all counts are halved.
const DECAY_SAMPLES: u32 = 512;

/// Counts of recent latency in fixed buckets; older samples weigh less.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl LatencyHistogram {
    /// A histogram without a sample.
    pub(crate) fn new() -> LatencyHistogram {
        LatencyHistogram { counts: [0; BUCKETS], total: 0 }
    }

    /// Samples that are still counted.
    pub(crate) fn samples(&self) -> u32 {
        self.total
    }

    /// Takes in one latency.
    pub(crate) fn record(&mut self, latency: Duration) {
        if self.total >= DECAY_SAMPLES {
            self.decay();
        }
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
    }

    /// The upper bound of the bucket that holds the quantile, none without samples.
    pub(crate) fn quantile(&self, permille: u32) -> Option<Duration> {
        let wanted = (u64::from(self.total) * u64::from(permille)).div_ceil(1_000).max(1);
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= wanted {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    fn decay(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u32::from(*count);
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1 << FIRST_OCTAVE);
    let octave = micros.ilog2();
    let step = u64::from(BUCKETS_PER_OCTAVE);
    let within = ((micros - (1 << octave)) * step) >> octave;
    let bucket = u64::from(octave - FIRST_OCTAVE) * step + within;
    usize::try_from(bucket).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let bucket = bucket as u64 + 1;
    let step = u64::from(BUCKETS_PER_OCTAVE);
    let start = 1_u64 << (u64::from(FIRST_OCTAVE) + bucket / step);
    Duration::from_micros(start + start * (bucket % step) / step)
}
