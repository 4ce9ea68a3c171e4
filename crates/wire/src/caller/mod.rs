//! The callers' HTTP interface: answers, refusals and address answers.
//!
//! A request of a class that may not be repeated carries two headers:
//!
//! | header | value |
//! |---|---|
//! | `Idempotency-Key` | `{issue time in ms since 1970}-{random part of a-z, A-Z, 0-9, - and _}` |
//! | `Idempotency-Attempt` | number of the try of the key, from 1 and never used twice |
//!
//! A caller that leaves the attempt out is told `unknown` where a first try would be told
//! `not_run`. For a key, `refusal.reason` is one of `LedgerCause`'s names, `result_not_kept` for
//! a result too long to keep, or a reason of any refused request, for example `bad_request`.

use oleanderwind_policy::CustomerId;
use oleanderwind_policy::Finding;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::SearchHit;

/// How much of the pinned snapshot an answer covers, counted in documents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct CoverageReport {
    /// Documents that the merged shard answers cover.
    pub documents_covered: u64,
    /// Documents of the whole snapshot.
    pub documents_total: u64,
    /// Shards whose answer was merged.
    pub shards_answered: u32,
    /// Shards of the snapshot.
    pub shards_total: u32,
}

/// The body of every reply to `POST /v1/customers/{customer}/requests`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct CallerAnswer {
    /// Id of the request, chosen by the caller in `X-Request-Id` or by the VM.
    pub request_id: String,
    /// What became of the request.
    pub outcome: RequestOutcome,
    /// Whether any target ran it.
    pub ran: RunState,
    /// Index version that every merged shard answer came from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<IndexVersion>,
    /// Coverage of that snapshot; absent for requests that search nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageReport>,
    /// Merged hits, best first.
    #[serde(default)]
    pub hits: Vec<SearchHit>,
    /// Result of a request that may not be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Why there is no whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<RefusalReport>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// What [`CallerAnswer::content_digest`] gives for the whole answer.
    #[serde(default)]
    pub digest: String,
}

impl CallerAnswer {
    /// XXH3 of the result, else of the hits, as 16 hex digits.
    ///
    /// Each hit counts with its document and its score as little-endian bytes.
    pub fn content_digest(&self) -> String {
        let mut hasher = Xxh3::new();
        match &self.result {
            Some(result) => hasher.update(result.as_bytes()),
            None => {
                for hit in &self.hits {
                    hasher.update(&hit.document.to_le_bytes());
                    hasher.update(&hit.score.to_le_bytes());
                }
            }
        }
        format!("{:016x}", hasher.digest())
    }
}

/// Why a request has no whole answer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RefusalReport {
    /// Stable machine-readable reason.
    pub reason: String,
    /// Every finding about the input, with its place.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

/// The reply to `GET /v1/addresses?customer=`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AddressAnswer {
    /// The customer that asked.
    pub customer: CustomerId,
    /// `ip:port` of the VMs to use, best first.
    pub addresses: Vec<String>,
    /// How long to keep this answer, in milliseconds.
    pub keep_ms: u64,
}
