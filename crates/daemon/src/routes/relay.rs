//! Requests that a peer serves, as this VM reaches no target.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use http::HeaderName;
use http::HeaderValue;
use oleanderwind_http::ClientContext;
use oleanderwind_http::ClientError;
use oleanderwind_http::ClientReply;
use oleanderwind_http::ClientSettings;
use oleanderwind_http::HttpClient;
use oleanderwind_http::HttpReply;
use oleanderwind_http::ReplyMemory;
use oleanderwind_policy::KeyDigest;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::VmId;
use oleanderwind_policy::is_promise;
use tokio::time::timeout;

use crate::edge::OpaqueRequest;
use crate::routes::answer::refusal;
use crate::routes::answer::relayed_reply;
use crate::routes::service::RouteService;
use crate::time::milliseconds;

/// Marks a request that a VM passes on, which is not passed on again. The value is the number of targets of each shard that
/// may run it.
pub(crate) const RELAYED: HeaderName = HeaderName::from_static("oleanderwind-relayed");
/// Digest of the caller's key in a request that a VM passes on.
const RELAYED_KEY: HeaderName = HeaderName::from_static("oleanderwind-key");
/// Marks the reply of a VM that does not know the caller's key, which a target's own 401 does not carry.
const KEY_UNKNOWN: HeaderName = HeaderName::from_static("oleanderwind-key-unknown");
/// Marks the reply of a VM that does not serve what was passed on to it, as it reaches no target or stops.
const CUT_OFF: HeaderName = HeaderName::from_static("oleanderwind-cut-off");
/// Maximum number of peers that one request is passed on to.
const MAX_PEERS: usize = 4;
/// Time for which a peer is not asked that reaches no target or does not answer.
const PEER_REST_TIME: Duration = Duration::from_millis(500);
/// Part of the time left for which one peer is waited for, if the request may be repeated.
const PEER_TIME_DIVISOR: u32 = 2;
/// Time reserved for the way back from a peer.
const RETURN_TIME: Duration = Duration::from_millis(5);
/// Delay suggested to callers when no VM reaches a target.
const CUT_OFF_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Idle connections kept to each peer.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Memory for replies of peers, in bytes.
const REPLY_MEMORY_BYTES: usize = 16 * 1_024 * 1_024;
/// Settings of connections to peers' listeners for callers.
const CONNECTION_SETTINGS: ClientSettings = ClientSettings {
    connect_timeout: Duration::from_millis(250),
    unacknowledged_timeout: Duration::from_millis(1_000),
    keepalive_interval: Some(Duration::from_millis(400)),
    max_body_bytes: 4 * 1_024 * 1_024,
};

/// Connections to the callers' listeners of peers.
pub(crate) struct RelayPool {
    idle: RefCell<HashMap<SocketAddr, Vec<HttpClient>>>,
    /// Peers that are not asked for a while.
    resting: RefCell<HashMap<VmId, Instant>>,
    context: ClientContext,
}

impl Default for RelayPool {
    fn default() -> RelayPool {
        let memory = Some(Rc::new(ReplyMemory::new(REPLY_MEMORY_BYTES)));
        RelayPool {
            idle: RefCell::default(),
            resting: RefCell::default(),
            context: ClientContext { memory, ..ClientContext::default() },
        }
    }
}

impl RelayPool {
    /// Returns a connection: an idle one only if the request may be repeated, as the peer may be closing it.
    fn acquire(&self, address: SocketAddr, may_be_idle: bool) -> HttpClient {
        let mut idle = self.idle.borrow_mut();
        let open = match may_be_idle {
            true => idle.get_mut(&address).and_then(|clients| {
                clients.retain(HttpClient::is_open);
                clients.pop()
            }),
            false => None,
        };
        let new = || HttpClient::with_context(address, CONNECTION_SETTINGS, self.context.clone());
        open.unwrap_or_else(new)
    }

    fn release(&self, address: SocketAddr, client: HttpClient) {
        let mut idle = self.idle.borrow_mut();
        let clients = idle.entry(address).or_default();
        if clients.len() < MAX_IDLE_CONNECTIONS && client.is_open() {
            clients.push(client);
        }
    }

    fn rest(&self, vm: &VmId) {
        self.resting.borrow_mut().insert(vm.clone(), Instant::now() + PEER_REST_TIME);
    }

    /// Returns the peers that are not asked for now.
    fn resting(&self) -> Vec<VmId> {
        let now = Instant::now();
        let mut resting = self.resting.borrow_mut();
        resting.retain(|_, until| now < *until);
        resting.keys().cloned().collect()
    }
}

