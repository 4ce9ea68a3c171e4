//! The platform as the other services find it.

use std::cell::Cell;
use std::ops::Deref;

use crate::edge::PlatformClient;

/// Holds the edge that the process was started with.
pub(crate) struct PlatformService {
    edge: Box<dyn PlatformClient>,
    calls: Cell<u64>,
}

impl PlatformService {
    /// Serves calls through `edge`.
    pub(crate) fn new(edge: Box<dyn PlatformClient>) -> PlatformService {
        PlatformService { edge, calls: Cell::new(0) }
    }

    /// Calls made so far, a watch counted as one.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.get()
    }
}

impl Deref for PlatformService {
    type Target = dyn PlatformClient;

    /// Every use of the edge is one call.
    fn deref(&self) -> &Self::Target {
        self.calls.set(self.calls.get() + 1);
        &*self.edge
    }
}
