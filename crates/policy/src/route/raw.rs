//! Routes as they are stored, before validation.

use serde::Deserialize;
use serde::Serialize;

use crate::OperationKind;
use crate::RawOrganisation;

/// All routes of one configuration version, before validation.
///
/// Fields of later builds are ignored, and those that are not set are left out for earlier builds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RawRouteConfiguration {
    /// Version number; increases with every change, but not always by 1.
    pub version: u64,
    /// Routes to validate.
    pub routes: Vec<RawRoute>,
    /// Settings of the services that the routes name.
    pub services: Vec<RawServiceConfiguration>,
    /// Limits on callers' requests and connections.
    pub limits: RawCallerLimits,
    /// Organisations whose keys admit requests; `None` if requests need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<RawOrganisation>>,
}

/// One route; exactly one of `service`, `shares` and `shards` must be given.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RawRoute {
    /// Unique name.
    pub name: String,
    /// Host name in callers' requests.
    pub host: String,
    /// Path prefix that the route serves; must begin and end with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub operation: OperationKind,
    /// Latency that answers should meet, in milliseconds.
    pub objective_ms: u64,
    /// Maximum time until a request is answered or refused, in milliseconds.
    pub time_limit_ms: u64,
    /// Maximum number of targets that may execute one request.
    pub attempts: u32,
    /// Priority under load; 0 is the highest.
    pub rank: u32,
    /// The service that answers all requests.
    #[serde(default)]
    pub service: Option<String>,
    /// Services among which the requests are distributed by weight.
    #[serde(default)]
    pub shares: Option<Vec<RawWeightedService>>,
    /// Services that each hold one shard of the data.
    #[serde(default)]
    pub shards: Option<RawShardSet>,
    /// Whether requests need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
    /// Regions whose targets may serve the route; none for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<String>,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawWeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other weights.
    pub weight: u32,
}

/// The shards that every request of a route is sent to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawShardSet {
    /// One service per shard.
    pub services: Vec<String>,
    /// Maximum number of records in a merged answer.
    pub top: usize,
    /// Minimum fraction of the shards that an answer must cover, 0 to 1.
    pub floor: f64,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RawServiceConfiguration {
    /// Name of the service.
    pub service: String,
    /// Maximum number of connections that one of its targets accepts from all VMs together.
    pub connection_limit: u32,
    /// Path of the health check on its targets.
    pub health_path: String,
    /// Requests per second that one of its targets takes while it is cold; 0 if none is named.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_requests_per_second: f64,
}

/// Limits on the size of callers' requests and the time to send them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a caller may take to send a request head, in milliseconds.
    pub head_ms: u64,
    /// Maximum idle time between two requests on one connection, in milliseconds.
    pub idle_ms: u64,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}
