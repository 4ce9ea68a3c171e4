//! What callers of opaque requests get.

use actix_http::StatusCode;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::RouteDestination;
use oleanderwind_policy::RunState;
use oleanderwind_policy::merge_records;
use std::time::Duration;

use crate::edge::CallerProtocol;
use crate::fanout::SignedReply;

/// Header with the seconds after which to come back.
const RETRY_AFTER: &str = "retry-after";

/// What a request came to.
pub(crate) struct RouteEnd {
    pub(crate) reply: HttpReply,
    /// The stable name for logs and metrics.
    pub(crate) outcome: &'static str,
}

/// The answer made of the targets' answers.
pub(crate) fn answer(
    dialect: &dyn CallerProtocol,
    route: &RouteContract,
    result: &FanoutResult,
    replies: Vec<SignedReply>,
    failure: Option<SignedReply>,
) -> RouteEnd {
    match &route.destination {
        RouteDestination::Sharded(shards) if replies.len() >= shards.min_shards => {
            let outcome = if replies.len() == shards.services.len() { "whole" } else { "partial" };
            let reply = merged_reply(dialect, &replies, shards.services.len(), shards.top_k);
            RouteEnd { reply, outcome }
        }
        RouteDestination::Sharded(_) => unanswered(result),
        RouteDestination::Single(_) | RouteDestination::Weighted(_) => {
            match (replies.into_iter().next(), failure) {
                (Some(signed), _) => {
                    RouteEnd { reply: whole_reply(dialect, signed), outcome: "answered" }
                }
                (None, Some(signed)) => {
                    RouteEnd { reply: whole_reply(dialect, signed), outcome: "target_failed" }
                }
                (None, None) => unanswered(result),
            }
        }
    }
}

/// A target's own reply, unchanged.
fn whole_reply(dialect: &dyn CallerProtocol, signed: SignedReply) -> HttpReply {
    let kept = dialect.answer_headers(&signed.reply.headers);
    with_headers(HttpReply::raw(status(signed.reply.status), signed.reply.body), &kept)
}

fn merged_reply(
    dialect: &dyn CallerProtocol,
    replies: &[SignedReply],
    shards: usize,
    top: usize,
) -> HttpReply {
    let bodies: Vec<Bytes> = replies.iter().map(|signed| signed.reply.body.clone()).collect();
    let signatures: Vec<HeaderValue> =
        replies.iter().map(|signed| signed.signature.clone()).collect();
    let headers = dialect.merged_headers(&signatures, shards - replies.len());
    with_headers(HttpReply::raw(StatusCode::OK, merge_records(&bodies, top)), &headers)
}

fn with_headers(mut reply: HttpReply, headers: &HeaderMap) -> HttpReply {
    for (name, value) in headers {
        reply.add_header(name.as_str().as_bytes(), value.as_bytes());
    }
    reply
}

/// The end of a request without an answer: a promise that it did not run only where it didn't.
fn unanswered(result: &FanoutResult) -> RouteEnd {
    match (result.ran, result.reason) {
        (RunState::No, _) => RouteEnd { reply: refusal(result.retry_after), outcome: "refused" },
        (_, FinishReason::DeadlineNear) => {
            RouteEnd { reply: HttpReply::empty(StatusCode::GATEWAY_TIMEOUT), outcome: "late" }
        }
        _ => RouteEnd { reply: HttpReply::empty(StatusCode::BAD_GATEWAY), outcome: "failed" },
    }
}

/// A request has not run and never will; callers may come back after `retry_after`.
pub(crate) fn refusal(retry_after: Option<Duration>) -> HttpReply {
    let reply = HttpReply::empty(StatusCode::SERVICE_UNAVAILABLE);
    match retry_after {
        Some(time) => reply.with_header(RETRY_AFTER, &format!("{:.3}", time.as_secs_f64())),
        None => reply,
    }
}

fn status(status: http::StatusCode) -> StatusCode {
    StatusCode::from_u16(status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY)
}
