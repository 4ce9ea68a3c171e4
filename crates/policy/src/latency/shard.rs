//! Latency estimates per shard, across all its replicas.

use std::collections::HashMap;
use std::time::Duration;

use crate::ProviderId;
use crate::ServiceId;
use crate::ShardId;
use crate::latency::LatencyHistogram;

/// Minimum number of samples for an estimate; with fewer, a high quantile would be the maximum.
const MIN_SHARD_SAMPLES: u32 = 64;
/// Number of samples between two computations of an estimate.
const SAMPLES_PER_ESTIMATE: u32 = 16;
/// Quantile below which a reply is not expected, in permille.
const MIN_EXPECTED_PERMILLE: u32 = 50;
/// Quantile above which a call counts as late, in permille.
const LATE_PERMILLE: u32 = 950;

/// Latency estimate for the next call to a shard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimate {
    /// Minimum latency to expect; a call with less time left is useless.
    pub(crate) min_expected: Duration,
    /// Latency at the quantile of the hedge policy.
    pub(crate) hedge_latency: Duration,
    /// Latency above which a call counts as late.
    pub(crate) late_threshold: Duration,
}

/// Index of a shard's latency in a [`LatencyTable`].
pub(crate) type LatencyIndex = u32;

/// Latency of every shard, and of each service for shards without an estimate of their own.
pub(crate) struct LatencyTable {
    hedge_permille: u32,
    cold: LatencyEstimate,
    services: HashMap<(ServiceId, ProviderId), ServiceLatency>,
    entries: Vec<ShardLatency>,
}

/// Indices of a service's aggregate entry and of its shards' entries.
struct ServiceLatency {
    aggregate: LatencyIndex,
    shards: HashMap<ShardId, LatencyIndex>,
}

/// Histogram of a shard or a service, with its estimate.
struct ShardLatency {
    histogram: LatencyHistogram,
    estimate: Option<LatencyEstimate>,
    samples_until_estimate: u32,
    service: LatencyIndex,
}

impl LatencyTable {
    /// Creates an empty table.
    ///
    /// `cold_latency` stands in for the estimate of a service that has too few samples.
    pub(crate) fn new(hedge_permille: u32, cold_latency: Duration) -> LatencyTable {
        let cold = LatencyEstimate {
            min_expected: Duration::ZERO,
            hedge_latency: cold_latency,
            late_threshold: cold_latency,
        };
        LatencyTable { hedge_permille, cold, services: HashMap::new(), entries: Vec::new() }
    }

    /// Returns the index of a shard, adding the shard on first use.
    pub(crate) fn intern(
        &mut self,
        service: &ServiceId,
        provider: &ProviderId,
        shard: ShardId,
    ) -> LatencyIndex {
        let key = (service.clone(), provider.clone());
        let entries = &mut self.entries;
        let service = self.services.entry(key).or_insert_with(|| ServiceLatency {
            aggregate: add_entry(entries, None),
            shards: HashMap::new(),
        });
        let aggregate = service.aggregate;
        *service.shards.entry(shard).or_insert_with(|| add_entry(entries, Some(aggregate)))
    }

    /// Records the latency of a call to the shard.
    pub(crate) fn record(&mut self, index: LatencyIndex, latency: Duration) {
        let service = self.entries[index as usize].service;
        let hedge_permille = self.hedge_permille;
        self.entries[index as usize].record(latency, hedge_permille);
        self.entries[service as usize].record(latency, hedge_permille);
    }

    /// Returns the estimate of the shard, else of its service, else the cold estimate.
    pub(crate) fn estimate(&self, index: LatencyIndex) -> LatencyEstimate {
        let shard = &self.entries[index as usize];
        let service = &self.entries[shard.service as usize];
        shard.estimate.or(service.estimate).unwrap_or(self.cold)
    }
}

impl ShardLatency {
    fn record(&mut self, latency: Duration, hedge_permille: u32) {
        self.histogram.record(latency);
        self.samples_until_estimate = self.samples_until_estimate.saturating_sub(1);
        if self.samples_until_estimate > 0 || self.histogram.samples() < MIN_SHARD_SAMPLES {
            return;
        }
        self.samples_until_estimate = SAMPLES_PER_ESTIMATE;
        let quantile = |permille| self.histogram.quantile(permille).unwrap_or_default();
        self.estimate = Some(LatencyEstimate {
            min_expected: quantile(MIN_EXPECTED_PERMILLE),
            hedge_latency: quantile(hedge_permille),
            late_threshold: quantile(LATE_PERMILLE),
        });
    }
}

fn add_entry(entries: &mut Vec<ShardLatency>, service: Option<LatencyIndex>) -> LatencyIndex {
    let index = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    entries.push(ShardLatency {
        histogram: LatencyHistogram::new(),
        estimate: None,
        samples_until_estimate: 0,
        service: service.unwrap_or(index),
    });
    index
}
