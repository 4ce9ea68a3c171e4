//! Detection of a VM that has lost contact with the platform and with all peers.

use std::time::Duration;
use std::time::Instant;

/// Time within which a change must take effect everywhere; a VM without contact for longer may have
/// missed one.
const STALE_AFTER: Duration = Duration::from_secs(13);
/// Time without contact after which a VM refuses requests.
const ISOLATED_AFTER: Duration = Duration::from_secs(600);

/// Degree to which the VM's configuration can be trusted to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ContactState {
    /// Recently in contact with the platform or a peer.
    Fresh,
    /// May have missed a change: still serves, but leaves itself out of its address answers.
    Stale,
    /// Refuses all requests and reports them as not run.
    Isolated,
}

/// Tracks the last contact with the platform or any peer.
///
/// Callers cache address answers, which can't be revoked. A VM that is cut off from its peers but
/// not from callers therefore serves its last configuration for ten minutes. Requests that may not
/// be repeated need the platform anyway and are refused at once. Regions that lose contact with
/// each other stay fresh, as the VMs within each region still reach one another.
#[derive(Clone, Copy, Debug)]
pub struct ContactTracker {
    last_contact: Instant,
}

impl ContactTracker {
    /// Creates a tracker with a contact at `now`.
    pub fn new(now: Instant) -> ContactTracker {
        ContactTracker { last_contact: now }
    }

    /// Records a contact with the platform or a peer.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Returns the state of the contact at `now`.
    pub fn state(&self, now: Instant) -> ContactState {
        match now.saturating_duration_since(self.last_contact) {
            silence if silence < STALE_AFTER => ContactState::Fresh,
            silence if silence < ISOLATED_AFTER => ContactState::Stale,
            _ => ContactState::Isolated,
        }
    }
}
