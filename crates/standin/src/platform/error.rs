//! Errors of Object API calls.

use std::rc::Rc;

use actix_http::StatusCode;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::PlatformStatus;
use serde::Serialize;

use crate::net::HttpReply;
use crate::net::json_reply;

/// Reason why an Object API call failed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PlatformError {
    /// The request is malformed.
    Invalid(String),
    /// The object does not exist.
    NotFound,
    /// An object of that name exists.
    AlreadyExists,
    /// The object has another version; holds its current state.
    Conflict(Rc<ObjectDocument>),
    /// The history no longer contains the changes since the requested version.
    Expired,
    /// The body exceeds the size limit.
    TooLarge,
    /// A rate limit is exceeded.
    TooManyRequests,
    /// The platform is in an outage.
    Unavailable,
}

/// Body of an error reply; `current` is set for conflicts only.
#[derive(Serialize)]
struct ErrorBody {
    #[serde(flatten)]
    status: PlatformStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<Rc<ObjectDocument>>,
}

impl PlatformError {
    /// Converts the error to a reply.
    pub(crate) fn into_reply(self) -> HttpReply {
        let (code, reason, message) = match &self {
            PlatformError::Invalid(message) => (400, "Invalid", message.clone()),
            PlatformError::NotFound => (404, "NotFound", "no object of that name".to_owned()),
            PlatformError::AlreadyExists => (409, "AlreadyExists", "the name is taken".to_owned()),
            PlatformError::Conflict(current) => (
                409,
                "Conflict",
                format!("the object is at version {}", current.metadata.resource_version),
            ),
            PlatformError::Expired => {
                (410, "Expired", "the version is too old; list again".to_owned())
            }
            PlatformError::TooLarge => {
                (413, "RequestEntityTooLarge", "the object is over 1 MiB".to_owned())
            }
            PlatformError::TooManyRequests => {
                (429, "TooManyRequests", "the rate limit is used up".to_owned())
            }
            PlatformError::Unavailable => (503, "Unavailable", "the store is down".to_owned()),
        };
        let current = match self {
            PlatformError::Conflict(current) => Some(current),
            _ => None,
        };
        let status = PlatformStatus { code, reason: reason.to_owned(), message };
        let http = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        json_reply(http, &ErrorBody { status, current })
    }
}
