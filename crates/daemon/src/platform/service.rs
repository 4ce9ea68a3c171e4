//! Platform service: counted access to the Object API.

use std::cell::Cell;
use std::ops::Deref;

use crate::edge::PlatformClient;

/// Client of the Object API that counts its calls.
pub(crate) struct PlatformService {
    client: Box<dyn PlatformClient>,
    calls: Cell<u64>,
}

impl PlatformService {
    /// Creates a service that makes its calls through `client`.
    pub(crate) fn new(client: Box<dyn PlatformClient>) -> PlatformService {
        PlatformService { client, calls: Cell::new(0) }
    }

    /// Returns the number of calls made so far; a watch counts as one.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.get()
    }
}

impl Deref for PlatformService {
    type Target = dyn PlatformClient;

    /// Returns the client and counts one call, whichever method is used.
    fn deref(&self) -> &Self::Target {
        self.calls.set(self.calls.get() + 1);
        &*self.client
    }
}
