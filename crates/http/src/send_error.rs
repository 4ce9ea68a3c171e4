//! What a client's error says about bytes that were sent.

use awc::error::ConnectError;
use awc::error::SendRequestError;

/// Whether no byte of the request can have left.
///
/// awc gives [`ConnectError::Disconnected`] also when the server closes after it has read the
/// request, so this one does not count.
///
/// # Examples
///
/// ```
/// use awc::error::{ConnectError, SendRequestError};
/// use oleanderwind_http::is_unsent;
///
/// assert!(is_unsent(&SendRequestError::Connect(ConnectError::Timeout)));
/// assert!(!is_unsent(&SendRequestError::Connect(ConnectError::Disconnected)));
/// ```
pub fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
