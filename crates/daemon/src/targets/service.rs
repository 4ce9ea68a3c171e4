//! The service through which other services call targets.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use oleanderwind_http::ClientContext;
use oleanderwind_http::ClientError;
use oleanderwind_http::ClientExchange;
use oleanderwind_http::ClientReply;
use oleanderwind_http::ConnectObserver;
use oleanderwind_http::HeadObserver;
use oleanderwind_http::HttpClient;
use oleanderwind_http::ListenerState;
use oleanderwind_http::ReplyMemory;
use oleanderwind_http::probe_listener;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ConnectionHistory;
use oleanderwind_policy::ConnectionShare;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::CancelCall;
use oleanderwind_wire::ExecuteAnswer;
use oleanderwind_wire::ExecuteCall;
use oleanderwind_wire::SearcherRefusal;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::targets::CallFailure;
use crate::targets::CallOutcome;
use crate::targets::ExecuteDeadline;
use crate::targets::ForwardOutcome;
use crate::targets::ReplyMatch;
use crate::targets::pool::CONNECTION_SETTINGS;
use crate::targets::pool::PooledConnection;
use crate::targets::pool::PooledRequest;
use crate::targets::pool::TargetPool;

/// Time-out of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(50);
/// Time-out of the probe that checks a connection before a call that must not be sent twice.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum time since the last reply for which a connection is assumed to be alive.
const LIVENESS_WINDOW: Duration = Duration::from_millis(500);
/// Maximum memory of the bodies of unfinished replies beyond 4 KiB each, of all targets, in bytes. The
/// smallest VMs have 160 MB.
const REPLY_MEMORY_BYTES: usize = 16 * 1_024 * 1_024;
/// Minimum interval between two probes of all idle connections.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Called with the head of each reply of a target, and the target's incarnation.
pub(crate) type ReplyObserver = Rc<dyn Fn(&TargetId, u64, StatusCode, &HeaderMap)>;

/// Called after each attempt to connect to a target, with whether it accepted.
pub(crate) type PathObserver = Rc<dyn Fn(&TargetId, bool)>;

/// Connection pools of all known targets.
pub(crate) struct TargetService {
    pools: RefCell<HashMap<TargetId, IncarnationPool>>,
    connects: Rc<Cell<u64>>,
    memory: Rc<ReplyMemory>,
    reply_observer: RefCell<Option<ReplyObserver>>,
    path_observer: RefCell<Option<PathObserver>>,
    /// Time at which the idle connections were last probed.
    last_probe_at: Cell<Option<Instant>>,
}

/// A process of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TargetProcess {
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
}

/// Sign that a process of a target has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndSign {
    /// A later one is listed.
    Succeeded,
    /// Nobody listens at its address.
    Refused,
    /// Its host does not answer.
    Silent,
}

/// What came of asking a target for its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthReply {
    /// It replied, whatever it says about its health.
    Replied,
    /// It accepted a connection.
    Connected,
    /// It accepted no connection.
    Unreachable,
}

/// Pool of one incarnation of a target.
struct IncarnationPool {
    incarnation: u64,
    pool: Rc<TargetPool>,
}

impl Default for TargetService {
    fn default() -> TargetService {
        TargetService {
            pools: RefCell::default(),
            connects: Rc::default(),
            memory: Rc::new(ReplyMemory::new(REPLY_MEMORY_BYTES)),
            reply_observer: RefCell::default(),
            path_observer: RefCell::default(),
            last_probe_at: Cell::default(),
        }
    }
}

impl TargetService {
    /// Returns the number of connections to targets opened so far.
    pub(crate) fn connects(&self) -> u64 {
        self.connects.get()
    }

    /// Sets the observer of replies; holds for the pools created later.
    pub(crate) fn set_reply_observer(&self, observer: ReplyObserver) {
        *self.reply_observer.borrow_mut() = Some(observer);
    }

    /// Sets the observer of new connections; holds for the pools created later.
    pub(crate) fn set_path_observer(&self, observer: PathObserver) {
        *self.path_observer.borrow_mut() = Some(observer);
    }

    /// Returns whether an idle connection to the target is open.
    pub(crate) fn has_idle(&self, target: &TargetId) -> bool {
        self.pool(target).is_some_and(|pool| pool.has_idle())
    }

