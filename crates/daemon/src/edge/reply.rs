//! What a reply proves.

use awc::ClientResponse;
use awc::http::header::CONTENT_LENGTH;

/// The length that a reply's head announces for its body.
///
/// The client takes a body that breaks off for a whole one, so the reader compares.
pub(crate) fn announced_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    response.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
