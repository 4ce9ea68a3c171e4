//! Which services answer a route's requests.

use crate::ServiceId;

/// The services of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// One target of the service answers.
    Single(ServiceId),
    /// One target of one of the services answers; the services take turns by weight.
    Weighted(Vec<WeightedService>),
    /// One target of each service answers, and the answers are merged.
    Sharded(ShardSet),
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other weights; at least 1.
    pub weight: u32,
}

/// The shards of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSet {
    /// One service a shard.
    pub services: Vec<ServiceId>,
    /// Records that an answer holds at most.
    pub top_k: usize,
    /// Least number of shards that an answer covers; at least 1.
    pub min_shards: usize,
}

impl RouteDestination {
    /// Every service of the set.
    pub fn services(&self) -> Vec<&ServiceId> {
        match self {
            RouteDestination::Single(service) => vec![service],
            RouteDestination::Weighted(shares) => {
                shares.iter().map(|share| &share.service).collect()
            }
            RouteDestination::Sharded(shards) => shards.services.iter().collect(),
        }
    }
}
