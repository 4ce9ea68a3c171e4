//! Configuration in effect on this VM.

mod service;
mod source;
mod state;

pub(crate) use service::DirectoryService;
pub(crate) use source::ChangeSource;
pub(crate) use state::ActiveRoutes;
