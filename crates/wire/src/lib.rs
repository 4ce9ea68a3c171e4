//! Message types of all oleanderwind interfaces: admin API, callers, platform, searchers and peers.
//!
//! The JSON types accept unknown fields and require every field, unless an attribute on the type or
//! field says otherwise. The peer types in [`peer`] are generated from `proto/peer.proto` by
//! `tools/generate` and committed.

mod admin;
mod caller;
pub mod peer;
mod platform;
mod searcher;

pub use admin::ClassOutcome;
pub use admin::ContractDocument;
pub use admin::ContractEdit;
pub use admin::EditReport;
pub use admin::EditVerdict;
pub use admin::FleetMember;
pub use admin::HistoryEntry;
pub use admin::RouteExplanation;
pub use admin::RoutingStatus;
pub use admin::ShardTargets;
pub use admin::SuspectWork;
pub use admin::TargetStatus;
pub use admin::UnansweredRequest;
pub use admin::VmStatus;
pub use caller::AddressAnswer;
pub use caller::CallerAnswer;
pub use caller::CoverageReport;
pub use caller::RefusalReport;
pub use platform::API_PREFIX;
pub use platform::ObjectDocument;
pub use platform::ObjectList;
pub use platform::ObjectMetadata;
pub use platform::PlatformStatus;
pub use platform::WatchEvent;
pub use platform::WatchKind;
pub use searcher::CancelCall;
pub use searcher::ExecuteAnswer;
pub use searcher::ExecuteCall;
pub use searcher::SearchHit;
pub use searcher::SearcherRefusal;
pub use searcher::ShardAnswer;
pub use searcher::ShardCall;