/// Returns the reply to a request whose key is not known.
pub(crate) fn unknown_key_reply() -> HttpReply {
    let mut reply = HttpReply::empty(StatusCode::UNAUTHORIZED);
    reply.add_header(KEY_UNKNOWN.as_str().as_bytes(), b"1");
    reply
}

/// Returns the reply to a request that a peer passed on and that this VM does not serve, so that the peer asks another VM.
pub(crate) fn unserved_relay_reply(may_have_run: bool) -> HttpReply {
    let mut reply = match may_have_run {
        true => HttpReply::empty(StatusCode::BAD_GATEWAY),
        false => refusal(Some(CUT_OFF_RETRY_DELAY)),
    };
    reply.add_header(CUT_OFF.as_str().as_bytes(), b"1");
    reply
}

/// Returns the number of attempts that the VM which passed a request on leaves to this one.
fn read_relayed_attempts(value: &HeaderValue) -> u8 {
    let attempts = value.to_str().ok().and_then(|text| text.parse().ok());
    attempts.unwrap_or(1)
}

/// What is left of a request that is passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayTerms {
    /// Time by which the caller must have the answer.
    pub(crate) deadline: Instant,
    /// Number of targets of each shard that may still run it.
    pub(crate) attempts_left: u8,
    /// Whether a target may have run it.
    pub(crate) may_have_run: bool,
}

impl RelayTerms {
    /// Returns the terms after some targets of a shard may have run the request.
    pub(crate) fn after(self, attempts: u8) -> RelayTerms {
        RelayTerms {
            attempts_left: self.attempts_left.saturating_sub(attempts),
            may_have_run: self.may_have_run || attempts > 0,
            ..self
        }
    }

    /// Returns the attempts left to the next peer: one is kept for another peer if there are several.
    fn next_attempts(&self) -> u8 {
        self.attempts_left.saturating_sub(1).max(self.attempts_left.min(1))
    }
}

/// What became of a request at a peer.
enum RelayOutcome {
    /// The peer's final reply.
    Replied(ClientReply),
    /// Nothing of it ran.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RouteService {
    /// Removes the headers with which a VM passes a request on, and applies the digest of the caller's key among them.
    ///
    /// Returns the number of attempts left to this VM; `None` if no VM of the fleet passed the request on. Anyone else's
    /// headers of these names are ignored.
    pub(crate) fn take_relay_headers(&self, request: &mut OpaqueRequest) -> Option<u8> {
        let key = request.headers.remove(RELAYED_KEY);
        let attempts = request.headers.remove(RELAYED);
        if attempts.is_none() && key.is_none() {
            return None;
        }
        if !self.peers.is_vm_address(request.client) {
            self.metrics.record_relay("ignored");
            log::info!(
                request = request.id.as_str(),
                client:% = request.client;
                "ignored the headers of a passed-on request, as no VM is known at the client's address"
            );
            return None;
        }
        let attempts = attempts?;
        let digest = key.as_ref().and_then(|key| key.to_str().ok());
        if let Some(digest) = digest.and_then(|text| KeyDigest::try_from(text).ok()) {
            request.key = Some(digest);
        }
        Some(read_relayed_attempts(&attempts))
    }

    /// Returns whether the key with which a request was admitted is still its organisation's.
    fn still_admits(&self, request: &OpaqueRequest) -> bool {
        let routes = self.directory.routes();
        routes.is_none_or(|routes| {
            let organisation = request.organisation.as_ref();
            routes.organisations.still_admits(organisation, request.key.as_ref())
        })
    }

    /// Passes a request on to peers until one serves it; refuses it if none does.
    ///
    /// A request that may not be repeated is passed on once, unless nothing of it ran.
    pub(crate) async fn serve_by_peer(
        &self,
        route: &RouteContract,
        request: &OpaqueRequest,
        mut terms: RelayTerms,
    ) -> HttpReply {
        let is_idempotent = route.operation == OperationKind::Search;
        let mut tried = self.relays.resting();
        for _ in 0..MAX_PEERS {
            if !terms.may_have_run && !self.still_admits(request) {
                self.record_refused_request(request, "key_withdrawn");
                return unknown_key_reply();
            }
            let Some((peer, address)) = self.peers.choose_relay(&tried) else { break };
            let begun_at = Instant::now();
            let left = terms.deadline.saturating_duration_since(begun_at + RETURN_TIME);
            let attempts = terms.next_attempts();
            let may_repeat = is_idempotent && self.still_admits(request);
            if left.is_zero() || attempts == 0 || (terms.may_have_run && !may_repeat) {
                break;
            }
            let outcome = self.relay(request, address, left, attempts, is_idempotent).await;
            let (status, end) = match &outcome {
                RelayOutcome::Replied(reply) => (Some(reply.status.as_u16()), "replied"),
                RelayOutcome::NotRun => (None, "not_run"),
                RelayOutcome::Unknown => (None, "no_reply"),
            };
            log::info!(
                request = request.id.as_str(),
                route = route.name.as_ref(),
                peer = peer.as_ref(),
                status = status,
                outcome = end,
                ms = milliseconds(begun_at.elapsed());
                "request passed on to a peer"
            );
            self.metrics.record_relay(end);
            match outcome {
                RelayOutcome::Replied(reply) => {
                    return self.peer_reply(is_idempotent, reply);
                }
                RelayOutcome::NotRun => {}
                RelayOutcome::Unknown => terms = terms.after(attempts),
            }
            self.relays.rest(&peer);
            tried.push(peer);
        }
        self.unserved_reply(request, &terms)
    }

