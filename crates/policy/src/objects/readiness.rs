//! Readiness of a new VM.

use std::collections::BTreeMap;

use crate::Revision;
use crate::VmId;

/// Minimum number of peers whose revisions must be known for a proof without the platform.
const REQUIRED_PEERS: usize = 3;

/// Keeps a new VM from serving until its configuration is proven current.
///
/// The proof is a full listing from the platform, or holding everything that any recorded peer
/// holds, once at least three peers (all, if fewer are known) are recorded. A VM without a recorded
/// peer needs the platform.
#[derive(Clone, Debug, Default)]
pub struct ReadinessGate {
    platform_revision: Option<Revision>,
    peers: BTreeMap<VmId, Revision>,
    opened: bool,
}

impl ReadinessGate {
    /// Records that the platform's lists were applied, after which everything up to
    /// `complete_revision` is held.
    pub fn record_platform_listing(&mut self, complete_revision: Revision) {
        self.platform_revision = Some(complete_revision);
    }

    /// Records the revision up to which a serving peer holds everything.
    pub fn record_peer(&mut self, vm: &VmId, complete_revision: Revision) {
        if !self.opened && complete_revision > 0 {
            self.peers.insert(vm.clone(), complete_revision);
        }
    }

    /// Opens the gate if holding everything up to `complete_revision` is proof enough, and returns
    /// whether it is open.
    ///
    /// Once open, the gate stays open.
    pub fn try_open(&mut self, complete_revision: Revision, known_peers: usize) -> bool {
        self.opened = self.opened || self.is_up_to_date(complete_revision, known_peers);
        self.opened
    }

    /// Returns whether the VM holds everything that the platform or enough peers hold.
    fn is_up_to_date(&self, complete_revision: Revision, known_peers: usize) -> bool {
        // A listing may be complete only up to revision 0, because the platform's lists lag. It
        // still counts as proof.
        if self.platform_revision.is_some_and(|revision| complete_revision >= revision) {
            return true;
        }
        if complete_revision == 0 {
            return false;
        }
        let required = REQUIRED_PEERS.min(known_peers).max(1);
        let newest = self.peers.values().max().copied().unwrap_or(Revision::MAX);
        self.peers.len() >= required && complete_revision >= newest
    }
}
