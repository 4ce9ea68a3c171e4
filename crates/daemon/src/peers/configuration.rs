//! Configuration objects: received, gossiped to peers and applied to the directory.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::Era;
use oleanderwind_policy::GossipAction;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MissingObjects;
use oleanderwind_policy::ObjectDelta;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectPull;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::Revision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::era_of;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::peer;
use oleanderwind_wire::peer::FetchObjectsRequest;

use crate::directory::ChangeSource;
use crate::peers::service::PeerService;
use crate::peers::service::PeerState;
use crate::time::milliseconds;

/// Updates from the platform.
impl PeerService {
    /// Records that the platform answered about these kinds.
    pub(crate) fn record_platform_word(&self, kinds: &[ObjectKind]) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.contact.record_contact(now);
        state.refusals.record_answer(now);
        for kind in kinds {
            state.news.record_word(*kind, now);
        }
    }

    /// Records that this VM watches the platform no more.
    pub(crate) fn forget_platform_words(&self) {
        self.state.borrow_mut().news.forget();
    }

    /// Records that all watches begin, with calls that do not wait.
    pub(crate) fn begin_watches(&self) {
        self.state.borrow_mut().news.begin_watches(Instant::now());
    }

    /// Returns whether the platform has said nothing for longer than `limit`, although the watches that run now had
    /// that time too.
    pub(crate) fn is_platform_silent(&self, limit: Duration) -> bool {
        self.state.borrow().news.is_silent(limit, Instant::now())
    }

    /// Returns the age of the platform's last word about the kind that has waited longest.
    pub(crate) fn oldest_word_age(&self) -> Option<Duration> {
        self.state.borrow().news.oldest_age(Instant::now())
    }

    /// Applies a full listing from the platform and gossips the objects that were new.
    pub(crate) fn apply_listing(self: &Rc<Self>, listing: &ObjectListing) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let PeerState { gossip, membership, readiness, .. } = &mut *state;
            let actions = gossip.handle_listing(listing, membership);
            readiness.record_platform_listing(gossip.store().summary().complete_revision);
            actions
        };
        self.replace_directory(ChangeSource::List);
        if listing.missing == MissingObjects::Keep {
            let lapsed = self.targets_missing_from(listing);
            self.directory.lapse_targets(&lapsed, ChangeSource::List);
        }
        self.perform_gossip_actions(actions);
        self.refresh_derived_state();
    }

    /// Applies changed objects and gossips what was new.
    pub(crate) fn apply_changes(
        self: &Rc<Self>,
        objects: &[ConfigurationObject],
        source: ChangeSource,
    ) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let PeerState { gossip, membership, .. } = &mut *state;
            gossip.handle_changes(objects, membership)
        };
        self.apply_to_directory(objects, source);
        self.perform_gossip_actions(actions);
        self.refresh_derived_state();
    }

    /// Applies an object that the platform has accepted from this VM.
    pub(crate) fn apply_accepted_object(
        self: &Rc<Self>,
        kind: ObjectKind,
        object: &ObjectDocument,
    ) {
        self.apply_changes(&[configuration_object(kind, object)], ChangeSource::Edit);
    }

    /// Returns the targets held that a listing lacks.
    fn targets_missing_from(&self, listing: &ObjectListing) -> Vec<Arc<str>> {
        let state = self.state.borrow();
        let held = state.gossip.store().iter_kind(ObjectKind::Targets);
        let missing = held.filter(|object| !listing.objects.contains_key(&object.key));
        missing.map(|object| object.key.name.clone()).collect()
    }

    /// Records that the watches of all kinds have delivered everything up to `revision`.
    pub(crate) fn record_watch_progress(self: &Rc<Self>, revision: Revision) {
        self.state.borrow_mut().gossip.handle_watch_progress(revision);
        self.refresh_derived_state();
    }

    /// Returns the revision up to which peers hold changes that this VM's watches should have brought,
    /// once for each revision.
    pub(crate) fn begin_watch_check(&self) -> Option<Revision> {
        self.state.borrow_mut().gossip.begin_watch_check(Instant::now())
    }

    /// Returns the newest era of the platform's store that this VM has heard of, from the store or
    /// from peers.
    pub(crate) fn store_era(&self) -> Era {
        era_of(self.state.borrow().gossip.store().summary().highest_revision)
    }

    /// Returns the revision up to which every object is held.
    pub(crate) fn complete_revision(&self) -> Revision {
        self.state.borrow().gossip.store().summary().complete_revision
    }
}

