//! Passing changes on, and pulling what was missed.

use std::time::Duration;
use std::time::Instant;

use crate::ConfigurationObject;
use crate::MembershipEngine;
use crate::ObjectDelta;
use crate::ObjectStore;
use crate::ObjectSummary;
use crate::Revision;
use crate::VmId;

/// Peers that a VM passes a change on to.
const PUSH_FANOUT: usize = 3;
/// Bound of one pull's reply, in bytes.
const PULL_BYTES: usize = 64 * 1_024;
/// A pull that got no reply by then is taken for lost.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// One thing for the driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Send changed objects.
    Push {
        /// The peer.
        vm: VmId,
        /// What changed.
        objects: Vec<ConfigurationObject>,
    },
    /// Ask a peer for objects after a revision.
    Pull {
        /// The peer.
        vm: VmId,
        /// Objects changed after this revision are wanted.
        after: Revision,
    },
}

/// One VM's part in the spread of configuration.
#[derive(Clone, Debug, Default)]
pub struct SpreadEngine {
    store: ObjectStore,
    /// When the running pull was sent; one runs at a time.
    pulling_since: Option<Instant>,
}

impl SpreadEngine {
    /// The objects held.
    pub fn store(&self) -> &ObjectStore {
        &self.store
    }

    /// Takes the platform's list of every kind in.
    pub fn apply_list(&mut self, list: &[ConfigurationObject], revision: Revision) {
        self.store.apply_list(list, revision);
    }

    /// Takes changes in, from a watch or from a peer, and passes on what was news.
    pub fn changed(
        &mut self,
        objects: &[ConfigurationObject],
        members: &mut MembershipEngine,
    ) -> Vec<SpreadAction> {
        let fresh: Vec<ConfigurationObject> =
            objects.iter().filter(|object| self.store.apply(object)).cloned().collect();
        if fresh.is_empty() {
            return Vec::new();
        }
        let push = |vm| SpreadAction::Push { vm, objects: fresh.clone() };
        members.sample_peers(PUSH_FANOUT).into_iter().map(push).collect()
    }

    /// Every watched kind is known up to `revision`.
    pub fn watched_to(&mut self, revision: Revision) {
        self.store.raise_complete(revision);
    }

    /// Compares a peer's summary with the own one and pulls if something may be missing.
    pub fn heard(&mut self, vm: &VmId, peer: ObjectSummary, now: Instant) -> Option<SpreadAction> {
        let own = self.store.summary();
        if peer.digest == own.digest {
            // The same objects exist here, so that what is complete there is complete here.
            self.store.raise_complete(peer.complete_to);
            return None;
        }
        let is_pulling = self.pulling_since.is_some_and(|since| now < since + PULL_TIMEOUT);
        if peer.highest < own.highest || is_pulling {
            return None;
        }
        self.pulling_since = Some(now);
        Some(SpreadAction::Pull { vm: vm.clone(), after: own.complete_to })
    }

    /// The reply to a peer's pull.
    pub fn pull_asked(&self, after: Revision) -> ObjectDelta {
        self.store.delta_after(after, PULL_BYTES)
    }

    /// Takes a page in; asks for the next when there is one.
    pub fn pull_came(
        &mut self,
        vm: &VmId,
        after: Revision,
        delta: &ObjectDelta,
        now: Instant,
    ) -> Option<SpreadAction> {
        self.store.apply_delta(after, delta);
        self.pulling_since = delta.has_more.then_some(now);
        delta.has_more.then(|| SpreadAction::Pull { vm: vm.clone(), after: delta.scanned_to })
    }
}
