//! Configuration in effect on this VM.

mod service;
mod state;

pub(crate) use service::DirectoryService;
pub(crate) use state::ActiveRoutes;