    /// Closes the connections to a process that leaves as they become idle.
    pub(crate) fn retire(&self, target: &TargetId, incarnation: u64) {
        let pools = self.pools.borrow();
        let entry = pools.get(target).filter(|entry| entry.incarnation == incarnation);
        if let Some(entry) = entry {
            entry.pool.retire();
        }
    }

    /// Updates the pools to the current targets.
    ///
    /// Creates a pool for each target that is new or whose incarnation or address changed, and
    /// drops the pools of removed targets.
    pub(crate) fn apply_targets(
        &self,
        specs: &[TargetSpec],
        share: impl Fn(&TargetSpec) -> ConnectionShare,
    ) {
        let mut pools = self.pools.borrow_mut();
        let mut updated = HashMap::with_capacity(specs.len());
        for spec in specs {
            let existing = pools.remove(&spec.target).filter(|existing| {
                existing.incarnation == spec.incarnation && existing.pool.address() == spec.address
            });
            let pool = match existing {
                Some(existing) => {
                    existing.pool.set_share(share(spec));
                    existing.pool
                }
                None => self.new_pool(spec, share(spec)),
            };
            updated.insert(
                spec.target.clone(),
                IncarnationPool { incarnation: spec.incarnation, pool },
            );
        }
        *pools = updated;
    }

    fn new_pool(&self, spec: &TargetSpec, share: ConnectionShare) -> Rc<TargetPool> {
        let head_observer = self.reply_observer.borrow().clone().map(|observe| {
            let (target, incarnation) = (spec.target.clone(), spec.incarnation);
            let observer: HeadObserver = Rc::new(move |status, headers: &HeaderMap| {
                observe(&target, incarnation, status, headers);
            });
            observer
        });
        let connect_observer = self.path_observer.borrow().clone().map(|observe| {
            let target = spec.target.clone();
            let observer: ConnectObserver = Rc::new(move |is_open| observe(&target, is_open));
            observer
        });
        let context = ClientContext {
            connects: self.connects.clone(),
            head_observer,
            connect_observer,
            memory: Some(self.memory.clone()),
        };
        TargetPool::new(spec.address, share, context)
    }

    /// Sends a search of one shard to the target.
    pub(crate) async fn search(
        &self,
        target: &TargetId,
        call: &ShardCall,
        deadline: Instant,
        may_send: impl Fn() -> bool,
    ) -> CallOutcome<ShardAnswer> {
        let Some(connection) = self.acquire(target, deadline).await else {
            return CallOutcome::NotSent;
        };
        if !may_send() {
            connection.release();
            return CallOutcome::Withdrawn;
        }
        let exchange = connection.client().post("/v1/search", call);
        let Some((connection, reply)) =
            self.wait_for_reply(connection, exchange, time_until(deadline)).await
        else {
            return CallOutcome::Failed;
        };
        let is_own_reply = |answer: &ShardAnswer| {
            answer.call_id == call.call_id
                && answer.shard == call.shard
                && answer.index_version == call.index_version
        };
        self.read_reply(connection, reply, call.call_id, is_own_reply)
    }

    /// Sends a call that must not be sent twice, on a connection that has just answered a probe.
    pub(crate) async fn execute(
        &self,
        target: &TargetId,
        call: &ExecuteCall,
        deadline: ExecuteDeadline,
        may_send: impl Fn() -> bool,
    ) -> CallOutcome<ExecuteAnswer> {
        let Some(connection) = self.acquire(target, deadline.instant).await else {
            return CallOutcome::NotSent;
        };
        let max_wait = PROBE_TIMEOUT.min(time_until(deadline.instant));
        let probe = connection.client().get("/v1/health");
        let connection = match self.wait_for_reply(connection, probe, max_wait).await {
            Some((connection, Ok(_))) if deadline.has_passed() => {
                connection.release();
                return CallOutcome::NotSent;
            }
            Some((connection, Ok(_))) if !may_send() => {
                connection.release();
                return CallOutcome::Withdrawn;
            }
            Some((connection, Ok(_))) => connection,
            _ => return CallOutcome::NotSent,
        };
        let max_wait = time_until(deadline.instant) + deadline.reply_grace;
        let exchange = connection.client().post("/v1/execute", call);
        let Some((connection, reply)) = self.wait_for_reply(connection, exchange, max_wait).await
        else {
            return CallOutcome::Failed;
        };
        let is_own_reply = |answer: &ExecuteAnswer| answer.call_id == call.call_id;
        self.read_reply(connection, reply, call.call_id, is_own_reply)
    }

