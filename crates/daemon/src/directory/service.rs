//! The directory as the other services find it.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;

use oleanderwind_policy as policy;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetSpec;
use tokio::sync::watch;

use crate::directory::state::ContractEntry;
use crate::directory::state::DirectoryState;
use crate::directory::state::SnapshotKey;
use crate::edge::ObjectKind;
use crate::edge::edge_kind;

/// Configuration in force; objects only ever get newer.
pub(crate) struct DirectoryService {
    state: RefCell<DirectoryState>,
    is_configured: Cell<bool>,
    is_leaving: Cell<bool>,
    target_changes: watch::Sender<u64>,
    contract_changes: watch::Sender<u64>,
}

impl DirectoryService {
    /// An empty directory.
    pub(crate) fn new() -> DirectoryService {
        DirectoryService {
            state: RefCell::new(DirectoryState::default()),
            is_configured: Cell::new(false),
            is_leaving: Cell::new(false),
            target_changes: watch::Sender::new(0),
            contract_changes: watch::Sender::new(0),
        }
    }

    /// Takes an object in, or out once it is deleted, unless a newer state of it is in force.
    ///
    /// Says whether it was news.
    pub(crate) fn take(&self, object: &ConfigurationObject) -> bool {
        let kind = edge_kind(object.key.kind);
        let is_news = match &object.body {
            Some(body) => match serde_json::from_slice(body) {
                Ok(document) => self.state.borrow_mut().apply(kind, &document),
                Err(error) => {
                    log::error!("object {} can't be read: {error}", object.key.name);
                    false
                }
            },
            None => self.state.borrow_mut().remove(kind, &object.key.name, object.revision),
        };
        self.note_change(kind, is_news);
        is_news
    }

    /// Puts exactly these objects of a kind in force.
    pub(crate) fn replace_kind(&self, kind: policy::ObjectKind, objects: &[&ConfigurationObject]) {
        let names = objects.iter().map(|object| &*object.key.name).collect();
        let kind = edge_kind(kind);
        let has_lost = self.state.borrow_mut().retain(kind, &names);
        self.note_change(kind, has_lost);
        for object in objects {
            self.take(object);
        }
    }

    /// Notes that what is in force is proven to be whole.
    pub(crate) fn mark_configured(&self) {
        self.is_configured.set(true);
    }

    fn note_change(&self, kind: ObjectKind, is_news: bool) {
        let changes = match kind {
            ObjectKind::Targets => &self.target_changes,
            ObjectKind::Contracts => &self.contract_changes,
            ObjectKind::Snapshots | ObjectKind::Vms | ObjectKind::Ledger => return,
        };
        if is_news {
            changes.send_modify(|count| *count += 1);
        }
    }
}

/// What is in force.
impl DirectoryService {
    /// Whether what is in force is proven to be whole, so that requests may be served.
    pub(crate) fn is_configured(&self) -> bool {
        self.is_configured.get()
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

    /// Counts changes of contracts.
    pub(crate) fn contract_changes(&self) -> watch::Receiver<u64> {
        self.contract_changes.subscribe()
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
