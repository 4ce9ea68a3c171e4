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

/// Neighbours that a VM passes a change on to.
const PUSH_FANOUT: usize = 3;
/// Bound of the objects in one message, in bytes; a single larger one goes alone.
const MESSAGE_BYTES: usize = 64 * 1_024;
/// Peers in a row that have forgotten deletions, after which a whole listing is pulled.
const REFUSAL_LIMIT: u32 = 3;
/// A pull that got no reply by then is taken for lost.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a VM that lacks something waits for its own failure domain before it pulls from
/// another: a heartbeat a second with a near peer, in a fleet of three failure domains, and a half.
const FAR_PULL_AFTER: Duration = Duration::from_millis(1_500);

/// One thing for the driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
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
        full: bool,
    },
}

/// Changes that this VM lacks, by a peer's word.
#[derive(Clone, Copy, Debug)]
struct LackedChange {
    since: Instant,
    revision: Revision,
}

/// One VM's part in the spread of configuration.
#[derive(Clone, Debug, Default)]
pub struct GossipEngine {
    store: ObjectStore,
    /// When the running pull was sent; one runs at a time.
    pulling_since: Option<Instant>,
    /// What peers are known to hold beyond this VM.
    lacked: Option<LackedChange>,
    /// Whether the running pull crosses failure domains.
    is_far_pull: bool,
    /// Whether the running pull stands in for one that failed.
    is_second_pull: bool,
    /// Pages of the whole listing that is being pulled.
    listing: Option<ObjectListing>,
    /// Peers in a row that had forgotten deletions.
    refusals: u32,
}

impl GossipEngine {
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
    /// A first list is left to the peers' own lists and pulls.
    pub fn handle_listing(
        &mut self,
        listing: &ObjectListing,
        members: &mut MembershipEngine,
    ) -> Vec<GossipAction> {
        let is_first = self.store.summary().highest_revision == 0;
        let fresh: Vec<ConfigurationObject> = listing
            .objects
            .values()
            .filter(|object| self.store.is_newer(object))
            .cloned()
            .collect();
        self.store.apply_listing(listing);
        if is_first || fresh.is_empty() {
            return Vec::new();
        }
        push_to(members, &fresh)
    }

    /// Takes changes in, from a watch or from a peer, and passes on what was news.
    pub fn handle_changes(
        &mut self,
        objects: &[ConfigurationObject],
        members: &mut MembershipEngine,
    ) -> Vec<GossipAction> {
        let fresh: Vec<ConfigurationObject> =
            objects.iter().filter(|object| self.store.apply(object)).cloned().collect();
        if fresh.is_empty() {
            return Vec::new();
        }
        push_to(members, &fresh)
    }

    /// Every watched kind is known up to `revision`.
    pub fn handle_watch_progress(&mut self, revision: Revision) {
        self.store.advance_complete_revision(revision);
    }

    /// Compares a peer's summary with the own one and pulls if something may be missing.
    ///
    /// Bytes between failure domains are dear, so that a peer of another one, not `is_near`, is
    /// asked only once the own one has not helped for a while.
    pub fn handle_summary(
        &mut self,
        vm: &VmId,
        is_near: bool,
        peer: ObjectSummary,
        now: Instant,
    ) -> Option<GossipAction> {
        let held = self.store.summary();
        if (peer.digest, peer.highest_revision) == (held.digest, held.highest_revision) {
            // The same objects, so that the peer's proof holds here as well.
            self.store.advance_complete_revision(peer.complete_revision);
        }
        let own = self.store.summary();
        self.lacked = self.lacked.filter(|lacked| lacked.revision > own.complete_revision);
        let may_lack = peer.digest != own.digest && peer.highest_revision >= own.highest_revision;
        if !may_lack && peer.complete_revision <= own.complete_revision {
            return None;
        }
        let lacked = LackedChange {
            since: now,
            revision: peer.highest_revision.max(peer.complete_revision),
        };
        let since = self.lacked.get_or_insert(lacked).since;
        let is_pulling = self.pulling_since.is_some_and(|since| now < since + PULL_TIMEOUT);
        if is_pulling || (!is_near && now < since + FAR_PULL_AFTER) {
            return None;
        }
        self.is_second_pull = false;
        let full = own.complete_revision == 0 || self.refusals >= REFUSAL_LIMIT;
        Some(self.begin_pull(vm.clone(), full, !is_near, now))
    }

