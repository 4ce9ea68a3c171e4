//! Messages of the callers' HTTP interface: answers, refusals and address lists.
//!
//! A non-idempotent request carries two headers:
//!
//! | header | value |
//! |---|---|
//! | `Idempotency-Key` | `{issue time in ms since 1970}-{random part of a-z, A-Z, 0-9, - and _}` |
//! | `Idempotency-Attempt` | number of the attempt with this key, from 1; never reused |
//!
//! If the attempt number is missing, the reply says `unknown` where a first attempt would get
//! `not_run`. For a request with a key, `refusal.reason` is one of the names of `LedgerCause`,
//! `result_not_kept` for a result too long to store, or a reason that any refused request may have,
//! for example `bad_request`.

use oleanderwind_policy::CustomerId;
use oleanderwind_policy::Finding;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::SearchHit;

/// How much of the pinned snapshot an answer covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct CoverageReport {
    /// Number of documents covered by the merged shard answers.
    pub documents_covered: u64,
    /// Number of documents in the snapshot.
    pub documents_total: u64,
    /// Number of shards whose answers were merged.
    pub shards_answered: u32,
    /// Number of shards in the snapshot.
    pub shards_total: u32,
}

/// Body of every reply to `POST /v1/customers/{customer}/requests`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct CallerAnswer {
    /// Request id, from the caller's `X-Request-Id` header or else chosen by the VM.
    pub request_id: String,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Whether any target executed the request.
    pub ran: RunState,
    /// Index version of all merged shard answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<IndexVersion>,
    /// Coverage of the snapshot; absent for requests that do not search.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageReport>,
    /// Merged hits, best first.
    #[serde(default)]
    pub hits: Vec<SearchHit>,
    /// Result of a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Reason why the answer is missing or incomplete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<RefusalReport>,
    /// Delay before the caller should retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Value of [`CallerAnswer::content_digest`] for the complete answer.
    #[serde(default)]
    pub digest: String,
}

impl CallerAnswer {
    /// Returns the 64-bit XXH3 hash of the result, or of the hits if there is no result, as 16 hex
    /// digits.
    ///
    /// Each hit is hashed as its document number and its score, both as little-endian bytes.
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

/// Reason why a request has no answer or an incomplete one.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RefusalReport {
    /// Stable, machine-readable reason.
    pub reason: String,
    /// Validation findings about the request.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

/// Body of the reply to `GET /v1/addresses?customer=`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AddressAnswer {
    /// Customer named in the request.
    pub customer: CustomerId,
    /// Addresses of the VMs to use as `ip:port`, best first.
    pub addresses: Vec<String>,
    /// Time for which the caller may cache this answer, in milliseconds.
    pub keep_ms: u64,
}