    /// Forwards a request if `may_send` still allows it once a connection is free. The connection is
    /// reused only if `match_reply` accepts the reply.
    ///
    /// No connection carries a request twice, as a late copy of the first
    /// reply would pass for the second one. A request that is not idempotent uses a new connection or one that has replied
    /// within `LIVENESS_WINDOW`. Dropping the future closes the connection, which cancels the request at the target.
    pub(crate) async fn forward(
        &self,
        target: &TargetId,
        request: Request<Full<Bytes>>,
        pooled: PooledRequest,
        is_idempotent: bool,
        may_send: impl Fn() -> bool,
        match_reply: impl Fn(&ClientReply, &ConnectionHistory) -> ReplyMatch,
    ) -> ForwardOutcome {
        let Some(pool) = self.pool(target) else { return ForwardOutcome::Unsent };
        if !is_idempotent && let Some(since) = Instant::now().checked_sub(LIVENESS_WINDOW) {
            pool.close_idle(since);
        }
        let Some(connection) = pool.acquire_for(pooled).await else {
            return ForwardOutcome::Unsent;
        };
        if !may_send() {
            connection.release();
            return ForwardOutcome::Withdrawn;
        }
        let sent_at = Instant::now();
        match timeout(time_until(pooled.deadline), connection.client().send(request)).await {
            Ok(Ok(reply)) => match match_reply(&reply, connection.history()) {
                ReplyMatch::Own => {
                    connection.release();
                    ForwardOutcome::Replied(reply)
                }
                ReplyMatch::Final => {
                    connection.release_answered(pooled);
                    ForwardOutcome::Replied(reply)
                }
                ReplyMatch::Other => {
                    log::warn!(target = target.as_ref(); "reply belongs to another request");
                    ForwardOutcome::Failed(CallFailure::OtherRequest)
                }
            },
            Ok(Err(ClientError::NotConnected)) => ForwardOutcome::Unsent,
            Ok(Err(ClientError::Broken)) => ForwardOutcome::Failed(CallFailure::Closed),
            Ok(Err(ClientError::OverLimit)) => {
                pool.log_over_limit(target);
                ForwardOutcome::Failed(CallFailure::OverLimit)
            }
            Err(_) => {
                // The cause of an unresponsive connection often affects other connections as well.
                pool.close_idle(sent_at);
                ForwardOutcome::Failed(CallFailure::TimedOut)
            }
        }
    }

    /// Returns the listed process of a target.
    pub(crate) fn process(&self, target: &TargetId) -> Option<TargetProcess> {
        let pools = self.pools.borrow();
        pools.get(target).map(|entry| TargetProcess {
            incarnation: entry.incarnation,
            address: entry.pool.address(),
        })
    }

