//! Stand-ins of the platform and of the searchers, for tests and demos.
//!
//! [`StandinServer::start`] serves the Object API, every searcher of the chosen deployments and
//! a control port on loopback ports, all on the calling thread's actix system. [`FaultOrder`] and
//! [`PlatformFault`] inject faults, within the process or over the control port.

mod command;
mod control;
mod deployment;
mod documents;
mod net;
mod platform;
mod searcher;
mod server;

pub use command::ListenAddresses;
pub use command::SettingsSource;
pub use command::StandinCommand;
pub use command::run;
pub use deployment::DeploymentName;
pub use deployment::DeploymentPlan;
pub use deployment::ServicePlan;
pub use documents::first_document;
pub use documents::shard_documents;
pub use documents::shard_hits;
pub use platform::CallCount;
pub use platform::CallKind;
pub use platform::PlatformFault;
pub use platform::PlatformReport;
pub use platform::SilenceManner;
pub use searcher::CallReport;
pub use searcher::ExecutionRecord;
pub use searcher::ReplyFault;
pub use searcher::SearcherFault;
pub use searcher::ServiceTimeSettings;
pub use server::FaultOrder;
pub use server::FaultScope;
pub use server::OrderReport;
pub use server::SnapshotOrder;
pub use server::StandinServer;
pub use server::StandinSettings;
