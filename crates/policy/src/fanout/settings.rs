//! Settings of the engine.

use std::time::Duration;

use crate::FailureDomainId;
use crate::LoadNews;
use crate::RoutingPolicy;

/// Default quantile of a shard's latency after which it is hedged, in thousandths.
const DEFAULT_HEDGE_PERMILLE: u32 = 950;

/// When a hedge, a second call, is sent for a shard that has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum HedgePolicy {
    /// Never.
    None,
    /// After a fixed time.
    FixedDelay(Duration),
    /// After a quantile of the shard's observed latency.
    ///
    /// See Dean and Barroso, "The Tail at Scale".
    Quantile {
        /// Quantile in thousandths.
        permille: u32,
    },
}

/// How long a query that meets its coverage floor waits for missing shards.
///
/// Applies only to queries whose contract prefers latency to coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum FloorWait {
    /// Until the late quantile of each missing shard's latency has passed.
    Late,
    /// Until a hedge sent at the regular hedge delay would be late as well.
    HedgeAnswer,
    /// Until a fraction of the time to the deadline has passed.
    DeadlineShare {
        /// Fraction in thousandths.
        permille: u32,
    },
}

/// Settings of a [`FanoutEngine`](crate::FanoutEngine). The defaults are those of the product.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub struct FanoutSettings {
    /// Upper 24 bits of each call id, so that ids differ between VMs.
    pub call_id_prefix: u32,
    /// Seed of the random number generator.
    pub seed: u64,
    /// How a target is chosen among a shard's replicas.
    pub routing: RoutingPolicy,
    /// How a report of a target's load is taken as it gets older.
    pub load_news: LoadNews,
    /// When a hedge is sent.
    pub hedge: HedgePolicy,
    /// Longest hedge delay, in thousandths of the time left to the query's objective.
    pub max_hedge_delay_permille: u32,
    /// How long a query that meets its floor waits for the missing shards.
    pub floor_wait: FloorWait,
    /// Latency assumed for a service without samples.
    pub cold_latency: Duration,
    /// Time reserved before a deadline for merging and replying, at most a quarter of the time
    /// left.
    pub answer_margin: Duration,
    /// Maximum extra calls saved up in a customer's budget.
    pub customer_burst: u32,
    /// Extra calls that this VM may send to a service in any window beyond the share of its primary
    /// calls, for queries charged to services.
    pub service_share: u32,
    /// Length of that window.
    pub service_window: Duration,
    /// Failure domain of this VM. With `None`, all targets count as local.
    pub own_domain: Option<FailureDomainId>,
    /// Penalty added to the expected wait of targets in other failure domains.
    pub crossing_cost: Duration,
    /// Maximum length of the queue of one target. Deferrable calls may fill at most half of it.
    pub queue_limit: usize,
}

impl Default for FanoutSettings {
    fn default() -> FanoutSettings {
        FanoutSettings {
            call_id_prefix: 1,
            seed: 1,
            routing: RoutingPolicy::ExpectedWait,
            load_news: LoadNews::default(),
            hedge: HedgePolicy::Quantile { permille: DEFAULT_HEDGE_PERMILLE },
            max_hedge_delay_permille: 400,
            floor_wait: FloorWait::HedgeAnswer,
            cold_latency: Duration::from_millis(50),
            answer_margin: Duration::from_millis(5),
            customer_burst: 100,
            service_share: 6,
            service_window: Duration::from_secs(10),
            own_domain: None,
            crossing_cost: Duration::ZERO,
            queue_limit: 64,
        }
    }
}

impl HedgePolicy {
    /// Returns the latency quantile to track for each shard, in thousandths.
    pub(crate) fn permille(self) -> u32 {
        match self {
            HedgePolicy::Quantile { permille } => permille,
            HedgePolicy::None | HedgePolicy::FixedDelay(_) => DEFAULT_HEDGE_PERMILLE,
        }
    }

    /// Returns the time from a shard's first call to its hedge, given the shard's latency quantile.
    ///
    /// Returns `None` if hedging is off.
    pub(crate) fn delay(self, quantile: Duration) -> Option<Duration> {
        match self {
            HedgePolicy::None => None,
            HedgePolicy::FixedDelay(delay) => Some(delay),
            HedgePolicy::Quantile { .. } => Some(quantile),
        }
    }
}
