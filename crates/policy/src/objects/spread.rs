//! Passing changes on, and pulling what was missed.

use std::time::Duration;
use std::time::Instant;

use crate::ConfigurationObject;
use crate::MembershipEngine;
use crate::ObjectDelta;
use crate::ObjectListing;
use crate::ObjectStore;
use crate::ObjectSummary;
use crate::Revision;
use crate::VmId;

/// Peers that a VM passes a change on to.
const PUSH_FANOUT: usize = 3;
/// Bound of one pull's reply, in bytes.
const PULL_BYTES: usize = 64 * 1_024;
/// Peers in a row that have forgotten deletions, after which a whole listing is pulled.
const REFUSAL_LIMIT: u32 = 3;
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
        /// A whole listing is wanted, see [`ObjectListing`].
        whole: bool,
    },
}

/// One VM's part in the spread of configuration.
#[derive(Clone, Debug, Default)]
pub struct SpreadEngine {
    store: ObjectStore,
    /// When the running pull was sent; one runs at a time.
    pulling_since: Option<Instant>,
    /// Pages of the whole listing that is being pulled.
    listing: Option<ObjectListing>,
    /// Peers in a row that had forgotten deletions.
    refusals: u32,
}

impl SpreadEngine {
    /// The objects held.
    pub fn store(&self) -> &ObjectStore {
        &self.store
    }

    /// Takes the platform's lists of every kind in.
    pub fn apply_listing(&mut self, listing: &ObjectListing) {
        self.store.apply_listing(listing);
    }

    /// Takes the platform's lists of every kind in, and passes on what was news.
    ///
    /// A first list and one with more news than fits a message are left to the peers' own lists and
    /// pulls.
    pub fn listed(
        &mut self,
        listing: &ObjectListing,
        members: &mut MembershipEngine,
    ) -> Vec<SpreadAction> {
        let is_first = self.store.summary().highest == 0;
        let fresh: Vec<ConfigurationObject> =
            listing.objects.values().filter(|object| self.store.is_news(object)).cloned().collect();
        self.store.apply_listing(listing);
        let bytes: usize = fresh.iter().map(ConfigurationObject::encoded_bound).sum();
        if is_first || fresh.is_empty() || bytes > PULL_BYTES {
            return Vec::new();
        }
        push_to(members, &fresh)
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
        push_to(members, &fresh)
    }

    /// Every watched kind is known up to `revision`.
    pub fn watched_to(&mut self, revision: Revision) {
        self.store.raise_complete(revision);
    }

    /// Compares a peer's summary with the own one and pulls if something may be missing.
    pub fn heard(&mut self, vm: &VmId, peer: ObjectSummary, now: Instant) -> Option<SpreadAction> {
        let own = self.store.summary();
        let may_lack = peer.digest != own.digest && peer.highest >= own.highest;
        let is_pulling = self.pulling_since.is_some_and(|since| now < since + PULL_TIMEOUT);
        if is_pulling || !(may_lack || peer.complete_to > own.complete_to) {
            return None;
        }
        self.pulling_since = Some(now);
        let whole = own.complete_to == 0 || self.refusals >= REFUSAL_LIMIT;
        self.listing = whole.then(ObjectListing::default);
        let after = if whole { 0 } else { own.complete_to };
        Some(SpreadAction::Pull { vm: vm.clone(), after, whole })
    }

    /// The reply to a peer's pull.
    pub fn pull_asked(&self, after: Revision, whole: bool) -> ObjectDelta {
        self.store.delta_after(after, whole, PULL_BYTES)
    }

    /// Takes a page in; asks for the next when there is one.
    pub fn pull_came(
        &mut self,
        vm: &VmId,
        after: Revision,
        delta: &ObjectDelta,
        now: Instant,
    ) -> Option<SpreadAction> {
        let whole = self.listing.is_some();
        match self.listing.as_mut() {
            Some(listing) => listing.add_page(delta),
            None => drop(self.store.apply_delta(after, delta)),
        }
        self.refusals = if delta.too_old { self.refusals + 1 } else { 0 };
        self.pulling_since = delta.has_more.then_some(now);
        if delta.has_more {
            return Some(SpreadAction::Pull { vm: vm.clone(), after: delta.scanned_to, whole });
        }
        if let Some(listing) = self.listing.take() {
            self.store.apply_listing(&listing);
        }
        None
    }
}

/// Sends objects to a few peers, which pass on what is news to them.
fn push_to(members: &mut MembershipEngine, objects: &[ConfigurationObject]) -> Vec<SpreadAction> {
    let push = |vm| SpreadAction::Push { vm, objects: objects.to_vec() };
    members.sample_peers(PUSH_FANOUT).into_iter().map(push).collect()
}
