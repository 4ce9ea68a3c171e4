//! What a failed send proves.

use awc::error::ConnectError;
use awc::error::SendRequestError;

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