    /// Returns the reply to a request that a peer served.
    ///
    /// An earlier build relays the signed status of a target as it is, also where it would be a promise.
    fn peer_reply(&self, is_idempotent: bool, reply: ClientReply) -> HttpReply {
        let marks = self.dialect.parse_reply_metadata(reply.status, &reply.headers);
        match !is_idempotent && marks.signature.is_some() && is_promise(reply.status.as_u16()) {
            true => HttpReply::empty(StatusCode::BAD_GATEWAY),
            false => relayed_reply(self.dialect.as_ref(), reply),
        }
    }

    /// Returns the reply to a request that was passed on to this VM, which reaches no target either.
    pub(crate) fn refuse_relayed(&self, request: &OpaqueRequest, may_have_run: bool) -> HttpReply {
        log::info!(
            request = request.id.as_str(),
            outcome = "cut_off";
            "request of a peer refused, as no target is reached"
        );
        unserved_relay_reply(may_have_run)
    }

    async fn relay(
        &self,
        request: &OpaqueRequest,
        address: SocketAddr,
        left: Duration,
        attempts: u8,
        is_idempotent: bool,
    ) -> RelayOutcome {
        let Some(mut message) = request.message() else { return RelayOutcome::NotRun };
        let (name, value) = self.dialect.remaining_header(left);
        message.headers_mut().insert(name, value);
        message.headers_mut().insert(RELAYED, HeaderValue::from(u16::from(attempts)));
        if let Some(key) = request.key.and_then(|key| HeaderValue::from_str(&key.to_string()).ok())
        {
            message.headers_mut().insert(RELAYED_KEY, key);
        }
        // A VM of an earlier build forwards it to targets as it is; others set it anew.
        let organisation = request.organisation.as_ref();
        if let Some((name, value)) =
            organisation.and_then(|organisation| self.dialect.organisation_header(organisation))
        {
            message.headers_mut().insert(name, value);
        }
        let patience = if is_idempotent { left / PEER_TIME_DIVISOR } else { left };
        let client = self.relays.acquire(address, is_idempotent);
        let reply = timeout(patience, client.send(message)).await;
        match reply {
            Ok(Ok(reply)) => {
                self.relays.release(address, client);
                if reply.status == http::StatusCode::UNAUTHORIZED
                    && reply.headers.contains_key(KEY_UNKNOWN)
                {
                    return RelayOutcome::NotRun;
                }
                match reply.headers.contains_key(CUT_OFF) {
                    true if reply.status == http::StatusCode::SERVICE_UNAVAILABLE => {
                        RelayOutcome::NotRun
                    }
                    true => RelayOutcome::Unknown,
                    false => RelayOutcome::Replied(reply),
                }
            }
            Ok(Err(ClientError::NotConnected)) => RelayOutcome::NotRun,
            Ok(Err(ClientError::Broken | ClientError::OverLimit)) | Err(_) => RelayOutcome::Unknown,
        }
    }

    /// Returns the final reply to a request that no VM can serve in time.
    pub(crate) fn unserved_reply(&self, request: &OpaqueRequest, terms: &RelayTerms) -> HttpReply {
        let RelayTerms { deadline, may_have_run, .. } = *terms;
        log::info!(
            request = request.id.as_str(),
            outcome = "no_peer",
            may_have_run = may_have_run;
            "request ends, as neither targets nor a peer that reaches them can serve it"
        );
        match may_have_run {
            false => refusal(Some(CUT_OFF_RETRY_DELAY)),
            true if Instant::now() + RETURN_TIME >= deadline => {
                HttpReply::empty(StatusCode::GATEWAY_TIMEOUT)
            }
            true => HttpReply::empty(StatusCode::BAD_GATEWAY),
        }
    }
}
