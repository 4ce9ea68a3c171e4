//! Callers' HTTP interface.

mod addresses;
mod answer;
mod request;
mod search;
mod service;

pub(crate) use service::FrontService;
