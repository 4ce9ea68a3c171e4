//! Parsed configuration objects by kind.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::CustomerId;
use oleanderwind_policy::OrganisationTable;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::RawRouteConfiguration;
use oleanderwind_policy::Revision;
use oleanderwind_policy::RouteConfiguration;
use oleanderwind_policy::RouteTable;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::ObjectDocument;

use crate::directory::source::ChangeSource;
use crate::edge::ObjectKind;

/// Contract with the revision of its object.
#[derive(Clone)]
pub(crate) struct ContractEntry {
    pub(crate) revision: Revision,
    pub(crate) contract: Rc<CustomerContract>,
    pub(crate) raw: Rc<RawContract>,
}

/// Service and provider that a snapshot belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotKey {
    pub(crate) service: ServiceId,
    pub(crate) provider: ProviderId,
}

impl SnapshotKey {
    /// Returns the name of the snapshot's object.
    fn object_name(&self) -> String {
        format!("{}.{}", self.service, self.provider)
    }
}

/// Routes in effect.
pub(crate) struct ActiveRoutes {
    pub(crate) configuration: RouteConfiguration,
    pub(crate) table: RouteTable,
    pub(crate) organisations: OrganisationTable,
}

/// All configuration in effect.
#[derive(Default)]
pub(crate) struct DirectoryState {
    revisions: HashMap<(ObjectKind, String), Revision>,
    pub(crate) contracts: BTreeMap<CustomerId, ContractEntry>,
    pub(crate) snapshots: HashMap<SnapshotKey, Arc<SnapshotManifest>>,
    pub(crate) targets: BTreeMap<TargetId, TargetSpec>,
    pub(crate) routes: Option<Rc<ActiveRoutes>>,
    pub(crate) highest_revision: Revision,
}

impl DirectoryState {
    /// Applies an object unless the same or a newer revision was seen; returns whether it was new.
    ///
    /// An invalid object is logged and leaves the previous one in effect, yet counts as new.
    pub(crate) fn apply(
        &mut self,
        kind: ObjectKind,
        object: &ObjectDocument,
        source: ChangeSource,
    ) -> bool {
        let is_newer = self.is_newer(kind, &object.metadata.name, object.revision());
        let is_completion = kind == ObjectKind::Routes && self.completes_routes(object);
        if !is_newer && !is_completion {
            return false;
        }
        match kind {
            ObjectKind::Contracts => self.apply_contract(object),
            ObjectKind::Snapshots => self.apply_snapshot(object),
            ObjectKind::Targets => self.apply_target(object, source),
            ObjectKind::Routes => self.apply_routes(object),
            // Membership holds the VMs, the ledger service its segments, and the peer service the evacuations.
            ObjectKind::Vms | ObjectKind::Ledger | ObjectKind::Evacuations => {}
        }
        true
    }

    /// Removes an object unless the same or a newer revision was seen; returns whether it was new.
    pub(crate) fn remove(
        &mut self,
        kind: ObjectKind,
        name: &str,
        revision: Revision,
        source: ChangeSource,
    ) -> bool {
        if !self.is_newer(kind, name, revision) {
            return false;
        }
        match kind {
            ObjectKind::Contracts => {
                self.contracts.remove(name);
            }
            ObjectKind::Targets => self.remove_target(name, source),
            ObjectKind::Snapshots => {
                self.snapshots.retain(|key, _| key.object_name() != name);
            }
            // Deleted routes stay in effect, as callers are better served by the last ones than by none.
            ObjectKind::Routes | ObjectKind::Vms | ObjectKind::Ledger | ObjectKind::Evacuations => {
            }
        }
        true
    }

    /// Removes all objects of a kind that are not in `names`; returns whether there were any.
    pub(crate) fn retain(
        &mut self,
        kind: ObjectKind,
        names: &HashSet<&str>,
        source: ChangeSource,
    ) -> bool {
        let before = self.count(kind);
        match kind {
            ObjectKind::Contracts => self.contracts.retain(|name, _| names.contains(&**name)),
            ObjectKind::Targets => self.retain_targets(names, source),
            ObjectKind::Snapshots => {
                self.snapshots.retain(|key, _| names.contains(key.object_name().as_str()));
            }
            ObjectKind::Routes | ObjectKind::Vms | ObjectKind::Ledger | ObjectKind::Evacuations => {
            }
        }
        self.count(kind) != before
    }

    fn count(&self, kind: ObjectKind) -> usize {
        match kind {
            ObjectKind::Contracts => self.contracts.len(),
            ObjectKind::Targets => self.targets.len(),
            ObjectKind::Snapshots => self.snapshots.len(),
            ObjectKind::Routes | ObjectKind::Vms | ObjectKind::Ledger | ObjectKind::Evacuations => {
                0
            }
        }
    }

    /// Returns whether a revision is newer than the last one seen, and records it if so.
    fn is_newer(&mut self, kind: ObjectKind, name: &str, revision: Revision) -> bool {
        let last_seen = self.revisions.entry((kind, name.to_owned())).or_default();
        if revision <= *last_seen {
            return false;
        }
        *last_seen = revision;
        self.highest_revision = self.highest_revision.max(revision);
        true
    }