    fn begin_pull(&mut self, vm: VmId, full: bool, is_far: bool, now: Instant) -> GossipAction {
        self.pulling_since = Some(now);
        self.is_far_pull = is_far;
        self.listing = full.then(ObjectListing::default);
        let after = if full { 0 } else { self.store.summary().complete_revision };
        GossipAction::Pull { vm, after, full }
    }

    /// The reply to a peer's pull.
    pub fn handle_pull(&self, after: Revision, full: bool) -> ObjectDelta {
        self.store.delta_after(after, full, MESSAGE_BYTES)
    }

    /// A pull brought no page: a neighbour is asked at once, in place of waiting for a heartbeat; if
    /// that fails too, the next heartbeat decides.
    pub fn handle_pull_failure(
        &mut self,
        members: &mut MembershipEngine,
        now: Instant,
    ) -> Option<GossipAction> {
        self.listing = None;
        self.pulling_since = None;
        if std::mem::replace(&mut self.is_second_pull, true) {
            return None;
        }
        // The second of two is a random one, if there is another beside the next by name.
        let neighbour = members.sample_domain_peers(2).pop()?;
        let full = self.store.summary().complete_revision == 0;
        Some(self.begin_pull(neighbour, full, false, now))
    }

    /// Takes a page in; asks for the next when there is one.
    ///
    /// Changes that came from another failure domain are passed on, as the neighbours are likely to
    /// lack them too.
    pub fn handle_pull_page(
        &mut self,
        vm: &VmId,
        after: Revision,
        delta: &ObjectDelta,
        members: &mut MembershipEngine,
        now: Instant,
    ) -> Vec<GossipAction> {
        let full = self.listing.is_some();
        let fresh = match self.listing.as_mut() {
            Some(listing) => {
                listing.add_page(delta);
                Vec::new()
            }
            None => self.store.apply_delta(after, delta),
        };
        let mut actions = Vec::new();
        if self.is_far_pull && !fresh.is_empty() {
            actions.extend(push_to(members, &fresh));
        }
        self.refusals = if delta.too_old { self.refusals + 1 } else { 0 };
        self.pulling_since = delta.has_more.then_some(now);
        if delta.has_more {
            actions.push(GossipAction::Pull {
                vm: vm.clone(),
                after: delta.scanned_revision,
                full,
            });
            return actions;
        }
        self.lacked = None;
        if let Some(listing) = self.listing.take() {
            self.store.apply_listing(&listing);
        }
        actions
    }
}

/// Sends objects to a few neighbours, which pass on what is news to them.
///
/// Each failure domain hears from its own watches; what it misses is pulled.
fn push_to(members: &mut MembershipEngine, objects: &[ConfigurationObject]) -> Vec<GossipAction> {
    let neighbours = members.sample_domain_peers(PUSH_FANOUT);
    let mut pushes = Vec::new();
    let mut rest = objects;
    while !rest.is_empty() {
        let (message, left) = rest.split_at(fitting(rest));
        let push = |vm: &VmId| GossipAction::Push { vm: vm.clone(), objects: message.to_vec() };
        pushes.extend(neighbours.iter().map(push));
        rest = left;
    }
    pushes
}

/// How many of the first objects fit in a message; one always does.
fn fitting(objects: &[ConfigurationObject]) -> usize {
    let mut bytes = 0;
    let fits = |object: &&ConfigurationObject| {
        bytes += object.max_encoded_len();
        bytes <= MESSAGE_BYTES
    };
    objects.iter().take_while(fits).count().max(1)
}
