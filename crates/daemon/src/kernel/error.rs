//! What may go wrong in the kernel.

use std::fmt;

use crate::kernel::ServiceName;

/// A service that should be there isn't.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KernelError {
    /// Nothing is registered under the name; register it before those that need it.
    Missing(ServiceName),
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KernelError::Missing(name) => {
                write!(f, "service {name:?} is not registered; register it before its users")
            }
        }
    }
}

impl std::error::Error for KernelError {}
