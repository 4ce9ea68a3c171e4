//! HTTP interface for callers.

mod addresses;
mod answer;
mod execute;
mod request;
mod search;
mod service;

pub use answer::RefusalKind;
pub(crate) use service::FrontService;
