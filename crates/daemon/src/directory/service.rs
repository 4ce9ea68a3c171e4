//! The directory as the other services find it.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;

use oleanderwind_policy::ProviderId;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::ObjectDocument;
use tokio::sync::watch;

use crate::directory::state::ContractEntry;
use crate::directory::state::DirectoryState;
use crate::directory::state::SnapshotKey;
use crate::edge::ObjectKind;

/// Configuration in force; objects only ever get newer.
pub(crate) struct DirectoryService {
    state: RefCell<DirectoryState>,
    complete_kinds: RefCell<Vec<ObjectKind>>,
    is_leaving: Cell<bool>,
    target_changes: watch::Sender<u64>,
}

impl DirectoryService {
    /// An empty directory.
    pub(crate) fn new() -> DirectoryService {
        DirectoryService {
            state: RefCell::new(DirectoryState::default()),
            complete_kinds: RefCell::new(Vec::new()),
            is_leaving: Cell::new(false),
            target_changes: watch::Sender::new(0),
        }
    }

    /// Takes in an object; an older one than that in force changes nothing.
    pub(crate) fn apply(&self, kind: ObjectKind, object: &ObjectDocument) {
        let is_news = self.state.borrow_mut().apply(kind, object);
        self.note_change(kind, is_news);
    }

    /// Takes out an object; an older removal than the object in force changes nothing.
    pub(crate) fn remove(&self, kind: ObjectKind, object: &ObjectDocument) {
        let is_news = self.state.borrow_mut().remove(kind, object);
        self.note_change(kind, is_news);
    }

    /// Notes that every object of a kind has been taken in once.
    pub(crate) fn mark_complete(&self, kind: ObjectKind) {
        let mut kinds = self.complete_kinds.borrow_mut();
        if !kinds.contains(&kind) {
            kinds.push(kind);
        }
    }

    fn note_change(&self, kind: ObjectKind, is_news: bool) {
        if is_news && kind == ObjectKind::Targets {
            self.target_changes.send_modify(|count| *count += 1);
        }
    }
}

/// What is in force.
impl DirectoryService {
    /// Whether requests may be served: contracts, snapshots and targets have been taken in.
    pub(crate) fn is_ready(&self) -> bool {
        let kinds = self.complete_kinds.borrow();
        [ObjectKind::Contracts, ObjectKind::Snapshots, ObjectKind::Targets]
            .iter()
            .all(|kind| kinds.contains(kind))
    }

    /// A customer's contract.
    pub(crate) fn contract(&self, customer: &str) -> Option<ContractEntry> {
        self.state.borrow().contracts.get(customer).cloned()
    }

    /// Every contract.
    pub(crate) fn contracts(&self) -> Vec<ContractEntry> {
        self.state.borrow().contracts.values().cloned().collect()
    }

    /// The newest snapshot of a service at a provider.
    pub(crate) fn snapshot(
        &self,
        service: &ServiceId,
        provider: &ProviderId,
    ) -> Option<Arc<SnapshotManifest>> {
        let key = SnapshotKey { service: service.clone(), provider: provider.clone() };
        self.state.borrow().snapshots.get(&key).cloned()
    }

    /// Every target.
    pub(crate) fn targets(&self) -> Vec<TargetSpec> {
        self.state.borrow().targets.values().cloned().collect()
    }

    /// The highest revision taken in.
    pub(crate) fn revision(&self) -> Revision {
        self.state.borrow().highest
    }

    /// Callers' addresses of the VMs that the platform lists as live.
    pub(crate) fn vm_addresses(&self) -> Vec<String> {
        let state = self.state.borrow();
        let live = state.vms.values().filter(|spec| spec["phase"] == "live");
        live.filter_map(|spec| spec["caller_address"].as_str().map(str::to_owned)).collect()
    }

    /// Counts changes of targets.
    pub(crate) fn target_changes(&self) -> watch::Receiver<u64> {
        self.target_changes.subscribe()
    }
}

/// This VM's own state.
impl DirectoryService {
    /// Notes that this VM is leaving.
    pub(crate) fn announce_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Whether this VM is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }
}
