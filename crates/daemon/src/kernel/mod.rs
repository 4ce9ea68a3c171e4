//! The kernel: registers services, looks them up by name and drains them in order.

mod error;
mod registry;
mod service;

pub(crate) use error::KernelError;
pub(crate) use registry::Kernel;
pub(crate) use service::Service;
pub(crate) use service::ServiceName;
