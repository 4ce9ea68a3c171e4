//! Paths and query parameters of the Object API.

use actix_http::Method;
use actix_http::Request;
use oleanderwind_wire::API_PREFIX;

use crate::platform::call::CallKind;
use crate::platform::error::PlatformError;

/// Duration of a watch, in seconds, if the caller specifies none.
const DEFAULT_WATCH_SECONDS: u64 = 30;

/// Object API call as parsed from the method, path and query of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ObjectCall {
    /// Kind of call.
    pub(crate) operation: CallKind,
    /// Plural kind of object.
    pub(crate) kind: String,
    /// Name of the object; empty for lists and watches.
    pub(crate) name: String,
    /// Value of `resourceVersion`, if given.
    pub(crate) version: Option<u64>,
    /// Duration of a watch, in seconds.
    pub(crate) timeout_seconds: u64,
}

impl TryFrom<&Request> for ObjectCall {
    type Error = PlatformError;

    fn try_from(request: &Request) -> Result<ObjectCall, PlatformError> {
        let rest = request.path().strip_prefix(API_PREFIX).ok_or(PlatformError::NotFound)?;
        let mut parts = rest.trim_matches('/').splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().unwrap_or_default().to_owned();
        if kind.is_empty() {
            return Err(PlatformError::NotFound);
        }
        let query = request.uri().query().unwrap_or_default();
        let watch = parameter(query, "watch").is_some_and(|value| value == "1" || value == "true");
        let operation = call_kind(request.method(), watch, name.is_empty())?;
        Ok(ObjectCall {
            operation,
            kind,
            name,
            version: number(query, "resourceVersion")?,
            timeout_seconds: number(query, "timeoutSeconds")?.unwrap_or(DEFAULT_WATCH_SECONDS),
        })
    }
}

/// Returns the kind of call for a method and path.
fn call_kind(method: &Method, watch: bool, unnamed: bool) -> Result<CallKind, PlatformError> {
    match (method, unnamed) {
        (&Method::GET, true) if watch => Ok(CallKind::Watch),
        (&Method::GET, true) => Ok(CallKind::List),
        (&Method::GET, false) => Ok(CallKind::Get),
        (&Method::POST, _) => Ok(CallKind::Create),
        (&Method::PUT, false) => Ok(CallKind::Update),
        (&Method::DELETE, false) => Ok(CallKind::Delete),
        _ => Err(PlatformError::Invalid(format!("{method} is not served here"))),
    }
}

/// Returns the value of a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// Parses a numeric query parameter; `None` if it is absent or empty.
fn number(query: &str, name: &str) -> Result<Option<u64>, PlatformError> {
    match parameter(query, name) {
        None | Some("") => Ok(None),
        Some(text) => {
            let invalid = |_| PlatformError::Invalid(format!("{name} is {text}; give a number"));
            text.parse().map(Some).map_err(invalid)
        }
    }
}
