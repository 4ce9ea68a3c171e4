//! Configuration objects: taken in, passed on, and fed to the directory.

use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::GossipAction;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::ObjectDelta;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::Revision;
use oleanderwind_policy::VmId;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::peer;
use oleanderwind_wire::peer::FetchObjectsRequest;

use crate::peers::service::PeerService;
use crate::peers::service::PeerState;

/// From the platform.
impl PeerService {
    /// The platform answered.
    pub(crate) fn record_platform_contact(&self) {
        self.state.borrow_mut().contact.record_contact(Instant::now());
    }

    /// Takes whole lists of every kind in.
    pub(crate) fn apply_listing(self: &Rc<Self>, listing: &ObjectListing) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let PeerState { spread, membership, gate, .. } = &mut *state;
            let actions = spread.handle_listing(listing, membership);
            gate.record_platform_listing(spread.store().summary().complete_revision);
            actions
        };
        self.feed_all();
        self.spread_out(actions);
        self.settle();
    }

    /// Takes changed objects in, from a watch or from an edit made here, and passes them on.
    pub(crate) fn apply_changes(self: &Rc<Self>, objects: &[ConfigurationObject]) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let PeerState { spread, membership, .. } = &mut *state;
            spread.handle_changes(objects, membership)
        };
        self.feed(objects);
        self.spread_out(actions);
        self.settle();
    }

    /// Takes an object in that the platform has just accepted here.
    pub(crate) fn apply_accepted_object(
        self: &Rc<Self>,
        kind: ObjectKind,
        object: &ObjectDocument,
    ) {
        self.apply_changes(&[configuration_object(kind, object)]);
    }

    /// Every kind has been watched up to `revision`.
    pub(crate) fn record_watch_progress(self: &Rc<Self>, revision: Revision) {
        self.state.borrow_mut().spread.handle_watch_progress(revision);
        self.settle();
    }

    /// Everything up to this revision is held.
    pub(crate) fn complete_revision(&self) -> Revision {
        self.state.borrow().spread.store().summary().complete_revision
    }
}

/// The VM list.
impl PeerService {
    /// Whether the list holds exactly this entry.
    pub(crate) fn is_vm_listed(&self, entry: &ObjectDocument) -> bool {
        let key = ObjectKey { kind: ObjectKind::Vms, name: entry.metadata.name.as_str().into() };
        let state = self.state.borrow();
        let body = state.spread.store().get(&key).and_then(|held| held.body.as_ref());
        let held = body.and_then(|body| serde_json::from_slice::<ObjectDocument>(body).ok());
        held.is_some_and(|held| held.spec == entry.spec)
    }

    /// Where callers and where peers reach this VM.
    pub(crate) fn own_addresses(&self) -> (String, String) {
        let state = self.state.borrow();
        let own = state.membership.own();
        (own.caller_address.to_string(), own.peer_address.to_string())
    }
}

/// From and to peers.
impl PeerService {
    /// Takes a peer's push in; a broken object is left out.
    pub(crate) fn push_came(self: &Rc<Self>, raw: &[peer::ConfigurationObject]) {
        let objects = raw.iter().map(ConfigurationObject::try_from);
        let objects: Vec<ConfigurationObject> = objects.filter_map(Result::ok).collect();
        self.apply_changes(&objects);
    }

    /// Carries out what the spread wants done.
    pub(crate) fn spread_out(self: &Rc<Self>, actions: impl IntoIterator<Item = GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Push { vm, objects } => self.push(&vm, &objects),
                GossipAction::Pull { vm, after, full } => {
                    actix_rt::spawn(pull(self.clone(), vm, after, full));
                }
            }
        }
    }

    fn push(self: &Rc<Self>, vm: &VmId, objects: &[ConfigurationObject]) {
        let Some(address) = self.peer_address(vm) else { return };
        let objects = objects.iter().map(peer::ConfigurationObject::from).collect();
        let peers = self.clone();
        actix_rt::spawn(async move { peers.clients.push(address, objects).await });
    }

    fn pull_failed(self: &Rc<Self>) {
        let action = {
            let mut state = self.state.borrow_mut();
            let PeerState { spread, membership, .. } = &mut *state;
            spread.handle_pull_failure(membership, Instant::now())
        };
        self.spread_out(action);
    }

    fn page_came(self: &Rc<Self>, vm: &VmId, after: Revision, whole: bool, delta: &ObjectDelta) {
        let now = Instant::now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let PeerState { spread, membership, .. } = &mut *state;
            spread.handle_pull_page(vm, after, delta, membership, now)
        };
        match whole {
            true if !delta.has_more => self.feed_all(),
            true => {}
            false => self.feed(&delta.objects),
        }
        self.spread_out(actions);
        self.settle();
    }
}

async fn pull(peers: Rc<PeerService>, vm: VmId, after: Revision, whole: bool) {
    let Some(address) = peers.peer_address(&vm) else { return };
    let request = FetchObjectsRequest { after_revision: after, whole };
    let Some(reply) = peers.clients.fetch(address, request).await else {
        return peers.pull_failed();
    };
    match ObjectDelta::try_from(&reply) {
        Ok(delta) => peers.page_came(&vm, after, whole, &delta),
        Err(findings) => log::warn!("a page from {vm} is broken: {findings}"),
    }
}

/// To the directory.
impl PeerService {
    /// Puts in force what the store made of some objects.
    fn feed(&self, objects: &[ConfigurationObject]) {
        let mut state = self.state.borrow_mut();
        let PeerState { spread, membership, .. } = &mut *state;
        for object in objects {
            let held = spread.store().get(&object.key);
            let is_news = match held {
                Some(held) => self.directory.apply(held),
                None if object.body.is_none() => self.directory.apply(object),
                None => false,
            };
            if is_news {
                self.measures.note_news(object);
            }
        }
        if objects.iter().any(|object| object.key.kind == ObjectKind::Vms) {
            apply_vms(membership, spread.store().iter_kind(ObjectKind::Vms));
        }
    }

    /// Puts the whole store in force.
    fn feed_all(&self) {
        let mut state = self.state.borrow_mut();
        let PeerState { spread, membership, .. } = &mut *state;
        for kind in ObjectKind::ALL {
            let objects: Vec<&ConfigurationObject> = spread.store().iter_kind(kind).collect();
            self.directory.replace_kind(kind, &objects);
        }
        apply_vms(membership, spread.store().iter_kind(ObjectKind::Vms));
    }
}

/// Tells membership of the platform's list.
fn apply_vms<'a>(
    membership: &mut MembershipEngine,
    objects: impl Iterator<Item = &'a ConfigurationObject>,
) {
    let list: Vec<PlatformVm> = objects.filter_map(read_vm).collect();
    membership.apply_platform_list(&list);
}

/// Reads one VM of the platform's list; one that names no addresses is left out.
fn read_vm(object: &ConfigurationObject) -> Option<PlatformVm> {
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
            .and_then(|cores| u32::try_from(cores).ok())
            .unwrap_or(0),
        leaving: text("phase") != Some("live"),
    })
}

/// An object of the platform as peers pass it on.
pub(crate) fn configuration_object(
    kind: ObjectKind,
    object: &ObjectDocument,
) -> ConfigurationObject {
    ConfigurationObject {
        key: oleanderwind_policy::ObjectKey { kind, name: object.metadata.name.as_str().into() },
        revision: object.revision(),
        body: Some(object.to_bytes()),
    }
}
