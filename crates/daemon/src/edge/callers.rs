//! The edge towards callers and targets of opaque requests.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use oleanderwind_http::HttpCall;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::TargetId;

/// What a call to one of the VM's listeners asks for.
#[derive(Debug)]
pub enum IncomingCall {
    /// Whether the VM takes requests.
    Readiness,
    /// Which VMs to use.
    Addresses {
        /// Where the caller stands, if it says so.
        failure_domain: Option<FailureDomainId>,
    },
    /// A request for a route's targets.
    Request(Box<OpaqueRequest>),
    /// A request that can't be passed on as it is.
    Malformed(FindingList),
}

/// A request whose path, headers and body are passed on unread.
#[derive(Clone, Debug)]
pub struct OpaqueRequest {
    /// The caller's id of this try; empty if it gave none.
    pub id: String,
    /// The host that the caller names, with its port if there is one.
    pub authority: String,
    /// The method.
    pub method: Method,
    /// Path and query exactly as they came.
    pub path_and_query: String,
    /// Length of the path in `path_and_query`.
    pub path_len: usize,
    /// Bytes of the head as it came.
    pub head_bytes: usize,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
}

impl OpaqueRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        &self.path_and_query[..self.path_len]
    }
}

/// What a target's reply says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyMetadata {
    /// The id of the request that it answers, if it says so.
    pub request_id: Option<Bytes>,
    /// Proof that the target itself made the answer.
    pub signature: Option<HeaderValue>,
    /// The target says that it did not run the request.
    pub is_not_run: bool,
    /// Another target has the address.
    pub is_misdirected: bool,
    /// The body is not the target's own bytes.
    pub is_encoded: bool,
    /// The target's load, if it tells.
    pub load: Option<LoadReport>,
}

/// How callers and targets of opaque requests spell what the tier has to know.
pub trait CallerProtocol {
    /// Reads a call.
    fn parse_call(&self, call: HttpCall) -> IncomingCall;

    /// The reply to a question for addresses, which callers keep for `keep`.
    fn address_reply(&self, addresses: &[String], keep: Duration) -> HttpReply;

    /// Headers that a call to a target gets: the time left and which target is meant.
    fn call_headers(&self, left: Duration, target: &TargetId) -> Vec<(HeaderName, HeaderValue)>;

    /// Reads what a target's reply says of itself.
    fn parse_reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Headers of a merged answer: the signatures of its parts and how many shards are missing.
    fn merged_headers(&self, signatures: &[HeaderValue], missing: usize) -> HeaderMap;

    /// A target's headers that its answer keeps on the way to the caller.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
