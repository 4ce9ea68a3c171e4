//! Traits at the edges of the process.

mod platform;
mod reply;

pub(crate) use platform::ObjectKind;
pub(crate) use platform::PlatformEdge;
pub(crate) use platform::PlatformError;
pub(crate) use platform::WatchStream;
pub(crate) use platform::edge_kind;
pub(crate) use reply::announced_length;
