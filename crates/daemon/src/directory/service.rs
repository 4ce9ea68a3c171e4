//! The directory as the other services find it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleanderwind_policy as policy;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::LapseTracker;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetSpec;
use tokio::sync::watch;

use crate::directory::state::ActiveRoutes;
use crate::directory::state::ContractEntry;
use crate::directory::state::DirectoryState;
use crate::directory::state::SnapshotKey;
use crate::edge::ObjectKind;
use crate::edge::platform_kind;

/// Configuration in force; objects only ever get newer.
pub(crate) struct DirectoryService {
    state: Rc<RefCell<DirectoryState>>,
    is_configured: Cell<bool>,
    is_leaving: Cell<bool>,
    /// Whether a task takes lapsed targets out.
    is_timing: Rc<Cell<bool>>,
    target_changes: Rc<watch::Sender<u64>>,
    contract_changes: watch::Sender<u64>,
}

impl DirectoryService {
    /// An empty directory; targets that are listed no more lapse for `lapse_hold`, if it is given.
    pub(crate) fn new(lapse_hold: Option<Duration>) -> DirectoryService {
        let mut state = DirectoryState::default();
        state.lapses = LapseTracker::new(lapse_hold);
        DirectoryService {
            state: Rc::new(RefCell::new(state)),
            is_configured: Cell::new(false),
            is_leaving: Cell::new(false),
            is_timing: Rc::new(Cell::new(false)),
            target_changes: Rc::new(watch::Sender::new(0)),
            contract_changes: watch::Sender::new(0),
        }
    }

    /// Takes an object in, or out once it is deleted, unless a newer state of it is in force.
    ///
    /// Says whether it was news.
    pub(crate) fn apply(&self, object: &ConfigurationObject) -> bool {
        let kind = platform_kind(object.key.kind);
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
        let kind = platform_kind(kind);
        let has_lost = self.state.borrow_mut().retain(kind, &names);
        self.note_change(kind, has_lost);
        for object in objects {
            self.apply(object);
        }
    }

    /// Notes that what is in force is proven to be whole.
    pub(crate) fn mark_configured(&self) {
        self.is_configured.set(true);
    }

    fn note_change(&self, kind: ObjectKind, is_news: bool) {
        let changes = match kind {
            // Routes say how many connections the targets of a service accept.
            ObjectKind::Targets | ObjectKind::Routes => &*self.target_changes,
            ObjectKind::Contracts => &self.contract_changes,
            ObjectKind::Snapshots | ObjectKind::Vms | ObjectKind::Ledger => return,
        };
        if is_news {
            changes.send_modify(|count| *count += 1);
            self.time_lapsed();
        }
    }
}

impl DirectoryService {
    /// Takes targets that lapse out once they are due; one task does it for all of them.
    fn time_lapsed(&self) {
        let has_lapsed = self.state.borrow().lapses.next_expiry().is_some();
        if has_lapsed && !self.is_timing.replace(true) {
            let (state, changes) = (self.state.clone(), self.target_changes.clone());
            actix_rt::spawn(drop_lapsed(state, changes, self.is_timing.clone()));
        }
    }
}

/// Takes targets out as they become due, until none lapses.
async fn drop_lapsed(
    state: Rc<RefCell<DirectoryState>>,
    changes: Rc<watch::Sender<u64>>,
    is_timing: Rc<Cell<bool>>,
) {
    loop {
        let due = state.borrow().lapses.next_expiry();
        let Some(due) = due else { break };
        tokio::time::sleep_until(due.into()).await;
        let gone = state.borrow_mut().drop_lapsed();
        for target in &gone {
            log::info!(target = target.as_ref(); "a target that is listed no more is gone");
        }
        if !gone.is_empty() {
            changes.send_modify(|count| *count += 1);
        }
    }
    is_timing.set(false);
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

    /// Every target; routes know how many connections it accepts where its own entry does not say.
    pub(crate) fn targets(&self) -> Vec<TargetSpec> {
        let state = self.state.borrow();
        let terms = state.routes.iter().flat_map(|routes| &routes.configuration.services);
        let limits: HashMap<&str, u32> =
            terms.map(|terms| (&*terms.service, terms.connection_limit)).collect();
        let complete = |spec: &TargetSpec| {
            let mut spec = spec.clone();
            if let Some(limit) = limits.get(&*spec.service) {
                spec.connection_limit = *limit;
            }
            spec
        };
        state.targets.values().map(complete).collect()
    }

    /// The routes in force; none before the first ones came.
    pub(crate) fn routes(&self) -> Option<Rc<ActiveRoutes>> {
        self.state.borrow().routes.clone()
    }

    /// The highest revision taken in.
    pub(crate) fn revision(&self) -> Revision {
        self.state.borrow().highest
    }

    /// Counts changes of contracts.
    pub(crate) fn contract_changes(&self) -> watch::Receiver<u64> {
        self.contract_changes.subscribe()
    }

    /// Changes of targets and routes so far.
    pub(crate) fn target_change_count(&self) -> u64 {
        *self.target_changes.borrow()
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