    /// Returns the addresses of all listed targets.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.pools.borrow().values().map(|entry| entry.pool.address()).collect()
    }

    /// Asks for the health of the target at an address, on a connection of its own.
    ///
    /// Without a path, or with one that is no path, only the connection is tried.
    pub(crate) async fn ask_health(
        &self,
        address: SocketAddr,
        path: Option<&str>,
        patience: Duration,
    ) -> HealthReply {
        let Some(path) = path.filter(|path| path.starts_with('/')) else {
            return match timeout(patience, TcpStream::connect(address)).await {
                Ok(Ok(_)) => HealthReply::Connected,
                Ok(Err(_)) | Err(_) => HealthReply::Unreachable,
            };
        };
        let client = HttpClient::new(address, CONNECTION_SETTINGS, self.connects.clone());
        match timeout(patience, client.get(path)).await {
            Ok(Ok(_)) => HealthReply::Replied,
            Ok(Err(ClientError::NotConnected)) => HealthReply::Unreachable,
            Ok(Err(ClientError::Broken | ClientError::OverLimit)) | Err(_) => {
                HealthReply::Connected
            }
        }
    }

    /// Closes the idle connections to a target.
    pub(crate) fn close_idle(&self, target: &TargetId) {
        if let Some(pool) = self.pool(target) {
            pool.close_idle(Instant::now());
        }
    }

    /// Returns whether a later process of the target is listed.
    pub(crate) fn has_successor(&self, target: &TargetId, process: TargetProcess) -> bool {
        self.process(target).is_some_and(|listed| listed.incarnation > process.incarnation)
    }

    /// Returns a sign that a process has ended which gave no reply to a call, if there is one.
    pub(crate) async fn end_sign(
        &self,
        target: &TargetId,
        process: TargetProcess,
        patience: Duration,
    ) -> Option<EndSign> {
        if self.has_successor(target, process) {
            return Some(EndSign::Succeeded);
        }
        match probe_listener(process.address, patience).await {
            ListenerState::Listening => None,
            ListenerState::Refusing => Some(EndSign::Refused),
            ListenerState::Silent => Some(EndSign::Silent),
        }
    }

    /// Sends a cancel request for a call, if a connection is available immediately.
    pub(crate) async fn cancel(&self, target: &TargetId, call: CallId) {
        let pool = self.pool(target);
        let Some(connection) = pool.and_then(|pool| pool.try_acquire()) else { return };
        let exchange = connection.client().post("/v1/cancel", &CancelCall { call_id: call });
        if let Some((connection, Ok(_))) =
            self.wait_for_reply(connection, exchange, CANCEL_TIMEOUT).await
        {
            connection.release();
        }
    }

    /// Waits for a reply. Returns `None` if it did not arrive within `max_wait`. The connection
    /// then stays out of the pool until the late reply arrives.
    async fn wait_for_reply(
        &self,
        connection: PooledConnection,
        mut exchange: ClientExchange,
        max_wait: Duration,
    ) -> Option<(PooledConnection, Result<ClientReply, ClientError>)> {
        let sent_at = Instant::now();
        match timeout(max_wait, &mut exchange).await {
            Ok(reply) => Some((connection, reply)),
            Err(_) => {
                connection.release_after_reply(exchange);
                self.probe_idle(sent_at);
                None
            }
        }
    }

    /// Probes all idle connections whose last reply is older than `since`, the time at which an
    /// unanswered call was sent.
    ///
    /// The cause of an unresponsive connection often affects other connections as well.
    fn probe_idle(&self, since: Instant) {
        let now = Instant::now();
        let is_too_soon = |at: Instant| now.duration_since(at) < MIN_PROBE_INTERVAL;
        if self.last_probe_at.get().is_some_and(is_too_soon) {
            return;
        }
        self.last_probe_at.set(Some(now));
        self.pools.borrow().values().for_each(|entry| entry.pool.probe_idle(since));
    }

    async fn acquire(&self, target: &TargetId, deadline: Instant) -> Option<PooledConnection> {
        let pool = self.pool(target)?;
        pool.acquire(time_until(deadline)).await
    }

    fn pool(&self, target: &TargetId) -> Option<Rc<TargetPool>> {
        self.pools.borrow().get(target).map(|entry| entry.pool.clone())
    }

    /// Parses a reply. Closes the connection unless the reply belongs to the call.
    fn read_reply<A: DeserializeOwned + Serialize>(
        &self,
        connection: PooledConnection,
        reply: Result<ClientReply, ClientError>,
        call: CallId,
        is_own_reply: impl Fn(&A) -> bool,
    ) -> CallOutcome<A> {
        let reply = match reply {
            Ok(reply) => reply,
            Err(ClientError::NotConnected) => return CallOutcome::NotSent,
            Err(ClientError::Broken | ClientError::OverLimit) => return CallOutcome::Failed,
        };
        let outcome = match reply.status {
            StatusCode::OK => match serde_json::from_slice::<A>(&reply.body) {
                Ok(answer) if is_own_reply(&answer) => CallOutcome::Answered(answer),
                _ => CallOutcome::Failed,
            },
            _ => match serde_json::from_slice::<SearcherRefusal>(&reply.body) {
                Ok(refusal) if refusal.call_id == call => CallOutcome::Refused(refusal),
                _ => CallOutcome::Failed,
            },
        };
        match outcome {
            CallOutcome::Failed => log::debug!("call {call}: invalid or mismatched reply"),
            _ => connection.release(),
        }
        outcome
    }
}

fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
