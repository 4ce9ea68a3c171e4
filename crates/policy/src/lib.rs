//! Every decision of oleanderwind, without I/O and without a clock.
//!
//! Events and the time go in, actions come out; random numbers come from a seeded generator.

mod budget;
mod contract;
mod fanout;
mod finding;
mod ids;
mod latency;
mod load;
mod outcome;
mod routing;
mod slots;
mod snapshot;

pub use contract::AnswerPreference;
pub use contract::ClassPriority;
pub use contract::ClassTerms;
pub use contract::CustomerContract;
pub use contract::OperationKind;
pub use contract::PlacementShare;
pub use contract::RawClass;
pub use contract::RawContract;
pub use contract::RawPlacement;
pub use fanout::EngineCounts;
pub use fanout::ExecutorOutcome;
pub use fanout::FanoutAction;
pub use fanout::FanoutEngine;
pub use fanout::FanoutEvent;
pub use fanout::FanoutPlan;
pub use fanout::FanoutResult;
pub use fanout::FanoutSettings;
pub use fanout::FinishReason;
pub use fanout::HedgePolicy;
pub use fanout::QueryId;
pub use finding::Finding;
pub use finding::FindingList;
pub use ids::CallId;
pub use ids::ClassId;
pub use ids::CustomerId;
pub use ids::FailureDomainId;
pub use ids::IdempotencyKey;
pub use ids::IndexVersion;
pub use ids::ProviderId;
pub use ids::Revision;
pub use ids::ServiceId;
pub use ids::ShardId;
pub use ids::TargetId;
pub use ids::VmId;
pub use load::LoadReport;
pub use outcome::RefusalCause;
pub use outcome::RequestOutcome;
pub use outcome::RunState;
pub use routing::RoutingPolicy;
pub use snapshot::ShardEntry;
pub use snapshot::SnapshotManifest;
pub use snapshot::TargetPhase;
pub use snapshot::TargetSpec;
