//! Parsed objects by kind.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::CustomerId;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::ObjectDocument;

use crate::edge::ObjectKind;

/// A contract with the revision that it is in force at.
#[derive(Clone)]
pub(crate) struct ContractEntry {
    pub(crate) revision: Revision,
    pub(crate) contract: Rc<CustomerContract>,
    pub(crate) raw: Rc<RawContract>,
}

/// Where a snapshot belongs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotKey {
    pub(crate) service: ServiceId,
    pub(crate) provider: ProviderId,
}

/// Everything in force.
#[derive(Default)]
pub(crate) struct DirectoryState {
    revisions: HashMap<(ObjectKind, String), Revision>,
    pub(crate) contracts: BTreeMap<CustomerId, ContractEntry>,
    pub(crate) snapshots: HashMap<SnapshotKey, Arc<SnapshotManifest>>,
    pub(crate) targets: BTreeMap<TargetId, TargetSpec>,
    pub(crate) vms: BTreeMap<String, serde_json::Value>,
    pub(crate) highest: Revision,
}

impl DirectoryState {
    /// Takes in an object unless a newer one is in force; says whether it is news.
    pub(crate) fn apply(&mut self, kind: ObjectKind, object: &ObjectDocument) -> bool {
        if !self.is_newer(kind, object) {
            return false;
        }
        match kind {
            ObjectKind::Contracts => self.apply_contract(object),
            ObjectKind::Snapshots => self.apply_snapshot(object),
            ObjectKind::Targets => self.apply_target(object),
            ObjectKind::Vms => {
                self.vms.insert(object.metadata.name.clone(), object.spec.clone());
            }
            ObjectKind::Ledger => {}
        }
        true
    }

    /// Takes out an object unless a newer one is in force.
    pub(crate) fn remove(&mut self, kind: ObjectKind, object: &ObjectDocument) -> bool {
        if !self.is_newer(kind, object) {
            return false;
        }
        let name = object.metadata.name.as_str();
        match kind {
            ObjectKind::Contracts => {
                self.contracts.remove(name);
            }
            ObjectKind::Targets => {
                self.targets.remove(name);
            }
            ObjectKind::Vms => {
                self.vms.remove(name);
            }
            ObjectKind::Snapshots => {
                self.snapshots.retain(|key, _| format!("{}.{}", key.service, key.provider) != name);
            }
            ObjectKind::Ledger => {}
        }
        true
    }

    fn is_newer(&mut self, kind: ObjectKind, object: &ObjectDocument) -> bool {
        let revision = object.revision();
        let known = self.revisions.entry((kind, object.metadata.name.clone())).or_default();
        if revision <= *known {
            return false;
        }
        *known = revision;
        self.highest = self.highest.max(revision);
        true
    }

    /// A broken contract leaves the one in force as it is.
    fn apply_contract(&mut self, object: &ObjectDocument) {
        let raw: RawContract = match serde_json::from_value(object.spec.clone()) {
            Ok(raw) => raw,
            Err(error) => return log_bad_object(object, &error.to_string()),
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
            Err(findings) => log_bad_object(object, &findings.to_string()),
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
            Err(error) => log_bad_object(object, &error.to_string()),
        }
    }

    fn apply_target(&mut self, object: &ObjectDocument) {
        match serde_json::from_value::<TargetSpec>(object.spec.clone()) {
            Ok(spec) => {
                self.targets.insert(spec.target.clone(), spec);
            }
            Err(error) => log_bad_object(object, &error.to_string()),
        }
    }
}

fn log_bad_object(object: &ObjectDocument, problem: &str) {
    log::error!(
        "object {} at revision {} is left out: {problem}",
        object.metadata.name,
        object.metadata.resource_version
    );
}
