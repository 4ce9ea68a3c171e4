//! Calls to the platform's Object API.

mod edges;
mod http;
mod lines;
mod service;

pub use edges::product_edges;
pub(crate) use http::HttpPlatform;
pub(crate) use service::PlatformService;
