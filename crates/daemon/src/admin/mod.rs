//! Operators' HTTP interface.

mod service;

pub(crate) use service::AdminService;
