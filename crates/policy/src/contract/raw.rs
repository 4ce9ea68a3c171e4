//! Contracts as operators write them, before any check.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::contract::AnswerPreference;
use crate::contract::ClassPriority;
use crate::contract::OperationKind;

/// A contract's JSON.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawContract {
    /// The customer's name, equal to the object's name.
    pub customer: String,
    /// What to trade when both can't be had.
    pub preference: AnswerPreference,
    /// Requests a second over the whole fleet.
    pub requests_per_second: f64,
    /// Hedges, retries and refills together, in thousandths of the primary calls.
    pub extra_load_permille: u32,
    /// Which providers serve the customer; the shares add up to 1000.
    pub placement: Vec<RawPlacement>,
    /// Terms of each class of requests.
    pub classes: BTreeMap<String, RawClass>,
}

/// One provider's share of a customer's requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlacement {
    /// The provider's name.
    pub provider: String,
    /// Thousandths of the customer's requests.
    pub share_permille: u32,
}

/// Terms of one class, before any check.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawClass {
    /// The service that serves the class.
    pub service: String,
    /// Search, or an operation that may not be repeated.
    pub operation: OperationKind,
    /// Longest time to the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Least coverage, in thousandths of the documents; 0 for operations.
    #[serde(default)]
    pub coverage_floor_permille: u32,
    /// Interactive classes go before deferrable ones.
    #[serde(default)]
    pub priority: ClassPriority,
}
