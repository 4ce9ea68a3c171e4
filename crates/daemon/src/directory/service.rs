//! Directory service: access to the configuration in effect.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use oleanderwind_policy as policy;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::RequestRate;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ServiceConfiguration;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetSpec;
use tokio::sync::watch;

use crate::directory::source::ChangeSource;
use crate::directory::state::ActiveRoutes;
use crate::directory::state::ContractEntry;
use crate::directory::state::DirectoryState;
use crate::directory::state::SnapshotKey;
use crate::edge::ObjectKind;
use crate::edge::platform_kind;

/// Configuration in effect; an object is never replaced by an older revision.
pub(crate) struct DirectoryService {
    state: RefCell<DirectoryState>,
    is_configured: Cell<bool>,
    is_leaving: Cell<bool>,
    target_changes: watch::Sender<u64>,
    contract_changes: watch::Sender<u64>,
}

impl DirectoryService {
    /// Creates an empty directory.
    pub(crate) fn new() -> DirectoryService {
        DirectoryService {
            state: RefCell::new(DirectoryState::default()),
            is_configured: Cell::new(false),
            is_leaving: Cell::new(false),
            target_changes: watch::Sender::new(0),
            contract_changes: watch::Sender::new(0),
        }
    }

    /// Applies an object or its deletion, unless the same or a newer revision was applied before.
    ///
    /// Returns whether the revision was new. An object that can't be parsed is logged and skipped.
    pub(crate) fn apply(&self, object: &ConfigurationObject, source: ChangeSource) -> bool {
        let kind = platform_kind(object.key.kind);
        let is_new = match &object.body {
            Some(body) => match serde_json::from_slice(body) {
                Ok(document) => self.state.borrow_mut().apply(kind, &document, source),
                Err(error) => {
                    log::error!("object {} is not valid JSON: {error}", object.key.name);
                    false
                }
            },
            None => self.state.borrow_mut().remove(kind, &object.key.name, object.revision, source),
        };
        self.notify_change(kind, is_new);
        is_new
    }

    /// Replaces all objects of a kind by these.
    pub(crate) fn replace_kind(
        &self,
        kind: policy::ObjectKind,
        objects: &[&ConfigurationObject],
        source: ChangeSource,
    ) {
        let names = objects.iter().map(|object| &*object.key.name).collect();
        let kind = platform_kind(kind);
        let has_removed = self.state.borrow_mut().retain(kind, &names, source);
        self.notify_change(kind, has_removed);
        for object in objects {
            self.apply(object, source);
        }
    }

    /// Marks targets as lapsed, a last resort: their entries have vanished, but may come back.
    pub(crate) fn lapse_targets(&self, names: &[Arc<str>], source: ChangeSource) {
        let has_lapsed = self.state.borrow_mut().lapse(names, source);
        self.notify_change(ObjectKind::Targets, has_lapsed);
    }

    /// Records that the configuration in effect is proven complete.
    pub(crate) fn mark_configured(&self) {
        self.is_configured.set(true);
    }

    /// Notifies the subscribers of a kind, if anything changed.
    fn notify_change(&self, kind: ObjectKind, has_changed: bool) {
        let changes = match kind {
            // Routes contain the connection limits of targets.
            ObjectKind::Targets | ObjectKind::Routes => &self.target_changes,
            ObjectKind::Contracts => &self.contract_changes,
            ObjectKind::Snapshots
            | ObjectKind::Vms
            | ObjectKind::Ledger
            | ObjectKind::Evacuations => return,
        };
        if has_changed {
            changes.send_modify(|count| *count += 1);
        }
    }
}

/// Queries.
impl DirectoryService {
    /// Returns whether the configuration is proven complete, so that requests may be served.
    pub(crate) fn is_configured(&self) -> bool {
        self.is_configured.get()
    }

    /// Returns a customer's contract.
    pub(crate) fn contract(&self, customer: &str) -> Option<ContractEntry> {
        self.state.borrow().contracts.get(customer).cloned()
    }

    /// Returns all contracts.
    pub(crate) fn contracts(&self) -> Vec<ContractEntry> {
        self.state.borrow().contracts.values().cloned().collect()
    }

    /// Returns the newest snapshot of a service at a provider.
    pub(crate) fn snapshot(
        &self,
        service: &ServiceId,
        provider: &ProviderId,
    ) -> Option<Arc<SnapshotManifest>> {
        let key = SnapshotKey { service: service.clone(), provider: provider.clone() };
        self.state.borrow().snapshots.get(&key).cloned()
    }

    /// Returns all targets; a connection limit in the routes overrides the target's own.
    pub(crate) fn targets(&self) -> Vec<TargetSpec> {
        let state = self.state.borrow();
        let services = state.routes.iter().flat_map(|routes| &routes.configuration.services);
        let limits: HashMap<&str, u32> =
            services.map(|service| (&*service.service, service.connection_limit)).collect();
        let with_limit = |spec: &TargetSpec| {
            let mut spec = spec.clone();
            if let Some(limit) = limits.get(&*spec.service) {
                spec.connection_limit = *limit;
            }
            spec
        };
        state.targets.values().map(with_limit).collect()
    }

    /// Returns the requests a second that a cold target takes, of the services that name them.
    pub(crate) fn cold_rates(&self) -> HashMap<ServiceId, RequestRate> {
        let state = self.state.borrow();
        let services = state.routes.iter().flat_map(|routes| &routes.configuration.services);
        let named = services.filter(|service| service.cold_requests_per_second > 0.0);
        let rate = |service: &ServiceConfiguration| {
            let rate = RequestRate::try_from(service.cold_requests_per_second);
            let rate = rate.inspect_err(|error| {
                log::error!(service = service.service.as_ref(); "rate of cold targets {error}");
            });
            Some((service.service.clone(), rate.ok()?))
        };
        named.filter_map(rate).collect()
    }

    /// Returns the routes in effect; `None` until the first ones are applied.
    pub(crate) fn routes(&self) -> Option<Rc<ActiveRoutes>> {
        self.state.borrow().routes.clone()
    }

    /// Returns the path of the health check on the targets of a service, if one is configured.
    pub(crate) fn health_path(&self, service: &ServiceId) -> Option<String> {
        let routes = self.routes()?;
        let mut services = routes.configuration.services.iter();
        let path = services.find(|own| own.service == *service).map(|own| own.health_path.clone());
        path.filter(|path| !path.is_empty())
    }

    /// Returns the highest revision applied.
    pub(crate) fn revision(&self) -> Revision {
        self.state.borrow().highest_revision
    }

    /// Subscribes to the count of contract changes.
    pub(crate) fn contract_changes(&self) -> watch::Receiver<u64> {
        self.contract_changes.subscribe()
    }

    /// Returns the number of changes of targets and routes so far.
    pub(crate) fn target_change_count(&self) -> u64 {
        *self.target_changes.borrow()
    }

    /// Subscribes to the count of changes of targets and routes.
    pub(crate) fn target_changes(&self) -> watch::Receiver<u64> {
        self.target_changes.subscribe()
    }
}

/// This VM's own state.
impl DirectoryService {
    /// Records that this VM is leaving.
    pub(crate) fn announce_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Returns whether this VM is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }
}
