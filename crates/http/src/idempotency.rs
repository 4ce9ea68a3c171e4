//! Headers of requests with an idempotency key.

use actix_http::header::HeaderMap;

/// Header with the idempotency key of a request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the number of the attempt under the same key, counted from 1.
pub const ATTEMPT_HEADER: &str = "idempotency-attempt";

/// Returns whether no earlier attempt can have run: the request has no key, or the caller declares
/// it the first attempt.
pub fn is_first_attempt(headers: &HeaderMap) -> bool {
    let is_first = |value: &actix_http::header::HeaderValue| value.as_bytes() == b"1";
    !headers.contains_key(KEY_HEADER) || headers.get(ATTEMPT_HEADER).is_some_and(is_first)
}
