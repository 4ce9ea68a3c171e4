//! Reading and editing contracts.

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
    /// The customer.
    pub customer: CustomerId,
    /// Revision of the contract's object.
    pub revision: Revision,
    /// The contract.
    pub contract: RawContract,
}

/// A contract to put in force.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractEdit {
    /// The revision that the edit was made on; absent to create a contract.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_revision: Option<Revision>,
    /// Who makes the edit, for the history.
    #[serde(default)]
    pub operator: String,
    /// The whole contract.
    pub contract: Value,
}

/// What became of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EditVerdict {
    /// Written; it will be in force everywhere and is never taken back.
    Accepted,
    /// Not written: someone else's edit came first.
    Conflict,
    /// Not written: the contract has findings.
    Invalid,
    /// Well formed; nothing was to be written.
    Valid,
    /// Not written: the platform refused.
    NotWritten,
    /// It can't be told yet; the history tells by the edit's token.
    Unknown,
}

/// The reply to an edit.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EditReport {
    /// What became of it.
    pub verdict: EditVerdict,
    /// The edit's revision when accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Marks the edit in the history.
    #[serde(default)]
    pub token: String,
    /// Findings about the contract.
    #[serde(default)]
    pub findings: Vec<Finding>,
    /// The contract that came first, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<ContractDocument>,
    /// From that contract to the one of the edit, on a conflict; else what the edit changed.
    #[serde(default)]
    pub differences: Vec<FieldDifference>,
    /// What to do next.
    pub advice: String,
}

/// One accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// The edit's token.
    pub token: String,
    /// Milliseconds since the epoch, by the clock of the VM that took the edit.
    pub at_ms: u64,
    /// Who made it.
    pub operator: String,
    /// What changed.
    pub differences: Vec<FieldDifference>,
}
