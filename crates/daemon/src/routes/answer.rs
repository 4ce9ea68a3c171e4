//! Replies to callers of opaque requests.

use actix_http::StatusCode;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use oleanderwind_http::ClientReply;
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
use crate::routes::relay::unknown_key_reply;

/// Header with the delay, in seconds, after which the caller may retry.
const RETRY_AFTER: &str = "retry-after";

/// Reply to a request, with its outcome.
pub(crate) struct RouteReply {
    pub(crate) reply: HttpReply,
    /// Stable label of the outcome in logs and metrics.
    pub(crate) outcome: &'static str,
}

/// Returns the reply built from the replies of the targets.
pub(crate) fn route_reply(
    dialect: &dyn CallerProtocol,
    route: &RouteContract,
    result: &FanoutResult,
    replies: Vec<SignedReply>,
    failure: Option<SignedReply>,
) -> RouteReply {
    match &route.destination {
        RouteDestination::Sharded(shards) if replies.len() >= shards.min_shards => {
            let outcome = if replies.len() == shards.services.len() { "whole" } else { "partial" };
            let reply = merged_reply(dialect, &replies, shards.services.len(), shards.record_limit);
            RouteReply { reply, outcome }
        }
        RouteDestination::Sharded(_) => unanswered_reply(result),
        RouteDestination::Single(_) | RouteDestination::Weighted(_) => {
            match (replies.into_iter().next(), failure) {
                (Some(signed), _) => {
                    RouteReply { reply: relayed_reply(dialect, signed.reply), outcome: "answered" }
                }
                (None, Some(signed)) => RouteReply {
                    reply: relayed_reply(dialect, signed.reply),
                    outcome: "target_failed",
                },
                (None, None) => unanswered_reply(result),
            }
        }
    }
}

/// Returns the reply of a target or a peer with its body unchanged and the headers that the dialect relays.
pub(crate) fn relayed_reply(dialect: &dyn CallerProtocol, reply: ClientReply) -> HttpReply {
    let headers = dialect.answer_headers(&reply.headers);
    with_headers(HttpReply::raw(status(reply.status), reply.body), &headers)
}

fn merged_reply(
    dialect: &dyn CallerProtocol,
    replies: &[SignedReply],
    shards: usize,
    record_limit: usize,
) -> HttpReply {
    let bodies: Vec<Bytes> = replies.iter().map(|signed| signed.reply.body.clone()).collect();
    let signatures: Vec<HeaderValue> =
        replies.iter().map(|signed| signed.signature.clone()).collect();
    let headers = dialect.merged_headers(&signatures, shards - replies.len());
    with_headers(HttpReply::raw(StatusCode::OK, merge_records(&bodies, record_limit)), &headers)
}

/// Adds headers to a reply.
fn with_headers(mut reply: HttpReply, headers: &HeaderMap) -> HttpReply {
    for (name, value) in headers {
        reply.add_header(name.as_str().as_bytes(), value.as_bytes());
    }
    reply
}

/// Returns the reply to a request without an answer.
///
/// Reports the request as not run only if this is proven.
fn unanswered_reply(result: &FanoutResult) -> RouteReply {
    match (result.ran, result.reason) {
        (RunState::No, FinishReason::Abandoned) => {
            RouteReply { reply: unknown_key_reply(), outcome: "key_withdrawn" }
        }
        (RunState::No, _) => RouteReply { reply: refusal(result.retry_after), outcome: "refused" },
        (_, FinishReason::DeadlineNear) => {
            RouteReply { reply: HttpReply::empty(StatusCode::GATEWAY_TIMEOUT), outcome: "late" }
        }
        _ => RouteReply { reply: HttpReply::empty(StatusCode::BAD_GATEWAY), outcome: "failed" },
    }
}

/// Returns the reply to a request that has not run and will not run. Callers may retry after
/// `retry_after`.
pub(crate) fn refusal(retry_after: Option<Duration>) -> HttpReply {
    let reply = HttpReply::empty(StatusCode::SERVICE_UNAVAILABLE);
    match retry_after {
        Some(time) => reply.with_header(RETRY_AFTER, &format!("{:.3}", time.as_secs_f64())),
        None => reply,
    }
}

/// Returns the reply to a request beyond its organisation's quota, for which there may be room after `retry_after`.
pub(crate) fn quota_refusal(retry_after: Duration) -> HttpReply {
    let reply = HttpReply::empty(StatusCode::TOO_MANY_REQUESTS);
    reply.with_header(RETRY_AFTER, &format!("{:.3}", retry_after.as_secs_f64()))
}

fn status(status: http::StatusCode) -> StatusCode {
    StatusCode::from_u16(status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY)
}
