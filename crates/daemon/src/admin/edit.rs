//! Edits of contracts by conditional update.

use std::rc::Rc;

use oleanderwind_policy as policy;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::FieldDifference;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::Revision;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::ContractEdit;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::EditVerdict;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectMetadata;
use serde_json::Value;

use crate::admin::history::new_entry;
use crate::admin::history::read_history;
use crate::admin::history::write_history;
use crate::admin::reply::invalid_report;
use crate::admin::reply::report_without_details;
use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::peers::PeerService;
use crate::platform::PlatformService;

/// Maximum number of reads to determine whether an uncertain write took effect.
const MAX_RESOLVE_READS: usize = 3;

/// Parses and validates the JSON of a contract.
pub(crate) fn check_contract(value: &Value, customer: &str) -> Result<RawContract, FindingList> {
    let mut findings = FindingList::default();
    let raw: RawContract = match serde_json::from_value(value.clone()) {
        Ok(raw) => raw,
        Err(error) => {
            findings.add("contract", error.to_string());
            return Err(findings);
        }
    };
    if let Err(found) = CustomerContract::try_from(&raw) {
        findings.extend(found);
    }
    if raw.customer != customer {
        findings.add("customer", format!("is \"{}\"; the path says \"{customer}\"", raw.customer));
    }
    findings.into_result(raw)
}

/// Parses the object of a contract.
pub(crate) fn read_document(object: &ObjectDocument) -> Option<ContractDocument> {
    let contract: RawContract = serde_json::from_value(object.spec.clone()).ok()?;
    Some(ContractDocument {
        customer: object.metadata.name.as_str().into(),
        revision: object.revision(),
        contract,
    })
}

/// An edit in progress.
pub(crate) struct ContractEditor<'a> {
    pub(crate) platform: &'a PlatformService,
    pub(crate) peers: &'a Rc<PeerService>,
    pub(crate) customer: &'a str,
    pub(crate) token: String,
}

impl ContractEditor<'_> {
    /// Writes the edit, unless the contract has changed since the expected revision.
    pub(crate) async fn apply(&self, edit: &ContractEdit) -> EditReport {
        let raw = match check_contract(&edit.contract, self.customer) {
            Ok(raw) => raw,
            Err(findings) => return invalid_report(findings),
        };
        let current = match self.platform.get(ObjectKind::Contracts, self.customer).await {
            Ok(object) => Some(object),
            Err(PlatformError::NotFound) => None,
            Err(error) => return not_written(&error),
        };
        let current_revision = current.as_ref().map(ObjectDocument::revision);
        if current_revision != edit.expected_revision {
            return self.conflict(current.as_ref(), &raw);
        }
        let object = self.build_object(current.as_ref(), &raw, &edit.operator);
        let written = match current {
            Some(_) => self.platform.update(ObjectKind::Contracts, &object).await,
            None => self.platform.create(ObjectKind::Contracts, &object).await,
        };
        match written {
            Ok(object) => self.accepted(&object),
            Err(PlatformError::Conflict | PlatformError::AlreadyExists) => {
                self.resolve_write(current_revision, &raw).await
            }
            Err(PlatformError::Uncertain(_)) => self.resolve_write(current_revision, &raw).await,
            Err(error) => not_written(&error),
        }
    }

    /// Reads the contract back to determine whether an uncertain write took effect.
    ///
    /// The edit's token in the history proves that it did. A newer revision without the token
    /// proves that it did not and never will, since the update was conditional. The same revision
    /// as before proves nothing: the write may still be in transit.
    async fn resolve_write(&self, before: Option<Revision>, raw: &RawContract) -> EditReport {
        for _ in 0..MAX_RESOLVE_READS {
            let Ok(object) = self.platform.get(ObjectKind::Contracts, self.customer).await else {
                continue;
            };
            if read_history(&object).iter().any(|entry| entry.token == self.token) {
                return self.accepted(&object);
            }
            if Some(object.revision()) != before {
                return self.conflict(Some(&object), raw);
            }
        }
        let mut report = report_without_details(
            EditVerdict::Unknown,
            "look for the token in the contract's history before you send the edit again",
        );
        report.token = self.token.clone();
        report
    }

    fn build_object(
        &self,
        current: Option<&ObjectDocument>,
        raw: &RawContract,
        operator: &str,
    ) -> ObjectDocument {
        let before = current.and_then(read_document).map(|document| document.contract);
        let differences = FieldDifference::between(before.as_ref(), raw);
        let entry = new_entry(&self.token, operator, differences);
        let history = current.map(read_history).unwrap_or_default();
        let mut metadata = ObjectMetadata {
            name: self.customer.to_owned(),
            resource_version: current
                .map(|object| object.metadata.resource_version.clone())
                .unwrap_or_default(),
            ..ObjectMetadata::default()
        };
        write_history(&mut metadata, history, entry);
        let spec = serde_json::to_value(raw).unwrap_or(Value::Null);
        ObjectDocument { kind: ObjectKind::Contracts.as_str().to_owned(), metadata, spec }
    }

    fn accepted(&self, object: &ObjectDocument) -> EditReport {
        self.peers.apply_accepted_object(policy::ObjectKind::Contracts, object);
        log::info!("contract {} accepted at revision {}", self.customer, object.revision());
        let mut report =
            report_without_details(EditVerdict::Accepted, "it is in force everywhere in seconds");
        report.revision = Some(object.revision());
        report.token = self.token.clone();
        let own = read_history(object).into_iter().find(|entry| entry.token == self.token);
        report.differences = own.map(|entry| entry.differences).unwrap_or_default();
        report
    }

    fn conflict(&self, object: Option<&ObjectDocument>, raw: &RawContract) -> EditReport {
        let current = object.and_then(read_document);
        let mut report = report_without_details(
            EditVerdict::Conflict,
            "another edit came first; make yours again on the current contract",
        );
        let before = current.as_ref().map(|document| &document.contract);
        report.differences = FieldDifference::between(before, raw);
        report.current = current;
        report
    }
}

fn not_written(error: &PlatformError) -> EditReport {
    report_without_details(EditVerdict::NotWritten, format!("{error}; send the edit again later"))
}
