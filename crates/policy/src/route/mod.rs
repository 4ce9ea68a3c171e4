//! Routes: what operators promise for requests that targets' services answer themselves.
//!
//! A route stands beside a customer's contract for requests whose bytes the tier passes on
//! unread: it says which services serve a path, in which time, and how often a request may run.

mod configuration;
mod contract;
mod destination;
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
