//! Helpers for HTTP replies.

use awc::ClientResponse;
use awc::http::header::CONTENT_LENGTH;

/// Returns the `Content-Length` of a reply.
///
/// The HTTP client reports a truncated body as complete, so callers must compare its length.
pub(crate) fn announced_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    response.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
