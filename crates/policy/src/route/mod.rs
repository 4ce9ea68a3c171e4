//! Routes: what operators promise for requests that targets' services answer themselves.
//!
//! A route stands beside a customer's contract for requests whose bytes the tier passes on
//! unread: it says which services serve a path, in which time, and how often a request may run.

mod configuration;
mod contract;
mod merge;
mod raw;
mod table;
mod target_set;
mod turns;

pub use configuration::CallerLimits;
pub use configuration::RouteConfiguration;
pub use configuration::ServiceTerms;
pub use contract::RouteContract;
pub use merge::RECORD_BYTES;
pub use merge::merge_records;
pub use raw::RawCallerLimits;
pub use raw::RawRoute;
pub use raw::RawRouteConfiguration;
pub use raw::RawServiceShare;
pub use raw::RawServiceTerms;
pub use raw::RawShardSet;
pub use table::RouteTable;
pub use target_set::ServiceShare;
pub use target_set::ShardSet;
pub use target_set::TargetSet;
pub use turns::ShareTurns;
