//! Building replies to callers.

use std::time::Duration;

use actix_http::StatusCode;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::RefusalReport;
use oleanderwind_wire::SearchHit;

use crate::time::milliseconds;

/// Hits in an answer.
const MAX_HITS: usize = 10;

/// Why a request was refused before any work, and the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The body, a header or the path is wrong.
    BadRequest,
    /// No such customer.
    UnknownCustomer,
    /// No such path or method.
    UnknownPath,
    /// This VM has no configuration yet.
    NotReady,
    /// The customer is over its limit.
    OverLimit {
        /// When to come back.
        retry_after: Duration,
    },
    /// The service has no snapshot at the provider.
    NoSnapshot,
}

impl RefusalKind {
    /// The stable name that callers see.
    pub fn reason(self) -> &'static str {
        match self {
            RefusalKind::BadRequest => "bad_request",
            RefusalKind::UnknownCustomer => "unknown_customer",
            RefusalKind::UnknownPath => "unknown_path",
            RefusalKind::NotReady => "not_ready",
            RefusalKind::OverLimit { .. } => "over_limit",
            RefusalKind::NoSnapshot => "no_snapshot",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalKind::BadRequest => StatusCode::BAD_REQUEST,
            RefusalKind::UnknownCustomer | RefusalKind::UnknownPath => StatusCode::NOT_FOUND,
            RefusalKind::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            RefusalKind::NotReady | RefusalKind::NoSnapshot => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When to come back; not for requests that would be refused again.
    fn retry_after(self) -> Option<Duration> {
        match self {
            RefusalKind::BadRequest | RefusalKind::UnknownCustomer | RefusalKind::UnknownPath => {
                None
            }
            RefusalKind::OverLimit { retry_after } => Some(retry_after),
            RefusalKind::NotReady | RefusalKind::NoSnapshot => Some(Duration::from_secs(1)),
        }
    }
}

/// An answer without content.
pub(crate) fn empty_answer(
    request_id: &str,
    outcome: RequestOutcome,
    ran: RunState,
) -> CallerAnswer {
    CallerAnswer {
        request_id: request_id.to_owned(),
        outcome,
        ran,
        snapshot: None,
        coverage: None,
        hits: Vec::new(),
        result: None,
        refusal: None,
        retry_after_ms: None,
        digest: String::new(),
    }
}

/// The answer to a request that was refused before any work.
pub(crate) fn refusal_answer(
    request_id: &str,
    kind: RefusalKind,
    findings: FindingList,
    is_first_try: bool,
) -> (StatusCode, CallerAnswer) {
    let (outcome, ran) = match is_first_try {
        true => (RequestOutcome::NotRun, RunState::No),
        // An earlier try of the key may have run.
        false => (RequestOutcome::Unknown, RunState::Unknown),
    };
    let mut answer = empty_answer(request_id, outcome, ran);
    answer.refusal = Some(RefusalReport {
        reason: kind.reason().to_owned(),
        findings: findings.into_findings(),
    });
    answer.retry_after_ms = kind.retry_after().map(milliseconds);
    (kind.status(), answer)
}

/// The status that goes with an outcome.
pub(crate) fn outcome_status(outcome: RequestOutcome) -> StatusCode {
    match outcome {
        RequestOutcome::Answered | RequestOutcome::Partial => StatusCode::OK,
        RequestOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RequestOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Orders hits, keeps the best and writes their digest.
pub(crate) fn set_hits(answer: &mut CallerAnswer, mut hits: Vec<SearchHit>) {
    hits.sort_unstable_by(|a, b| b.score.cmp(&a.score).then(a.document.cmp(&b.document)));
    hits.truncate(MAX_HITS);
    answer.hits = hits;
    answer.digest = answer.content_digest();
}

/// Writes the reply.
pub(crate) fn write_reply(status: StatusCode, answer: &CallerAnswer) -> HttpReply {
    HttpReply::json(status, answer)
}
