//! What headers say about earlier tries of a request.

use actix_http::header::HeaderMap;

/// Header with the key of a request that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the number of a try of its key, counted from 1.
pub const ATTEMPT_HEADER: &str = "idempotency-attempt";

/// Whether no earlier try can have run: there is no key, or the caller says this is its first try.
pub fn is_first_attempt(headers: &HeaderMap) -> bool {
    let is_first = |value: &actix_http::header::HeaderValue| value.as_bytes() == b"1";
    !headers.contains_key(KEY_HEADER) || headers.get(ATTEMPT_HEADER).is_some_and(is_first)
}