    /// Applies a contract; an invalid one leaves the previous one in effect.
    fn apply_contract(&mut self, object: &ObjectDocument) {
        let raw: RawContract = match serde_json::from_value(object.spec.clone()) {
            Ok(raw) => raw,
            Err(error) => return log_invalid_object(object, &error.to_string()),
        };
        match CustomerContract::try_from(&raw) {
            Ok(contract) => {
                let entry = ContractEntry {
                    revision: object.revision(),
                    contract: Rc::new(contract),
                    raw: Rc::new(raw),
                };
                self.contracts.insert(entry.contract.customer.clone(), entry);
            }
            Err(findings) => log_invalid_object(object, &findings.to_string()),
        }
    }

    fn apply_snapshot(&mut self, object: &ObjectDocument) {
        match serde_json::from_value::<SnapshotManifest>(object.spec.clone()) {
            Ok(manifest) => {
                let key = SnapshotKey {
                    service: manifest.service.clone(),
                    provider: manifest.provider.clone(),
                };
                self.snapshots.insert(key, Arc::new(manifest));
            }
            Err(error) => log_invalid_object(object, &error.to_string()),
        }
    }

    fn apply_target(&mut self, object: &ObjectDocument, source: ChangeSource) {
        match serde_json::from_value::<TargetSpec>(object.spec.clone()) {
            Ok(spec) => {
                let phase = spec.phase;
                let before = self.targets.insert(spec.target.clone(), spec);
                let is_leaving = phase == TargetPhase::Draining;
                if is_leaving && before.is_some_and(|before| before.phase != phase) {
                    log_departure(&object.metadata.name, "draining", source);
                }
            }
            Err(error) => log_invalid_object(object, &error.to_string()),
        }
    }
}

/// Routes; an older or invalid version leaves the one in effect unchanged.
impl DirectoryState {
    /// Returns whether these are the routes in effect with their organisations, which those in effect lack as a build
    /// that does not know organisations passed them on.
    fn completes_routes(&self, object: &ObjectDocument) -> bool {
        let Some(routes) = &self.routes else { return false };
        routes.configuration.organisations.is_none()
            && object.spec["version"] == routes.configuration.version
            && !object.spec["organisations"].is_null()
    }

    fn apply_routes(&mut self, object: &ObjectDocument) {
        let raw = match serde_json::from_value::<RawRouteConfiguration>(object.spec.clone()) {
            Ok(raw) => raw,
            Err(error) => return log_invalid_object(object, &error.to_string()),
        };
        let configuration = match RouteConfiguration::try_from(&raw) {
            Ok(configuration) => configuration,
            Err(findings) => return log_invalid_object(object, &findings.to_string()),
        };
        let held = self.routes.as_ref().map_or(0, |routes| routes.configuration.version);
        if self.routes.is_some() && configuration.version < held {
            let problem = format!("version {} is older than {held}", configuration.version);
            return log_invalid_object(object, &problem);
        }
        log::info!(
            version = configuration.version,
            revision = object.revision(),
            routes = configuration.routes.len();
            "routes took effect"
        );
        let table = RouteTable::new(&configuration);
        let organisations = OrganisationTable::new(&configuration);
        self.routes = Some(Rc::new(ActiveRoutes { configuration, table, organisations }));
    }
}

/// Targets that are no longer listed.
impl DirectoryState {
    fn remove_target(&mut self, name: &str, source: ChangeSource) {
        if self.targets.remove(name).is_some() {
            log_departure(name, "removed", source);
        }
    }

    fn retain_targets(&mut self, names: &HashSet<&str>, source: ChangeSource) {
        let missing = self.targets.extract_if(.., |name, _| !names.contains(&**name));
        missing.for_each(|(name, _)| log_departure(&name, "removed", source));
    }

    /// Marks ready targets as lapsed: their entries have vanished, but may come back. Returns whether
    /// there were any.
    pub(crate) fn lapse(&mut self, names: &[Arc<str>], source: ChangeSource) -> bool {
        let mut has_lapsed = false;
        for name in names {
            let target = self.targets.get_mut(name);
            if let Some(spec) = target.filter(|spec| spec.phase == TargetPhase::Ready) {
                spec.phase = TargetPhase::Lapsed;
                log_departure(name, "lapsed", source);
                has_lapsed = true;
            }
        }
        has_lapsed
    }
}

/// Logs that a target leaves or is no longer listed.
fn log_departure(target: &str, state: &str, source: ChangeSource) {
    log::info!(target = target, state = state, source = source.as_str(); "target is leaving");
}

fn log_invalid_object(object: &ObjectDocument, problem: &str) {
    log::error!(
        object = object.metadata.name.as_str(),
        kind = object.kind.as_str(),
        revision = object.revision();
        "skipped an invalid object: {problem}"
    );
}
