//! Push of changes to peers and pull of missed changes.

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
use crate::objects::era::era_of;

/// Number of peers to which a VM pushes a change.
const PUSH_FANOUT: usize = 3;
/// Number of peers to which a VM pushes a change that it pulled within its failure domain.
const NEXT_VM_ONLY: usize = 1;
/// Maximum size of the objects in one message, in bytes; a single larger object is sent alone.
const MAX_MESSAGE_BYTES: usize = 64 * 1_024;
/// Consecutive fruitless pulls after which a full listing is pulled.
const FRUITLESS_PULL_LIMIT: u32 = 3;
/// Time after which a full listing, of which one is pulled at a time, is pulled from another peer.
const LISTING_PATIENCE: Duration = Duration::from_secs(2);
/// Time that a VM waits for changes from its own failure domain before it pulls from another one.
/// In a fleet of three failure domains it exchanges about one heartbeat with a peer of its own
/// domain in this time.
const CROSS_DOMAIN_PULL_DELAY: Duration = Duration::from_millis(1_500);
/// Time that a VM waits for pushes, and for a heartbeat which shows that it has got them, before it asks a peer of
/// its failure domain that has announced nothing.
const CHASE_DELAY: Duration = Duration::from_secs(1);
/// Time after which it asks no more until a peer announces changes again.
const CHASE_TIME: Duration = Duration::from_secs(5);
/// Time for which peers may hold changes that this VM's own watches have not brought, before these
/// count as lost. A watch pauses for less after changes.
const PEER_LEAD_LIMIT: Duration = Duration::from_millis(500);

/// Network call for the driver to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send changed objects.
    Push {
        /// The peer.
        vm: VmId,
        /// The changed objects.
        objects: Vec<ConfigurationObject>,
    },
    /// Request objects from a peer.
    Pull(ObjectPull),
}

/// Request for objects after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectPull {
    /// The peer that is asked.
    pub vm: VmId,
    /// Revision after which changed objects are requested.
    pub after: Revision,
    /// Whether a full listing is requested, see [`ObjectListing`].
    pub full: bool,
}

/// The pull whose reply is awaited.
#[derive(Clone, Debug)]
struct RunningPull {
    vm: VmId,
    started_at: Instant,
    /// Whether it goes to another failure domain.
    is_cross_domain: bool,
    /// Whether the peer has announced changes that this VM lacks.
    is_announced: bool,
}

/// Changes that this VM lacks according to a peer's summary.
#[derive(Clone, Copy, Debug)]
struct MissingChanges {
    /// When the first such summary arrived.
    since: Instant,
    /// Revision at which nothing is missing any more.
    revision: Revision,
}

/// Propagation of configuration objects by one VM.
#[derive(Clone, Debug, Default)]
pub struct GossipEngine {
    store: ObjectStore,
    /// The pull that was begun last, until its last page arrives.
    pull: Option<RunningPull>,
    /// Changes that peers hold and this VM lacks, or holds and does not know to be complete.
    missing: Option<MissingChanges>,
    /// Objects that peers hold and this VM lacks.
    lacking: Option<MissingChanges>,
    /// Whether the pull in flight is the retry of one that failed.
    is_retry: bool,
    /// Pages received of the full listing that is being pulled.
    listing: Option<ObjectListing>,
    /// Consecutive pulls that brought nothing, although the peer held other objects.
    fruitless_pulls: u32,
    /// Revision for which the watches were checked last.
    checked_revision: Revision,
}

impl GossipEngine {
    /// Time after which another peer is asked for changes too. Peers that are stopping or slow answer late or never, and
    /// in a rolling restart a VM may meet several of them within the limit for a change.
    pub const PULL_PATIENCE: Duration = Duration::from_millis(500);

    /// Returns the objects held.
    pub fn store(&self) -> &ObjectStore {
        &self.store
    }

    /// Applies a full listing without pushing changes.
    pub fn apply_listing(&mut self, listing: &ObjectListing) {
        self.store.apply_listing(listing);
    }

    /// Applies the platform's lists of every kind and pushes what was new or removed.
    ///
    /// Nothing is pushed after the first listing of an empty store: the peers have their own
    /// listings and pulls.
    pub fn handle_listing(
        &mut self,
        listing: &ObjectListing,
        members: &mut MembershipEngine,
    ) -> Vec<GossipAction> {
        let is_first = self.store.summary().highest_revision == 0;
        let changes = self.store.apply_listing(listing);
        if is_first {
            // A copy may lack what peers hold, and no revision shows it.
            if era_of(listing.complete_revision) > 0 {
                self.fruitless_pulls = FRUITLESS_PULL_LIMIT;
            }
            return Vec::new();
        }
        if changes.is_empty() {
            return Vec::new();
        }
        push_changes(members, &changes, PUSH_FANOUT)
    }

