//! What a VM does that hears neither the platform nor any peer.

use std::time::Duration;
use std::time::Instant;

/// Time in which a change must be in force everywhere; past it a silent VM may lack one.
const STALE_AFTER: Duration = Duration::from_secs(13);
/// Time after which a VM that hears nobody takes no more requests.
const ISOLATED_AFTER: Duration = Duration::from_secs(600);

/// How far the VM's configuration can be trusted to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ContactState {
    /// Heard from somebody lately.
    Fresh,
    /// A change may have been missed: still serves, but leaves its own address answers.
    Stale,
    /// Refuses requests as not run.
    Isolated,
}

/// Remembers when the platform or any peer was last heard.
///
/// Callers keep an address answer for a while and can't be called back, so that a VM that is cut
/// off from its peers but not from callers goes on on its last configuration for
/// ten minutes. Requests that may not be repeated need the platform anyway and are refused
/// from the first moment. Regions that lose each other stay fresh, as their VMs hear each other.
#[derive(Clone, Copy, Debug)]
pub struct ContactTracker {
    heard_at: Instant,
}

impl ContactTracker {
    /// Starts as heard `now`.
    pub fn new(now: Instant) -> ContactTracker {
        ContactTracker { heard_at: now }
    }

    /// The platform or a peer was heard.
    pub fn record_contact(&mut self, now: Instant) {
        self.heard_at = self.heard_at.max(now);
    }

    /// How far to trust the configuration.
    pub fn state(&self, now: Instant) -> ContactState {
        match now.saturating_duration_since(self.heard_at) {
            silence if silence < STALE_AFTER => ContactState::Fresh,
            silence if silence < ISOLATED_AFTER => ContactState::Stale,
            _ => ContactState::Isolated,
        }
    }
}
