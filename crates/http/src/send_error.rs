//! Classification of the errors of the awc client.

use awc::error::ConnectError;
use awc::error::SendRequestError;

/// Returns whether no byte of the request can have been sent.
///
/// awc also returns [`ConnectError::Disconnected`] if the server closes the connection after it has
/// read the request, so this error does not prove that nothing was sent.
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
