//! Client of the platform's Object API.

mod edges;
mod http;
mod service;
mod watch_events;

pub use edges::product_edges;
pub(crate) use http::HttpPlatformClient;
pub(crate) use service::PlatformService;