    /// Applies changes from a watch or a peer and pushes what was new.
    pub fn handle_changes(
        &mut self,
        objects: &[ConfigurationObject],
        members: &mut MembershipEngine,
    ) -> Vec<GossipAction> {
        let new_objects: Vec<ConfigurationObject> =
            objects.iter().filter_map(|object| self.store.merge(object)).collect();
        if new_objects.is_empty() {
            return Vec::new();
        }
        push_changes(members, &new_objects, PUSH_FANOUT)
    }

    /// Records that the watches of all kinds have delivered everything up to `revision`.
    pub fn handle_watch_progress(&mut self, revision: Revision) {
        self.store.advance_complete_revision(revision);
    }

    /// Returns the revision up to which a peer holds changes that this VM lacks, once this VM's watches
    /// should have brought them: they may be lost and have to begin anew.
    ///
    /// Returns each revision once, as no watch brings what only peers hold.
    pub fn begin_watch_check(&mut self, now: Instant) -> Option<Revision> {
        let missing = self.missing.filter(|missing| {
            now >= missing.since + PEER_LEAD_LIMIT && missing.revision > self.checked_revision
        })?;
        self.checked_revision = missing.revision;
        Some(missing.revision)
    }

    /// Compares a peer's summary with this VM's and starts a pull if changes may be missing.
    ///
    /// Traffic between failure domains is expensive. A peer of another domain (`same_domain` is
    /// false) is used only if the changes are still missing after a delay.
    pub fn handle_summary(
        &mut self,
        vm: &VmId,
        same_domain: bool,
        peer: ObjectSummary,
        now: Instant,
    ) -> Option<GossipAction> {
        let held = self.store.summary();
        if (peer.digest, peer.highest_revision) == (held.digest, held.highest_revision) {
            // Both hold the same objects, so what is complete at the peer is complete here.
            self.store.advance_complete_revision(peer.complete_revision);
            // A peer may lack the same objects.
            self.lacking = self.lacking.filter(|lacking| lacking.revision > held.highest_revision);
        }
        let own = self.store.summary();
        self.missing = self.missing.filter(|missing| missing.revision > own.complete_revision);
        let may_miss = peer.digest != own.digest && peer.highest_revision >= own.highest_revision;
        if !may_miss && peer.complete_revision <= own.complete_revision {
            return None;
        }
        if may_miss {
            let lacking = MissingChanges { since: now, revision: peer.highest_revision };
            self.lacking.get_or_insert(lacking);
        }
        let missing = MissingChanges {
            since: now,
            revision: peer.highest_revision.max(peer.complete_revision),
        };
        let since = self.missing.get_or_insert(missing).since;
        if self.is_pulling(now) || (!same_domain && now < since + CROSS_DOMAIN_PULL_DELAY) {
            return None;
        }
        self.is_retry = false;
        let full = own.complete_revision == 0 || self.fruitless_pulls >= FRUITLESS_PULL_LIMIT;
        let running = RunningPull {
            vm: vm.clone(),
            started_at: now,
            is_cross_domain: !same_domain,
            is_announced: true,
        };
        Some(self.begin_pull(running, full))
    }

    /// Returns whether a pull was begun so lately that no other one may begin beside it.
    fn is_pulling(&self, now: Instant) -> bool {
        let patience = match self.listing {
            Some(_) => LISTING_PATIENCE,
            None => Self::PULL_PATIENCE,
        };
        self.pull.as_ref().is_some_and(|pull| now < pull.started_at + patience)
    }

    /// Returns whether peers hold objects that this VM lacks.
    pub fn lacks_changes(&self) -> bool {
        self.lacking.is_some()
    }

    /// Pulls changes that this VM has lacked for a while from a peer of its failure domain, which has most probably
    /// got them by now.
    ///
    /// Called every [`GossipEngine::PULL_PATIENCE`] while changes are missing, so that the time until this VM has them
    /// does not depend on who sends the next heartbeat.
    pub fn chase_changes(
        &mut self,
        members: &mut MembershipEngine,
        now: Instant,
    ) -> Option<GossipAction> {
        // Who announced them may be gone with what nobody else holds.
        self.lacking = self.lacking.filter(|lacking| now < lacking.since + CHASE_TIME);
        let is_due = self.lacking.is_some_and(|lacking| now >= lacking.since + CHASE_DELAY);
        let has_started = self.store.summary().complete_revision > 0;
        if !is_due || !has_started || self.is_pulling(now) {
            return None;
        }
        self.pull_from_own_domain(members, now)
    }

    /// Pulls from a random peer of this VM's failure domain, which has announced nothing.
    fn pull_from_own_domain(
        &mut self,
        members: &mut MembershipEngine,
        now: Instant,
    ) -> Option<GossipAction> {
        // The second of two is random; with a single peer it is that one.
        let vm = members.sample_domain_peers(2).pop()?;
        let full = self.store.summary().complete_revision == 0;
        let running =
            RunningPull { vm, started_at: now, is_cross_domain: false, is_announced: false };
        Some(self.begin_pull(running, full))
    }

