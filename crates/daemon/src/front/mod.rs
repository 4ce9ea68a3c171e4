//! Callers' HTTP interface.

mod addresses;
mod answer;
mod execute;
mod request;
mod search;
mod service;

pub(crate) use service::FrontService;
