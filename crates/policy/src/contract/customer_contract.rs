//! The validated contract of one customer.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ClassId;
use crate::CustomerId;
use crate::FindingList;
use crate::ProviderId;
use crate::contract::ClassTerms;
use crate::contract::PlacementShare;
use crate::contract::RawContract;

/// Maximum rate of one contract, in requests per second.
const MAX_REQUESTS_PER_SECOND: f64 = 1_000_000.0;
/// Maximum extra load of one contract, in thousandths of the primary calls.
const MAX_EXTRA_LOAD_PERMILLE: u32 = 1_000;

/// Which of coverage and latency a customer prefers when some shards are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerPreference {
    /// Waits for the last shards until the deadline.
    Coverage,
    /// Answers as soon as the coverage floor is reached and the remaining shards are late.
    Latency,
}

/// A validated contract.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::{CustomerContract, RawContract};
///
/// let raw: RawContract = serde_json::from_str(r#"{
///     "customer": "library", "preference": "coverage",
///     "requests_per_second": 50, "extra_load_permille": 100,
///     "placement": [{"provider": "east", "share_permille": 1000}],
///     "classes": {"finder": {"service": "courses", "operation": "search",
///                            "deadline_ms": 200, "coverage_floor_permille": 990}}
/// }"#)?;
/// let contract = CustomerContract::try_from(&raw)?;
/// assert_eq!(contract.classes["finder"].deadline.as_millis(), 200);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerContract {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Preference between coverage and latency.
    pub preference: AnswerPreference,
    /// Rate limit over the whole fleet, in requests per second.
    pub requests_per_second: f64,
    /// Limit on hedges, retries and refills together, in thousandths of the primary calls.
    pub extra_load_permille: u32,
    /// Providers and their shares, which add up to 1000.
    pub placement: Vec<PlacementShare>,
    /// Terms of each request class.
    pub classes: BTreeMap<ClassId, ClassTerms>,
}

impl CustomerContract {
    /// Returns the provider for a request with the given placement hash.
    ///
    /// The same hash gives the same provider as long as the placement does not change.
    pub fn provider_for(&self, hash: u64) -> Option<&ProviderId> {
        let mut offset = u32::try_from(hash % 1_000).unwrap_or(0);
        for share in &self.placement {
            if offset < share.share_permille {
                return Some(&share.provider);
            }
            offset -= share.share_permille;
        }
        None
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.values().map(|class| class.deadline).max().unwrap_or_default()
    }
}

impl TryFrom<&RawContract> for CustomerContract {
    type Error = FindingList;

    fn try_from(raw: &RawContract) -> Result<CustomerContract, FindingList> {
        let mut findings = FindingList::default();
        validate_contract_fields(raw, &mut findings);
        let placement = PlacementShare::from_raw_list(&raw.placement).unwrap_or_else(|found| {
            findings.extend(found);
            Vec::new()
        });
        let classes = validate_classes(raw, &mut findings);
        findings.into_result(CustomerContract {
            customer: raw.customer.as_str().into(),
            preference: raw.preference,
            requests_per_second: raw.requests_per_second,
            extra_load_permille: raw.extra_load_permille,
            placement,
            classes,
        })
    }
}

/// Validates the customer's name, the rate and the extra load.
fn validate_contract_fields(raw: &RawContract, findings: &mut FindingList) {
    let is_name = |text: &str| {
        !text.is_empty()
            && text.len() <= 63
            && text
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
    };
    if !is_name(&raw.customer) {
        findings.add("customer", "give 1 to 63 of a-z, 0-9 and -");
    }
    let rate = raw.requests_per_second;
    if !(rate > 0.0 && rate <= MAX_REQUESTS_PER_SECOND) {
        findings.add(
            "requests_per_second",
            format!("is {rate}; give more than 0 and at most {MAX_REQUESTS_PER_SECOND}"),
        );
    }
    if raw.extra_load_permille > MAX_EXTRA_LOAD_PERMILLE {
        findings.add(
            "extra_load_permille",
            format!("is {}; give 0 to {MAX_EXTRA_LOAD_PERMILLE}", raw.extra_load_permille),
        );
    }
}

/// Validates all classes; an invalid class adds findings and is omitted from the result.
fn validate_classes(
    raw: &RawContract,
    findings: &mut FindingList,
) -> BTreeMap<ClassId, ClassTerms> {
    if raw.classes.is_empty() {
        findings.add("classes", "is empty; give at least one class");
    }
    let mut classes = BTreeMap::new();
    for (name, class) in &raw.classes {
        match ClassTerms::from_raw(class, &format!("classes.{name}")) {
            Ok(terms) => {
                classes.insert(name.as_str().into(), terms);
            }
            Err(found) => findings.extend(found),
        }
    }
    classes
}
