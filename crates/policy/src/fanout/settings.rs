//! Settings of the engine.

use std::time::Duration;

use crate::FailureDomainId;
use crate::RoutingPolicy;

/// Quantile of a shard's own latency after which it is hedged, in thousandths.
const HEDGE_PERMILLE: u32 = 950;

/// When a second call is sent for a shard that has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum HedgePolicy {
    /// Never.
    None,
    /// After a fixed time.
    FixedDelay(Duration),
    /// After a quantile of the shard's own observed latency.
    ///
    /// After Dean and Barroso, "The Tail at Scale".
    Quantile {
        /// The quantile, in thousandths.
        permille: u32,
    },
}

/// How long a query whose contract prefers time waits at its floor for the missing shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum FloorWait {
    /// Until each is late by its own expected latency.
    Late,
    /// Until a hedge sent in time would be late too.
    HedgeAnswer,
    /// Until a part of the time to the deadline has passed.
    DeadlineShare {
        /// The part, in thousandths.
        permille: u32,
    },
}

/// How the engine decides; the defaults are the product's.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub struct FanoutSettings {
    /// Put into the upper 24 bits of each call id, so that ids differ between VMs.
    pub call_id_prefix: u32,
    /// Seed of every random choice.
    pub seed: u64,
    /// How a target is chosen.
    pub routing: RoutingPolicy,
    /// When a second call is sent.
    pub hedge: HedgePolicy,
    /// Latest time of a hedge, in thousandths of the time to a query's objective.
    pub hedge_objective_permille: u32,
    /// How long a query that may answer at its floor waits for the rest.
    pub floor_wait: FloorWait,
    /// Latency taken for a service without samples.
    pub cold_latency: Duration,
    /// Time kept before a deadline for merging and replying; at most a quarter of what is left.
    pub answer_margin: Duration,
    /// Extra calls that a customer may save up.
    pub extra_load_burst: u32,
    /// Extra calls that may be saved up for a service, where services pay for them.
    pub service_burst: u32,
    /// Where this VM stands; none treats all targets as equally near.
    pub own_domain: Option<FailureDomainId>,
    /// Expected wait that a target in another failure domain has to save.
    pub crossing_cost: Duration,
    /// Shard calls that may wait for one target; deferrable ones fill at most half.
    pub queue_limit: usize,
}

impl Default for FanoutSettings {
    fn default() -> FanoutSettings {
        FanoutSettings {
            call_id_prefix: 1,
            seed: 1,
            routing: RoutingPolicy::ExpectedWait,
            hedge: HedgePolicy::Quantile { permille: HEDGE_PERMILLE },
            hedge_objective_permille: 400,
            floor_wait: FloorWait::HedgeAnswer,
            cold_latency: Duration::from_millis(50),
            answer_margin: Duration::from_millis(5),
            extra_load_burst: 100,
            service_burst: 6,
            own_domain: None,
            crossing_cost: Duration::ZERO,
            queue_limit: 64,
        }
    }
}

impl HedgePolicy {
    /// The quantile to keep for each shard.
    pub(crate) fn permille(self) -> u32 {
        match self {
            HedgePolicy::Quantile { permille } => permille,
            HedgePolicy::None | HedgePolicy::FixedDelay(_) => HEDGE_PERMILLE,
        }
    }

    /// Time from a shard's first call to its hedge, given its own quantile.
    pub(crate) fn delay(self, quantile: Duration) -> Option<Duration> {
        match self {
            HedgePolicy::None => None,
            HedgePolicy::FixedDelay(delay) => Some(delay),
            HedgePolicy::Quantile { .. } => Some(quantile),
        }
    }
}
