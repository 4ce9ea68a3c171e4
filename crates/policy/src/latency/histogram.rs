//! Compact histogram of recent latency.

use std::time::Duration;

/// Number of buckets per octave; a bucket is a quarter as wide as its octave's lower bound.
const BUCKETS_PER_OCTAVE: u32 = 4;
/// Number of octaves from [`FIRST_OCTAVE`] on, which reach up to 64 s.
const OCTAVES: u32 = 20;
/// Binary logarithm of the lowest bucket's lower bound in microseconds.
const FIRST_OCTAVE: u32 = 6;
const BUCKETS: usize = (OCTAVES * BUCKETS_PER_OCTAVE) as usize;
/// Number of samples at which all counts are halved.
const DECAY_SAMPLES: u32 = 512;

/// Counts of recent latency in fixed buckets, with older samples decayed.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub(crate) fn new() -> LatencyHistogram {
        LatencyHistogram { counts: [0; BUCKETS], total: 0 }
    }

    /// Returns the number of samples that are still counted after decay.
    pub(crate) fn samples(&self) -> u32 {
        self.total
    }

    /// Records one latency.
    pub(crate) fn record(&mut self, latency: Duration) {
        if self.total >= DECAY_SAMPLES {
            self.decay();
        }
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
    }

    /// Returns the upper bound of the bucket that contains the quantile, or `None` without samples.
    pub(crate) fn quantile(&self, permille: u32) -> Option<Duration> {
        let rank = (u64::from(self.total) * u64::from(permille)).div_ceil(1_000).max(1);
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= rank {
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
    let per_octave = u64::from(BUCKETS_PER_OCTAVE);
    let offset = ((micros - (1 << octave)) * per_octave) >> octave;
    let bucket = u64::from(octave - FIRST_OCTAVE) * per_octave + offset;
    usize::try_from(bucket).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let bucket = bucket as u64 + 1;
    let per_octave = u64::from(BUCKETS_PER_OCTAVE);
    let octave_start = 1_u64 << (u64::from(FIRST_OCTAVE) + bucket / per_octave);
    Duration::from_micros(octave_start + octave_start * (bucket % per_octave) / per_octave)
}
