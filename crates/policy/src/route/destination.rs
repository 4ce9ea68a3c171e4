//! The services that answer a route's requests.

use crate::ServiceId;

/// How a route's requests are distributed over services.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// One target of this service answers.
    Single(ServiceId),
    /// One target of one of the services answers; the service is chosen by weighted round robin.
    Weighted(Vec<WeightedService>),
    /// One target of every service answers, and the answers are merged.
    Sharded(ShardSet),
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the other weights; at least 1.
    pub weight: u32,
}

/// The shards of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSet {
    /// One service per shard.
    pub services: Vec<ServiceId>,
    /// Maximum number of records in a merged answer.
    pub record_limit: usize,
    /// Minimum number of shards that an answer must cover; at least 1.
    pub min_shards: usize,
}

impl RouteDestination {
    /// Returns all services, in configuration order.
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
