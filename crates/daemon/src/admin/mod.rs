//! The HTTP interface for operators.

mod edit;
mod explain;
mod history;
mod quarantine;
mod reply;
mod service;

pub(crate) use history::last_edit_ms;
pub(crate) use service::AdminService;
