//! Traits at the edges of the process.

mod callers;
mod platform;
mod reply;

pub use callers::CallerDialect;
pub use callers::CallerQuestion;
pub use callers::OpaqueRequest;
pub use callers::TargetMarks;
pub use platform::ObjectKind;
pub use platform::PlatformEdge;
pub use platform::PlatformError;
pub use platform::WatchStream;
pub(crate) use platform::edge_kind;
pub(crate) use reply::announced_length;
