//! Interface to the protocol that callers and targets of opaque requests use.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;
use oleanderwind_http::HttpCall;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::KeyDigest;
use oleanderwind_policy::LimitNotice;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::OrganisationId;
use oleanderwind_policy::TargetId;

/// Parsed call to the VM's listener for callers.
#[derive(Debug)]
pub enum IncomingCall {
    /// Readiness check: does the VM accept requests?
    Readiness,
    /// Query for the addresses of the VMs to use.
    Addresses {
        /// Failure domain of the caller, if given.
        failure_domain: Option<FailureDomainId>,
    },
    /// Request to forward to targets of a route.
    Request(Box<OpaqueRequest>),
    /// Request that can't be forwarded, with the reasons.
    Malformed(FindingList),
}

/// What the head of a call says about the need for its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallHead {
    /// The call is answered without its body.
    Bodiless,
    /// A request, whose body is needed if it has a route and its caller a valid key.
    Request {
        /// Host that the caller requested, with the port if given.
        authority: String,
        /// Digest of the key that the caller sent.
        key: Option<KeyDigest>,
    },
}

/// Request whose path, headers and body are forwarded without interpretation.
#[derive(Clone, Debug)]
pub struct OpaqueRequest {
    /// Identifier that the caller gave this attempt; empty if it gave none.
    pub id: String,
    /// Host that the caller requested, with the port if given.
    pub authority: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query exactly as received.
    pub path_and_query: String,
    /// Length of the path in `path_and_query`, in bytes.
    pub path_len: usize,
    /// Size of the head as received, in bytes.
    pub head_bytes: usize,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// When the head had arrived.
    pub arrived: Instant,
    /// Digest of the key that the caller sent. The key itself is not among `headers`.
    pub key: Option<KeyDigest>,
    /// Address of the caller, or of the VM that passed the request on.
    pub client: IpAddr,
    /// Organisation on whose behalf the request is served, once that is known.
    pub organisation: Option<OrganisationId>,
    /// How long the caller waits for the answer, if given.
    pub timeout: Option<Duration>,
}

impl OpaqueRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        &self.path_and_query[..self.path_len]
    }

    /// Returns the parts that make up what the request asks for, whatever its id.
    ///
    /// The caller counts by its credentials, as the same path may mean other work for another caller.
    pub(crate) fn work_parts(&self) -> Vec<&[u8]> {
        let credentials = self.headers.get(header::AUTHORIZATION);
        let mut parts: Vec<&[u8]> = vec![
            self.method.as_str().as_bytes(),
            self.authority.as_bytes(),
            self.path_and_query.as_bytes(),
            credentials.map_or(b"", |value| value.as_bytes()),
            &self.body,
        ];
        parts.extend(self.organisation.as_ref().map(|name| name.as_bytes()));
        parts
    }

    /// Returns the request as it is sent on, with no headers but those to forward; `None` if its path is not a valid URI.
    pub(crate) fn message(&self) -> Option<Request<Full<Bytes>>> {
        let uri: Uri = match self.path_and_query.parse() {
            Ok(uri) => uri,
            Err(error) => {
                log::error!(request = self.id.as_str(); "request path is not a valid URI: {error}");
                return None;
            }
        };
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = uri;
        *message.headers_mut() = self.headers.clone();
        Some(message)
    }
}

/// Metadata of a target's reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMetadata {
    /// Identifier of the request that it answers, if given.
    pub request_id: Option<Bytes>,
    /// Proof that the target itself produced the answer.
    pub signature: Option<HeaderValue>,
    /// Whether the target reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the call reached another target than the intended one.
    pub is_misdirected: bool,
    /// Whether the body is encoded, so that it differs from the bytes that the target produced.
    pub is_encoded: bool,
    /// Load of the target, if reported.
    pub load: Option<LoadReport>,
    /// Rate limit of the target.
    pub limit: LimitNotice,
    /// Time for which the target stays cold; zero if it is warm.
    pub cold: Duration,
}

/// What a target says about itself with a reply of any status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether the target leaves, so that it must get no new calls.
    pub is_leaving: bool,
    /// How long the target asks this VM to send it nothing.
    pub pause: Option<Duration>,
}

/// Protocol by which callers and targets of opaque requests exchange metadata with the tier.
pub trait CallerProtocol {
    /// Parses the head of a call whose body has not been read.
    fn parse_head(&self, call: &HttpCall) -> CallHead;

    /// Parses a call from a caller.
    fn parse_call(&self, call: HttpCall) -> IncomingCall;

    /// Builds the reply to an address query; callers may cache it for `ttl`.
    fn address_reply(&self, addresses: &[String], ttl: Duration) -> HttpReply;

    /// Returns the headers added to a call to a target: the remaining time and the intended target.
    fn call_headers(
        &self,
        remaining: Duration,
        target: &TargetId,
    ) -> Vec<(HeaderName, HeaderValue)>;

    /// Returns the header that tells a target on whose behalf it is called; `None` if the name is not a header value.
    fn organisation_header(
        &self,
        organisation: &OrganisationId,
    ) -> Option<(HeaderName, HeaderValue)>;

    /// Returns the header that tells another VM the remaining time.
    fn remaining_header(&self, remaining: Duration) -> (HeaderName, HeaderValue);

    /// Parses the metadata of a target's reply.
    fn parse_reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Parses what a target's reply says about the target itself.
    fn parse_target_notice(&self, status: StatusCode, headers: &HeaderMap) -> TargetNotice;

    /// Returns the headers of a merged answer: the signatures of its parts and the number of
    /// missing shards.
    fn merged_headers(&self, signatures: &[HeaderValue], missing: usize) -> HeaderMap;

    /// Returns the headers of a target's reply that are forwarded to the caller.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
