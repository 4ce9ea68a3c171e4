//! Readiness of a new VM.

use std::collections::BTreeMap;

use crate::Revision;
use crate::VmId;

/// Number of peers whose revisions suffice as proof if the platform can't be reached.
const REQUIRED_PEERS: usize = 3;

/// Keeps a new VM from serving until its configuration is proven current.
///
/// The proof is a full listing from the platform, or holding everything that each of three peers
/// holds (of all peers, if there are fewer). A VM that knows no peers needs the platform.
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

    /// Returns whether the VM may serve if it holds everything up to `complete_revision`.
    ///
    /// Once open, the gate stays open.
    pub fn is_open(&mut self, complete_revision: Revision, known_peers: usize) -> bool {
        self.opened = self.opened || self.is_up_to_date(complete_revision, known_peers);
        self.opened
    }

    /// Returns whether the VM holds everything that the platform or enough peers hold.
    fn is_up_to_date(&self, complete_revision: Revision, known_peers: usize) -> bool {
        // A lagging list may be complete up to revision 0 only, but it counts as proof all the same.
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