/// The platform's VM list.
impl PeerService {
    /// Returns whether this VM's copy of the list contains `entry` with the same spec.
    pub(crate) fn is_vm_listed(&self, entry: &ObjectDocument) -> bool {
        let key = ObjectKey { kind: ObjectKind::Vms, name: entry.metadata.name.as_str().into() };
        let state = self.state.borrow();
        let body = state.gossip.store().get(&key).and_then(|held| held.body.as_ref());
        let held = body.and_then(|body| serde_json::from_slice::<ObjectDocument>(body).ok());
        held.is_some_and(|held| held.spec == entry.spec)
    }

    /// Returns this VM's addresses for callers and for peers.
    pub(crate) fn own_addresses(&self) -> (String, String) {
        let state = self.state.borrow();
        let own = state.membership.own();
        (own.caller_address.to_string(), own.peer_address.to_string())
    }
}

/// Gossip with peers.
impl PeerService {
    /// Applies the objects of a peer's push; invalid ones are skipped.
    pub(crate) fn handle_push(self: &Rc<Self>, raw: &[peer::ConfigurationObject]) {
        let objects = raw.iter().map(ConfigurationObject::try_from);
        let objects: Vec<ConfigurationObject> = objects.filter_map(Result::ok).collect();
        self.apply_changes(&objects, ChangeSource::Peer);
    }

    /// Performs actions of the gossip engine.
    pub(crate) fn perform_gossip_actions(
        self: &Rc<Self>,
        actions: impl IntoIterator<Item = GossipAction>,
    ) {
        for action in actions {
            match action {
                GossipAction::Push { vm, objects } => self.push(&vm, &objects),
                GossipAction::Pull(wanted) => {
                    actix_rt::spawn(pull(self.clone(), wanted));
                }
            }
        }
    }

    /// Pushes objects to a peer; failures are not retried.
    fn push(self: &Rc<Self>, vm: &VmId, objects: &[ConfigurationObject]) {
        let Some(address) = self.peer_address(vm) else { return };
        let objects = objects.iter().map(peer::ConfigurationObject::from).collect();
        let peers = self.clone();
        actix_rt::spawn(async move { peers.clients.push(address, objects).await });
    }

    /// Sees to it that changes that this VM lacks are pulled in time.
    pub(crate) fn chase_changes(self: &Rc<Self>) {
        let lacks_changes = self.state.borrow().gossip.lacks_changes();
        if lacks_changes && !self.is_chasing.replace(true) {
            actix_rt::spawn(chase(self.clone()));
        }
    }

    /// Handles a pull that got no reply. The gossip engine decides whether another peer is asked.
    fn handle_pull_failure(self: &Rc<Self>, vm: &VmId) {
        let action = {
            let mut state = self.state.borrow_mut();
            let PeerState { gossip, membership, .. } = &mut *state;
            gossip.handle_pull_failure(vm, membership, Instant::now())
        };
        self.perform_gossip_actions(action);
    }

    /// Applies one page of a pull.
    ///
    /// A full listing takes effect with its last page.
    fn handle_page(self: &Rc<Self>, pull: &ObjectPull, delta: &ObjectDelta) {
        let now = Instant::now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let PeerState { gossip, membership, .. } = &mut *state;
            gossip.handle_pull_page(pull, delta, membership, now)
        };
        match pull.full {
            true if !delta.has_more => self.replace_directory(ChangeSource::Peer),
            true => {}
            false => self.apply_to_directory(&delta.objects, ChangeSource::Peer),
        }
        self.perform_gossip_actions(actions);
        self.refresh_derived_state();
    }
}

/// Asks peers for changes that this VM lacks until it has them.
async fn chase(peers: Rc<PeerService>) {
    loop {
        tokio::time::sleep(GossipEngine::PULL_PATIENCE).await;
        let action = {
            let mut state = peers.state.borrow_mut();
            let PeerState { gossip, membership, .. } = &mut *state;
            if !gossip.lacks_changes() {
                return peers.is_chasing.set(false);
            }
            gossip.chase_changes(membership, Instant::now())
        };
        peers.perform_gossip_actions(action);
    }
}

