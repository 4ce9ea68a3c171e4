//! Routes: the contracts of requests that the tier forwards without parsing their bodies.
//!
//! A route takes the place of a customer's contract for such requests: it names the services that
//! serve a path, the time limit, and how many targets may execute one request.

mod configuration;
mod contract;
mod destination;
mod homes;
mod merge;
mod raw;
mod table;
mod weighted_round_robin;

pub use configuration::CallerLimits;
pub use configuration::RouteConfiguration;
pub use configuration::ServiceConfiguration;
pub use contract::RouteContract;
pub use destination::RouteDestination;
pub use destination::ShardSet;
pub use destination::WeightedService;
pub use homes::HomeRegions;
pub use merge::RECORD_BYTES;
pub use merge::merge_records;
pub use raw::RawCallerLimits;
pub use raw::RawRoute;
pub use raw::RawRouteConfiguration;
pub use raw::RawServiceConfiguration;
pub use raw::RawShardSet;
pub use raw::RawWeightedService;
pub use table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
