//! Messages for reading and editing contracts.

use oleanderwind_policy::CustomerId;
use oleanderwind_policy::FieldDifference;
use oleanderwind_policy::Finding;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// A contract with its revision.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ContractDocument {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Revision of the configuration object that holds the contract.
    pub revision: Revision,
    /// Contract as stored.
    pub contract: RawContract,
}

/// Request to create or replace a contract.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractEdit {
    /// Revision that the edit is based on; absent to create a contract.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_revision: Option<Revision>,
    /// Operator who makes the edit, for the history.
    #[serde(default)]
    pub operator: String,
    /// Complete new contract.
    pub contract: Value,
}

/// Outcome of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EditVerdict {
    /// Written: the edit will take effect on all VMs and is never rolled back.
    Accepted,
    /// Not written: the contract was changed by another edit first.
    Conflict,
    /// Not written: the contract failed validation.
    Invalid,
    /// The contract is valid; the request was for validation only.
    Valid,
    /// Not written: the platform did not accept the write.
    NotWritten,
    /// Not known yet whether the edit was written; if it was, the history lists its token.
    Unknown,
}

/// Response to an edit.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EditReport {
    /// Outcome of the edit.
    pub verdict: EditVerdict,
    /// Revision of the contract after an accepted edit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Identifies the edit in the history.
    #[serde(default)]
    pub token: String,
    /// Validation findings.
    #[serde(default)]
    pub findings: Vec<Finding>,
    /// Contract currently stored, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<ContractDocument>,
    /// On a conflict, the differences from `current` to the submitted contract; otherwise the
    /// changes made by the edit.
    #[serde(default)]
    pub differences: Vec<FieldDifference>,
    /// Suggested next step, for the operator.
    pub advice: String,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Token that identifies the edit.
    pub token: String,
    /// Milliseconds since the Unix epoch, by the clock of the VM that received the edit.
    pub at_ms: u64,
    /// Operator who made the edit.
    pub operator: String,
    /// Fields that the edit changed.
    pub differences: Vec<FieldDifference>,
}
