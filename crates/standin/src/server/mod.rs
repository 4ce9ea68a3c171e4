//! Server that starts the stand-ins and applies control orders.

mod endpoint;
mod order;
mod settings;
mod standin;
mod state;

pub(crate) use endpoint::ServedEndpoint;
pub use order::FaultOrder;
pub use order::FaultScope;
pub use order::OrderReport;
pub use order::SnapshotOrder;
pub use settings::StandinSettings;
pub use standin::StandinServer;
pub(crate) use standin::default_limiter;
pub(crate) use state::ServerState;
pub(crate) use state::serve_searcher;
