//! Operators' HTTP interface.

mod edit;
mod explain;
mod history;
mod reply;
mod service;

pub(crate) use service::AdminService;
