//! The services of the oleanderwind daemon.
//!
//! A [`Daemon`] is a small kernel with services that look each other up by name. All services run
//! on one thread. Only the handlers of the peer protocol run on other threads; they exchange
//! messages with the services through channels.

mod admin;
mod admission;
mod daemon;
mod directory;
mod edge;
mod fanout;
mod front;
mod kernel;
mod ledger;
mod logging;
mod metrics;
mod outcomes;
mod peers;
mod platform;
mod process;
mod routes;
mod settings;
mod sync;
mod targets;
mod time;

pub use daemon::Daemon;
pub use daemon::DaemonAddresses;
pub use daemon::DaemonEdges;
pub use edge::CallHead;
pub use edge::CallerProtocol;
pub use edge::IncomingCall;
pub use edge::ObjectKind;
pub use edge::OpaqueRequest;
pub use edge::PlatformClient;
pub use edge::PlatformError;
pub use edge::ReplyMetadata;
pub use edge::TargetNotice;
pub use edge::WatchHold;
pub use edge::WatchStream;
pub use front::RefusalKind;
pub use logging::BufferedLines;
pub use logging::start_logging;
pub use platform::product_edges;
pub use process::run_daemon;
pub use settings::DaemonSettings;
pub use settings::RawSettings;
