//! Calls to the platform's Object API.

mod http;
mod lines;
mod service;

pub(crate) use http::HttpPlatform;
pub(crate) use service::PlatformService;
