//! A query tier over many shards, driven by one contract for each customer.
//!
//! The crates behind this one: `policy` holds every decision without I/O, `wire` the message types,
//! `daemon` the services of a VM, `standin` stand-ins of the platform and of the searchers, and
//! `load` the load and experiment tool.

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
