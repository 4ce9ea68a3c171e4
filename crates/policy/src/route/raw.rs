//! Routes as they are stored, before they are checked.

use serde::Deserialize;
use serde::Serialize;

use crate::OperationKind;

/// Every route of one configuration version.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRouteConfiguration {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// What is known of the services that routes name.
    pub services: Vec<RawServiceConfiguration>,
    /// Bounds of what callers may send.
    pub limits: RawCallerLimits,
}

/// One route; exactly one of `service`, `shares` and `shards` is given.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// Unique name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub operation: OperationKind,
    /// Time in which an answer has its full worth.
    pub objective_ms: u64,
    /// Longest time that a request may be kept waiting.
    pub time_limit_ms: u64,
    /// Most targets that may run one request.
    pub attempts: u32,
    /// Order under load, 0 first.
    pub rank: u32,
    /// The one service that answers.
    #[serde(default)]
    pub service: Option<String>,
    /// Services that share the requests.
    #[serde(default)]
    pub shares: Option<Vec<RawWeightedService>>,
    /// Services that each hold a shard of the data.
    #[serde(default)]
    pub shards: Option<RawShardSet>,
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawWeightedService {
    /// The service.
    pub service: String,
    /// Its part, relative to the other weights.
    pub weight: u32,
}

/// The shards that a route's requests are sent to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawShardSet {
    /// One service a shard.
    pub services: Vec<String>,
    /// Records that an answer holds at most.
    pub top: usize,
    /// Least part of the shards that an answer covers, 0 to 1.
    pub floor: f64,
}

/// What is known of a service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawServiceConfiguration {
    /// The service.
    pub service: String,
    /// Connections that one of its targets accepts from all callers.
    pub connection_limit: u32,
    /// Path of its targets' health check.
    pub health_path: String,
}

/// Bounds of what a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallerLimits {
    /// Longest head.
    pub head_bytes: usize,
    /// Longest body.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_ms: u64,
    /// Longest time between two requests of a connection.
    pub idle_ms: u64,
}
