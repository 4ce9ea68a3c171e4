//! Parsing and validation of a caller's request.

use std::time::Duration;

use oleanderwind_http::ATTEMPT_HEADER;
use oleanderwind_http::HttpCall;
use oleanderwind_http::KEY_HEADER;
use oleanderwind_policy::ClassTerms;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::LedgerKey;
use oleanderwind_policy::LedgerKeyError;
use oleanderwind_policy::OperationKind;
use serde::Deserialize;

/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Body of `POST /v1/customers/{customer}/requests`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRequest {
    pub(crate) class: String,
    /// Query text of a search.
    #[serde(default)]
    pub(crate) query: Option<String>,
    /// Payload of an execute request.
    #[serde(default)]
    pub(crate) body: Option<String>,
    /// Time to answer the request, in milliseconds; at most the contract's deadline.
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
}

/// Idempotency key of a request that must not be executed twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestKey {
    pub(crate) key: LedgerKey,
    /// Attempt number, counted by the caller from 1; 0 if the caller doesn't count attempts.
    pub(crate) attempt: u32,
}

/// A validated request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) class: String,
    pub(crate) terms: ClassTerms,
    pub(crate) text: String,
    pub(crate) deadline: Duration,
    /// Idempotency key; present exactly for execute requests.
    pub(crate) key: Option<RequestKey>,
}

impl CallerRequest {
    /// Parses a call and validates it against the customer's contract.
    ///
    /// # Errors
    ///
    /// Returns the findings if the body can't be parsed or breaks the contract.
    pub(crate) fn check(
        call: &HttpCall,
        contract: &CustomerContract,
    ) -> Result<CallerRequest, FindingList> {
        let raw: RawRequest = serde_json::from_slice(&call.body).map_err(|error| {
            let mut findings = FindingList::default();
            findings.add("body", format!("is not a request: {error}"));
            findings
        })?;
        let mut findings = FindingList::default();
        let Some(terms) = contract.classes.get(raw.class.as_str()).cloned() else {
            findings.add("class", format!("\"{}\" is not in the contract", raw.class));
            return Err(findings);
        };
        let text = check_text(&raw, terms.operation, &mut findings);
        let deadline = check_deadline(&raw, &terms, &mut findings);
        let key = match terms.operation {
            OperationKind::Search => None,
            OperationKind::Execute => check_key(call, &mut findings),
        };
        findings.into_result(CallerRequest { class: raw.class, terms, text, deadline, key })
    }
}

fn check_text(raw: &RawRequest, operation: OperationKind, findings: &mut FindingList) -> String {
    let (wanted, name, unwanted, other) = match operation {
        OperationKind::Search => (&raw.query, "query", &raw.body, "body"),
        OperationKind::Execute => (&raw.body, "body", &raw.query, "query"),
    };
    if unwanted.is_some() {
        findings.add(other, format!("does not go with this class; give {name}"));
    }
    wanted.clone().unwrap_or_else(|| {
        findings.add(name, "is missing");
        String::new()
    })
}

fn check_deadline(raw: &RawRequest, terms: &ClassTerms, findings: &mut FindingList) -> Duration {
    let Some(deadline_ms) = raw.deadline_ms else { return terms.deadline };
    let deadline = Duration::from_millis(deadline_ms);
    if deadline.is_zero() || deadline > terms.deadline {
        findings.add(
            "deadline_ms",
            format!("is {deadline_ms}; give 1 to {}", terms.deadline.as_millis()),
        );
    }
    deadline
}

fn check_key(call: &HttpCall, findings: &mut FindingList) -> Option<RequestKey> {
    let key = LedgerKey::try_from(call.header(KEY_HEADER).unwrap_or_default());
    if let Err(error) = key {
        findings.add("Idempotency-Key", key_problem(error));
    }
    let attempt = match call.headers.contains_key(ATTEMPT_HEADER) {
        true => call.header(ATTEMPT_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0),
        false => return key.ok().map(|key| RequestKey { key, attempt: 0 }),
    };
    if attempt == 0 {
        findings.add("Idempotency-Attempt", "count the tries of the key from 1, or leave it out");
    }
    key.ok().map(|key| RequestKey { key, attempt })
}

fn key_problem(error: LedgerKeyError) -> &'static str {
    match error {
        LedgerKeyError::Length => "give 1 to 128 bytes",
        LedgerKeyError::IssueTime => "start with the issue time in milliseconds since 1970 and -",
        LedgerKeyError::RandomPart => "end with a random part of a-z, A-Z, 0-9, - and _",
    }
}

/// Returns the caller's request id, or one made from `fresh` if it is missing, empty or too long.
pub(crate) fn request_id(call: &HttpCall, fresh: u64) -> String {
    match call.header("x-request-id") {
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES => id.to_owned(),
        _ => format!("{fresh:016x}"),
    }
}
