//! Replies to callers.

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

/// Maximum number of hits in an answer.
const MAX_HITS: usize = 10;

/// Why a request was refused before it was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The body, a header or a query parameter is invalid.
    BadRequest,
    /// The customer has no contract.
    UnknownCustomer,
    /// The path is unknown or does not support the method.
    UnknownPath,
    /// This VM can't serve requests: it has no configuration, or is isolated from its peers.
    NotReady,
    /// The customer exceeded its rate limit.
    OverLimit {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The provider has no snapshot of the service.
    NoSnapshot,
}

impl RefusalKind {
    /// Returns the stable label sent to callers.
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

    /// Returns the suggested retry delay, or `None` if a retry would be refused as well.
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

/// Returns an answer without content.
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

/// Returns the status and answer for a request that was refused before it was executed.
pub(crate) fn refusal_answer(
    request_id: &str,
    kind: RefusalKind,
    findings: FindingList,
    is_first_try: bool,
) -> (StatusCode, CallerAnswer) {
    let (outcome, ran) = match is_first_try {
        true => (RequestOutcome::NotRun, RunState::No),
        // An earlier attempt with the same key may have run.
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

/// Returns the HTTP status for an outcome.
pub(crate) fn outcome_status(outcome: RequestOutcome) -> StatusCode {
    match outcome {
        RequestOutcome::Answered | RequestOutcome::Partial => StatusCode::OK,
        RequestOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RequestOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Sorts the hits by descending score, keeps the best `MAX_HITS` and sets the digest.
pub(crate) fn set_hits(answer: &mut CallerAnswer, mut hits: Vec<SearchHit>) {
    hits.sort_unstable_by(|a, b| b.score.cmp(&a.score).then(a.document.cmp(&b.document)));
    hits.truncate(MAX_HITS);
    answer.hits = hits;
    answer.digest = answer.content_digest();
}

/// Returns the reply with the answer as its JSON body.
pub(crate) fn write_reply(status: StatusCode, answer: &CallerAnswer) -> HttpReply {
    HttpReply::json(status, answer)
}
