//! What a send and its reply prove.

use awc::ClientResponse;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::header::CONTENT_LENGTH;

/// Whether a failed send certainly put no byte on a connection.
///
/// The client reports a connection that closed before its reply as
/// [`ConnectError::Disconnected`], so that one proves nothing.
pub(crate) fn is_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

/// The length that a reply's head announces for its body.
///
/// The client takes a body that breaks off for a whole one, so the reader compares.
pub(crate) fn announced_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    response.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