    fn begin_pull(&mut self, running: RunningPull, full: bool) -> GossipAction {
        let vm = running.vm.clone();
        self.pull = Some(running);
        self.listing = full.then(ObjectListing::default);
        let after = if full { 0 } else { self.store.summary().complete_revision };
        GossipAction::Pull(ObjectPull { vm, after, full })
    }

    /// Returns the reply to a peer's pull.
    pub fn handle_pull(&self, after: Revision, full: bool) -> ObjectDelta {
        self.store.delta_after(after, full, MAX_MESSAGE_BYTES)
    }

    /// Returns whether the reply to the pull that was begun last comes from this VM.
    fn awaits(&self, vm: &VmId) -> bool {
        self.pull.as_ref().is_some_and(|pull| pull.vm == *vm)
    }

    /// Handles a pull from `vm` without a reply.
    ///
    /// Nothing is done if another one was begun since. The first failure is retried at once with a peer of this VM's
    /// failure domain, without waiting for the next heartbeat. If the retry fails too, the next heartbeat starts a new
    /// pull.
    pub fn handle_pull_failure(
        &mut self,
        vm: &VmId,
        members: &mut MembershipEngine,
        now: Instant,
    ) -> Option<GossipAction> {
        if !self.awaits(vm) {
            return None;
        }
        self.listing = None;
        self.pull = None;
        if std::mem::replace(&mut self.is_retry, true) {
            return None;
        }
        self.pull_from_own_domain(members, now)
    }

    /// Applies a page and requests the next one if there is more.
    ///
    /// If another pull was begun since, only the changes of the page are used, and none of a listing.
    /// Changes pulled from another failure domain are pushed to several peers of this VM's domain,
    /// which are likely to lack them too. Others are pushed to the next VM only: each VM passes on
    /// to the next one whatever is new to it, so that none depends on being drawn at random.
    pub fn handle_pull_page(
        &mut self,
        pull: &ObjectPull,
        delta: &ObjectDelta,
        members: &mut MembershipEngine,
        now: Instant,
    ) -> Vec<GossipAction> {
        let is_awaited = self.awaits(&pull.vm);
        let complete_before = self.store.summary().complete_revision;
        let new_objects = match (pull.full, self.listing.as_mut()) {
            (false, _) => self.store.apply_delta(pull.after, delta),
            (true, Some(listing)) if is_awaited => {
                listing.add_page(delta);
                Vec::new()
            }
            (true, _) => return Vec::new(),
        };
        let mut actions = Vec::new();
        if !new_objects.is_empty() {
            let is_cross_domain = self.pull.as_ref().is_some_and(|pull| pull.is_cross_domain);
            let fanout = if is_cross_domain { PUSH_FANOUT } else { NEXT_VM_ONLY };
            actions.extend(push_changes(members, &new_objects, fanout));
        }
        if !is_awaited {
            return actions;
        }
        // Objects that the peer has removed by a listing stay here: it has no tombstones of them.
        let has_progress = !new_objects.is_empty()
            || self.store.summary().complete_revision > complete_before
            || delta.has_more
            || pull.full;
        let is_announced = self.pull.as_ref().is_some_and(|pull| pull.is_announced);
        match has_progress {
            true => self.fruitless_pulls = 0,
            false => self.fruitless_pulls += u32::from(is_announced),
        }
        if delta.has_more {
            if let Some(running) = self.pull.as_mut() {
                running.started_at = now;
            }
            let next = ObjectPull { after: delta.scanned_revision, ..pull.clone() };
            actions.push(GossipAction::Pull(next));
            return actions;
        }
        self.pull = None;
        if has_progress || is_announced {
            self.missing = None;
            self.lacking = None;
        }
        if let Some(listing) = self.listing.take() {
            self.store.apply_listing(&listing);
        }
        actions
    }
}

/// Pushes objects to `fanout` peers of this VM's failure domain, which push what is new to them. The
/// first is the next VM by name.
///
/// Each failure domain gets changes from its own watches and pulls what it misses.
fn push_changes(
    members: &mut MembershipEngine,
    objects: &[ConfigurationObject],
    fanout: usize,
) -> Vec<GossipAction> {
    let peers = members.sample_domain_peers(fanout);
    let mut pushes = Vec::new();
    let mut unsent = objects;
    while !unsent.is_empty() {
        let (message, remaining) = unsent.split_at(count_fitting(unsent));
        let push = |vm: &VmId| GossipAction::Push { vm: vm.clone(), objects: message.to_vec() };
        pushes.extend(peers.iter().map(push));
        unsent = remaining;
    }
    pushes
}

/// Returns how many of the first objects fit in a message, at least one.
fn count_fitting(objects: &[ConfigurationObject]) -> usize {
    let mut bytes = 0;
    let fits = |object: &&ConfigurationObject| {
        bytes += object.max_encoded_len();
        bytes <= MAX_MESSAGE_BYTES
    };
    objects.iter().take_while(fits).count().max(1)
}
