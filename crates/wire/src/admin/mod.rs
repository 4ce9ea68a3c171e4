//! Messages of the admin HTTP API, which operators use.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `GET /v1/status` | none | [`VmStatus`] |
//! | `GET /v1/routing` | none | [`RoutingStatus`] |
//! | `GET /v1/fleet` | none | list of [`FleetMember`] |
//! | `GET /v1/contracts` | none | list of [`ContractDocument`] |
//! | `GET /v1/contracts/{customer}` | none | [`ContractDocument`] |
//! | `GET /v1/contracts/{customer}/history` | none | list of [`HistoryEntry`], newest first |
//! | `POST /v1/contracts/validate` | a contract | [`EditReport`] |
//! | `PUT /v1/contracts/{customer}` | [`ContractEdit`] | [`EditReport`] |
//! | `GET /v1/outcomes` | none | list of [`ClassOutcome`] |
//! | `GET /v1/explain?customer=&class=` | none | [`RouteExplanation`] |
//! | `GET /v1/quarantine` | none | list of [`SuspectWork`], newest first |
//! | `POST /v1/quarantine/{work}/clear`, `.../block` | none | [`SuspectWork`] |
//! | `POST /v1/drain` | none | 202 |

mod contract;
mod quarantine;
mod status;

pub use contract::ContractDocument;
pub use contract::ContractEdit;
pub use contract::EditReport;
pub use contract::EditVerdict;
pub use contract::HistoryEntry;
pub use quarantine::SuspectWork;
pub use status::ClassOutcome;
pub use status::FleetMember;
pub use status::RouteExplanation;
pub use status::RoutingStatus;
pub use status::ShardTargets;
pub use status::TargetStatus;
pub use status::UnansweredRequest;
pub use status::VmStatus;
