//! Which services answer a route's requests.

use crate::ServiceId;

/// The services of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetSet {
    /// One target of the service answers.
    One(ServiceId),
    /// One target of one of the services answers; the services take turns by weight.
    Weighted(Vec<ServiceShare>),
    /// One target of each service answers, and the answers are merged.
    Shards(ShardSet),
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
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
    pub top: usize,
    /// Least number of shards that an answer covers; at least 1.
    pub floor: usize,
}

impl TargetSet {
    /// Every service of the set.
    pub fn services(&self) -> Vec<&ServiceId> {
        match self {
            TargetSet::One(service) => vec![service],
            TargetSet::Weighted(shares) => shares.iter().map(|share| &share.service).collect(),
            TargetSet::Shards(shards) => shards.services.iter().collect(),
        }
    }
}
