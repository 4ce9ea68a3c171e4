//! Latency of each shard, over all its replicas.

use std::collections::HashMap;
use std::time::Duration;

use crate::ProviderId;
use crate::ServiceId;
use crate::ShardId;
use crate::latency::LatencyHistogram;

/// Samples before an estimate is made; fewer would take the worst of them for a high quantile.
const MIN_SHARD_SAMPLES: u32 = 64;
/// Samples between two computations of an estimate.
const ESTIMATE_PERIOD: u32 = 16;
/// Quantile below which a call is not expected to return, in thousandths.
const FASTEST_PERMILLE: u32 = 50;
/// Quantile after which a call counts as late, in thousandths.
const LATE_PERMILLE: u32 = 950;

/// What to expect of a shard's next call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimate {
    /// A call with less time than this is of no use.
    pub(crate) min_expected: Duration,
    /// After this a hedge is due.
    pub(crate) hedge_quantile: Duration,
    /// After this the call is late.
    pub(crate) late_threshold: Duration,
}

/// Index of a shard's latency in a [`LatencyTable`].
pub(crate) type LatencyIndex = u32;

/// Latency of every shard and, for shards not yet known, of its service.
pub(crate) struct LatencyTable {
    hedge_permille: u32,
    cold: LatencyEstimate,
    services: HashMap<(ServiceId, ProviderId), ServiceLatency>,
    entries: Vec<ShardLatency>,
}

/// Indices of a service's own entry and of its shards.
struct ServiceLatency {
    whole: LatencyIndex,
    shards: HashMap<ShardId, LatencyIndex>,
}

/// One histogram with its estimate.
struct ShardLatency {
    histogram: LatencyHistogram,
    estimate: Option<LatencyEstimate>,
    until_estimate: u32,
    service: LatencyIndex,
}

impl LatencyTable {
    /// An empty table; `cold_latency` stands in until a service has samples.
    pub(crate) fn new(hedge_permille: u32, cold_latency: Duration) -> LatencyTable {
        let cold = LatencyEstimate {
            min_expected: Duration::ZERO,
            hedge_quantile: cold_latency,
            late_threshold: cold_latency,
        };
        LatencyTable { hedge_permille, cold, services: HashMap::new(), entries: Vec::new() }
    }

    /// The index of a shard, made on first use.
    pub(crate) fn intern(
        &mut self,
        service: &ServiceId,
        provider: &ProviderId,
        shard: ShardId,
    ) -> LatencyIndex {
        let key = (service.clone(), provider.clone());
        let entries = &mut self.entries;
        let service = self.services.entry(key).or_insert_with(|| ServiceLatency {
            whole: add_entry(entries, None),
            shards: HashMap::new(),
        });
        let whole = service.whole;
        *service.shards.entry(shard).or_insert_with(|| add_entry(entries, Some(whole)))
    }

    /// Takes in the latency of a call to the shard.
    pub(crate) fn record(&mut self, index: LatencyIndex, latency: Duration) {
        let service = self.entries[index as usize].service;
        let hedge_permille = self.hedge_permille;
        self.entries[index as usize].record(latency, hedge_permille);
        self.entries[service as usize].record(latency, hedge_permille);
    }

    /// What to expect of the shard, else of its service, else of any.
    pub(crate) fn estimate(&self, index: LatencyIndex) -> LatencyEstimate {
        let shard = &self.entries[index as usize];
        let service = &self.entries[shard.service as usize];
        shard.estimate.or(service.estimate).unwrap_or(self.cold)
    }
}

impl ShardLatency {
    fn record(&mut self, latency: Duration, hedge_permille: u32) {
        self.histogram.record(latency);
        self.until_estimate = self.until_estimate.saturating_sub(1);
        if self.until_estimate > 0 || self.histogram.samples() < MIN_SHARD_SAMPLES {
            return;
        }
        self.until_estimate = ESTIMATE_PERIOD;
        let quantile = |permille| self.histogram.quantile(permille).unwrap_or_default();
        self.estimate = Some(LatencyEstimate {
            min_expected: quantile(FASTEST_PERMILLE),
            hedge_quantile: quantile(hedge_permille),
            late_threshold: quantile(LATE_PERMILLE),
        });
    }
}

fn add_entry(entries: &mut Vec<ShardLatency>, service: Option<LatencyIndex>) -> LatencyIndex {
    let index = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    entries.push(ShardLatency {
        histogram: LatencyHistogram::new(),
        estimate: None,
        until_estimate: 0,
        service: service.unwrap_or(index),
    });
    index
}
