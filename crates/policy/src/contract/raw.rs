//! Contracts as operators write them, before validation.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::contract::AnswerPreference;
use crate::contract::ClassPriority;
use crate::contract::OperationKind;

/// JSON representation of a contract.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawContract {
    /// Name of the customer; equal to the name of the configuration object.
    pub customer: String,
    /// Preference between coverage and latency when some shards are late.
    pub preference: AnswerPreference,
    /// Rate limit over the whole fleet, in requests per second.
    pub requests_per_second: f64,
    /// Limit on hedges, retries and refills together, in thousandths of the primary calls.
    pub extra_load_permille: u32,
    /// Providers that serve the customer; their shares must add up to 1000.
    pub placement: Vec<RawPlacement>,
    /// Terms of each request class, by class name.
    pub classes: BTreeMap<String, RawClass>,
}

/// One provider's share of a customer's requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlacement {
    /// Name of the provider.
    pub provider: String,
    /// Share of the customer's requests, in thousandths.
    pub share_permille: u32,
}

/// Terms of one request class, before validation.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawClass {
    /// Service that answers the class's requests.
    pub service: String,
    /// Whether the class's requests are idempotent.
    pub operation: OperationKind,
    /// Maximum time from a request's arrival to its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Minimum coverage of an answer, in thousandths of the snapshot's documents; 0 for classes
    /// that execute operations.
    #[serde(default)]
    pub coverage_floor_permille: u32,
    /// Priority under load; interactive classes are served before deferrable ones.
    #[serde(default)]
    pub priority: ClassPriority,
}
