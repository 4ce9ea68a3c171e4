//! When a new VM may serve.

use std::collections::BTreeMap;

use crate::Revision;
use crate::VmId;

/// Peers whose word is enough when the platform can't be asked.
const PEER_PROOFS: usize = 3;

/// Holds a new VM back until its configuration is proven.
///
/// Proof is a whole list from the platform, or everything that each of three peers (of
/// all, when there are fewer) holds. A VM that knows of no peer needs the platform.
#[derive(Clone, Debug, Default)]
pub struct ReadinessGate {
    platform_revision: Option<Revision>,
    peers: BTreeMap<VmId, Revision>,
    opened: bool,
}

impl ReadinessGate {
    /// The platform's lists were taken in, which made everything up to `complete_revision` held.
    pub fn record_platform_listing(&mut self, complete_revision: Revision) {
        self.platform_revision = Some(complete_revision);
    }

    /// A peer that serves said up to which revision it holds everything.
    pub fn record_peer(&mut self, vm: &VmId, complete_revision: Revision) {
        if !self.opened && complete_revision > 0 {
            self.peers.insert(vm.clone(), complete_revision);
        }
    }

    /// Whether the VM may serve, holding everything up to `complete_revision`; once open it stays so.
    pub fn is_open(&mut self, complete_revision: Revision, known_peers: usize) -> bool {
        self.opened = self.opened || self.is_proven(complete_revision, known_peers);
        self.opened
    }

    /// Whether what is held is as new as what the asked ones hold.
    fn is_proven(&self, complete_revision: Revision, known_peers: usize) -> bool {
        // A lagging list may be complete up to nothing yet; it is the platform's word all the same.
        if self.platform_revision.is_some_and(|revision| complete_revision >= revision) {
            return true;
        }
        if complete_revision == 0 {
            return false;
        }
        let wanted = PEER_PROOFS.min(known_peers).max(1);
        let newest = self.peers.values().max().copied().unwrap_or(Revision::MAX);
        self.peers.len() >= wanted && complete_revision >= newest
    }
}