/// Requests the objects after a revision from a peer.
async fn pull(peers: Rc<PeerService>, wanted: ObjectPull) {
    let started_at = Instant::now();
    let ObjectPull { vm, after, full } = &wanted;
    let request = FetchObjectsRequest { after_revision: *after, whole: *full };
    let reply = match peers.peer_address(vm) {
        Some(address) => peers.clients.fetch(address, request).await,
        None => None,
    };
    let Some(reply) = reply else {
        log::info!(
            peer = vm.as_ref(),
            after = after,
            ms = milliseconds(started_at.elapsed());
            "changes could not be fetched from a peer"
        );
        return peers.handle_pull_failure(vm);
    };
    match ObjectDelta::try_from(&reply) {
        Ok(delta) => peers.handle_page(&wanted, &delta),
        Err(findings) => {
            log::warn!("page of objects from {vm} is invalid: {findings}");
            peers.handle_pull_failure(vm);
        }
    }
}

/// Updates of the directory.
impl PeerService {
    /// Applies the store's versions of these objects to the directory.
    fn apply_to_directory(&self, objects: &[ConfigurationObject], source: ChangeSource) {
        let mut state = self.state.borrow_mut();
        let PeerState { gossip, membership, .. } = &mut *state;
        for object in objects {
            let held = gossip.store().get(&object.key);
            let is_new = match held {
                Some(held) => self.directory.apply(held, source),
                None if object.body.is_none() => self.directory.apply(object, source),
                None => false,
            };
            if is_new {
                self.metrics.record_propagation(object);
            }
        }
        if objects.iter().any(|object| object.key.kind == ObjectKind::Vms) {
            apply_vm_list(membership, gossip.store().iter_kind(ObjectKind::Vms));
        }
    }

    /// Replaces the contents of the directory by those of the store.
    fn replace_directory(&self, source: ChangeSource) {
        let mut state = self.state.borrow_mut();
        let PeerState { gossip, membership, .. } = &mut *state;
        for kind in ObjectKind::ALL {
            let objects: Vec<&ConfigurationObject> = gossip.store().iter_kind(kind).collect();
            self.directory.replace_kind(kind, &objects, source);
        }
        apply_vm_list(membership, gossip.store().iter_kind(ObjectKind::Vms));
    }
}

/// Passes the platform's VM list to the membership engine.
fn apply_vm_list<'a>(
    membership: &mut MembershipEngine,
    objects: impl Iterator<Item = &'a ConfigurationObject>,
) {
    let list: Vec<PlatformVm> = objects.filter_map(parse_vm).collect();
    membership.apply_platform_list(&list);
}

/// Parses one VM of the platform's list. A phase other than `live`, also a missing one, counts as
/// leaving.
///
/// Returns `None` if the object is deleted or invalid, or lacks a failure domain or a valid
/// address.
fn parse_vm(object: &ConfigurationObject) -> Option<PlatformVm> {
    let body = object.body.as_ref()?;
    let document: ObjectDocument = serde_json::from_slice(body).ok()?;
    let text = |field: &str| document.spec[field].as_str();
    Some(PlatformVm {
        vm: object.key.name.clone(),
        failure_domain: text("failure_domain")?.into(),
        peer_address: text("peer_address")?.parse().ok()?,
        caller_address: text("caller_address")?.parse().ok()?,
        processor_millicores: document.spec["processor_millicores"]
            .as_u64()
            .and_then(|millicores| u32::try_from(millicores).ok())
            .unwrap_or(0),
        leaving: text("phase") != Some("live"),
    })
}

/// Converts an object of the platform to the form in which peers gossip it.
pub(crate) fn configuration_object(
    kind: ObjectKind,
    object: &ObjectDocument,
) -> ConfigurationObject {
    ConfigurationObject {
        key: oleanderwind_policy::ObjectKey { kind, name: object.metadata.name.as_str().into() },
        revision: object.revision(),
        version: content_version(kind, object),
        body: Some(object.to_bytes()),
    }
}

/// Returns the position of an object's content in its history, which a restore of the store does not
/// turn back: the number of the routes, or the process of a target and whether it drains.
///
/// The lowest bit is set for content after which only another process, or nothing, can follow, and for routes that are
/// whole: with the organisations that some builds leave out.
fn content_version(kind: ObjectKind, object: &ObjectDocument) -> u64 {
    let number = |field: &str| object.spec[field].as_u64().unwrap_or(0);
    match kind {
        // A VM of a build without organisations tells the same version without them.
        ObjectKind::Routes => {
            let has_organisations = !object.spec["organisations"].is_null();
            number("version") << 1 | u64::from(has_organisations)
        }
        ObjectKind::Targets => {
            let is_draining = object.spec["phase"] == "draining";
            number("incarnation") << 1 | u64::from(is_draining)
        }
        ObjectKind::Contracts | ObjectKind::Snapshots | ObjectKind::Vms => 0,
    }
}
