//! Errors of the kernel.

use std::fmt;

use crate::kernel::ServiceName;

/// An error in looking up a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KernelError {
    /// No service is registered under the name. Services must be registered before their users.
    Missing(ServiceName),
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KernelError::Missing(name) => {
                write!(
                    f,
                    "service {name:?} is not registered; it must be registered before its users"
                )
            }
        }
    }
}

impl std::error::Error for KernelError {}
