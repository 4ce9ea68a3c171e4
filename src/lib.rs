//! Query tier over many shards, configured by one contract for each customer.
//!
//! This crate builds the programs and exports the interface of the crates below it:
//!
//! - `policy` makes all decisions, without I/O.
//! - `wire` defines the message types.
//! - `daemon` implements the services of a VM.
//! - `ctl` implements the command-line client for operators.
//! - `standin` implements stand-ins of the platform and of the searchers.
//! - `load` implements the load and experiment tool.

pub use oleanderwind_ctl::CommandOutcome;
pub use oleanderwind_ctl::ControlCommand;
pub use oleanderwind_ctl::run_command;
pub use oleanderwind_daemon::BufferedLines;
pub use oleanderwind_daemon::Daemon;
pub use oleanderwind_daemon::DaemonAddresses;
pub use oleanderwind_daemon::DaemonSettings;
pub use oleanderwind_daemon::RawSettings;
pub use oleanderwind_daemon::RefusalKind;
pub use oleanderwind_daemon::product_edges;
pub use oleanderwind_daemon::run_daemon;
pub use oleanderwind_daemon::start_logging;
