//! Connection pool of one target.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_http::ClientContext;
use oleanderwind_http::ClientExchange;
use oleanderwind_http::ClientSettings;
use oleanderwind_http::HttpClient;
use oleanderwind_policy::ConnectionHistory;
use oleanderwind_policy::ConnectionShare;
use oleanderwind_policy::TargetId;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Maximum wait for a late reply. After this time a target no longer counts an unresponsive
/// connection.
const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(35);
/// Minimum interval between two log lines about one target's replies over their limit.
const OVER_LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Settings of each connection. A reachable target accepts a connection within a few milliseconds,
/// and the network latency is of the same order.
pub(crate) const CONNECTION_SETTINGS: ClientSettings = ClientSettings {
    connect_timeout: Duration::from_millis(250),
    unacknowledged_timeout: Duration::from_millis(1_000),
    keepalive_interval: None,
    max_body_bytes: 1_024 * 1_024,
};
/// Path that a probe requests.
const PROBE_PATH: &str = "/v1/health";

/// Connections to one target, within this VM's share of the connections that it accepts.
pub(crate) struct TargetPool {
    address: SocketAddr,
    share: Cell<ConnectionShare>,
    /// One permit for each connection that the target may count.
    total_permits: Arc<Semaphore>,
    /// One permit for each connection in use.
    active_permits: Arc<Semaphore>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Whether connections are closed after use, as the target leaves.
    is_retired: Cell<bool>,
    context: ClientContext,
    /// Time at which a reply over its limit was logged last.
    over_limit_logged_at: Cell<Option<Instant>>,
}

/// A connection that is not in use.
struct IdleConnection {
    client: HttpClient,
    /// Permit of `total_permits`.
    permit: OwnedSemaphorePermit,
    /// Time of the most recent reply on this connection.
    last_reply_at: Instant,
    history: ConnectionHistory,
}

/// A request that a connection is acquired for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PooledRequest {
    /// Hash of the request's id, which all its sends share.
    pub(crate) hash: u64,
    /// Time after which it is not sent again.
    pub(crate) deadline: Instant,
}

/// A connection taken from its pool. It is closed when dropped, unless it is released.
pub(crate) struct PooledConnection {
    pool: Rc<TargetPool>,
    client: HttpClient,
    /// Permit of `total_permits`.
    permit: OwnedSemaphorePermit,
    _active_permit: OwnedSemaphorePermit,
    history: ConnectionHistory,
}

impl TargetPool {
    /// Returns a pool without connections, which share `context` with those of other pools.
    pub(crate) fn new(
        address: SocketAddr,
        share: ConnectionShare,
        context: ClientContext,
    ) -> Rc<TargetPool> {
        let permits = |count: u32| Arc::new(Semaphore::new(count as usize));
        Rc::new(TargetPool {
            address,
            share: Cell::new(share),
            total_permits: permits(share.total),
            active_permits: permits(share.active),
            idle: RefCell::new(Vec::new()),
            is_retired: Cell::new(false),
            context,
            over_limit_logged_at: Cell::new(None),
        })
    }

    /// Changes the share. If it shrinks, idle connections are closed and permits are withdrawn as
    /// they become free.
    pub(crate) fn set_share(&self, share: ConnectionShare) {
        let before = self.share.replace(share);
        if share.total < before.total {
            self.idle.borrow_mut().clear();
        }
        resize(&self.total_permits, before.total, share.total);
        resize(&self.active_permits, before.active, share.active);
    }

    /// Returns the address that the target listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Acquires a connection, or returns `None` if none becomes available within `max_wait`.
    pub(crate) async fn acquire(self: &Rc<Self>, max_wait: Duration) -> Option<PooledConnection> {
        timeout(max_wait, self.acquire_next(None)).await.ok().flatten()
    }

    /// Acquires a connection that has not carried the request yet, or returns `None` if none becomes available by its
    /// deadline.
    pub(crate) async fn acquire_for(
        self: &Rc<Self>,
        request: PooledRequest,
    ) -> Option<PooledConnection> {
        let max_wait = request.deadline.saturating_duration_since(Instant::now());
        let acquiring = self.acquire_next(Some(request));
        let mut connection = timeout(max_wait, acquiring).await.ok().flatten()?;
        connection.history.record_send(request.hash, request.deadline, Instant::now());
        Some(connection)
    }

    /// Acquires a connection if one is available immediately.
    pub(crate) fn try_acquire(self: &Rc<Self>) -> Option<PooledConnection> {
        let active_permit = self.active_permits.clone().try_acquire_owned().ok()?;
        if let Some(idle) = self.pop_open_idle(None) {
            return Some(self.check_out(idle, active_permit));
        }
        let permit = self.total_permits.clone().try_acquire_owned().ok()?;
        Some(self.check_out(self.new_idle(permit), active_permit))
    }

    /// Returns whether an idle connection is open.
    pub(crate) fn has_idle(&self) -> bool {
        self.idle.borrow().iter().any(|connection| connection.client.is_open())
    }

    /// Probes idle connections whose last reply is older than `since`. They return to the pool only
    /// if the probe is answered.
    pub(crate) fn probe_idle(self: &Rc<Self>, since: Instant) {
        let unproven: Vec<IdleConnection> =
            self.idle.borrow_mut().extract_if(.., |idle| idle.last_reply_at < since).collect();
        for idle in unproven {
            let exchange = idle.client.get(PROBE_PATH);
            let pool = self.clone();
            actix_rt::spawn(async move { pool.await_late(exchange, idle).await });
        }
    }

    /// Closes idle connections whose last reply is older than `since`.
    pub(crate) fn close_idle(&self, since: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.last_reply_at >= since);
    }

    /// Logs that a reply exceeded its limit, once in [`OVER_LIMIT_LOG_INTERVAL`].
    pub(crate) fn log_over_limit(&self, target: &TargetId) {
        let now = Instant::now();
        let is_recent = |at: Instant| now < at + OVER_LIMIT_LOG_INTERVAL;
        if !self.over_limit_logged_at.get().is_some_and(is_recent) {
            self.over_limit_logged_at.set(Some(now));
            log::warn!(
                target = target.as_ref();
                "reply exceeds its limit, its connection is closed"
            );
        }
    }

    /// Closes idle connections, and the others after their calls.
    pub(crate) fn retire(&self) {
        self.is_retired.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Returns a connection to the pool once its late reply has arrived, or drops it after
    /// `LATE_REPLY_TIMEOUT`.
    ///
    /// Its permit is held for that time, since the target may still count the connection.
    async fn await_late(self: Rc<Self>, exchange: ClientExchange, connection: IdleConnection) {
        if let Ok(Ok(_)) = timeout(LATE_REPLY_TIMEOUT, exchange).await {
            self.return_idle(connection);
        }
    }

    fn return_idle(&self, connection: IdleConnection) {
        if self.is_retired.get() {
            return;
        }
        let connection = IdleConnection { last_reply_at: Instant::now(), ..connection };
        self.idle.borrow_mut().push(connection);
    }

    async fn acquire_next(
        self: &Rc<Self>,
        request: Option<PooledRequest>,
    ) -> Option<PooledConnection> {
        let active_permit = self.active_permits.clone().acquire_owned().await.ok()?;
        if let Some(idle) = self.pop_open_idle(request) {
            return Some(self.check_out(idle, active_permit));
        }
        let permit = match self.total_permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => match self.close_least_recent() {
                Some(permit) => permit,
                None => self.total_permits.clone().acquire_owned().await.ok()?,
            },
        };
        Some(self.check_out(self.new_idle(permit), active_permit))
    }

    /// Removes and returns the most recently used idle connection that is open and may carry the request. Drops all closed
    /// ones.
    fn pop_open_idle(&self, request: Option<PooledRequest>) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.client.is_open());
        let allows = |connection: &IdleConnection| {
            request.is_none_or(|request| connection.history.allows(request.hash, now))
        };
        let position = idle.iter().rposition(allows)?;
        Some(idle.remove(position))
    }

    /// Closes the idle connection that was used least recently, all of which have carried the request; returns its permit.
    fn close_least_recent(&self) -> Option<OwnedSemaphorePermit> {
        let mut idle = self.idle.borrow_mut();
        (!idle.is_empty()).then(|| idle.remove(0).permit)
    }

    /// Returns a connection that is opened on first use.
    fn new_idle(&self, permit: OwnedSemaphorePermit) -> IdleConnection {
        let client =
            HttpClient::with_context(self.address, CONNECTION_SETTINGS, self.context.clone());
        let history = ConnectionHistory::default();
        IdleConnection { client, permit, last_reply_at: Instant::now(), history }
    }

    fn check_out(
        self: &Rc<Self>,
        connection: IdleConnection,
        active_permit: OwnedSemaphorePermit,
    ) -> PooledConnection {
        let IdleConnection { client, permit, history, .. } = connection;
        PooledConnection {
            pool: self.clone(),
            client,
            permit,
            _active_permit: active_permit,
            history,
        }
    }
}

impl PooledConnection {
    pub(crate) fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Returns what the connection has carried, the send in progress included.
    pub(crate) fn history(&self) -> &ConnectionHistory {
        &self.history
    }

    /// Returns the connection to the pool.
    pub(crate) fn release(self) {
        let (pool, connection) = self.into_idle();
        pool.return_idle(connection);
    }

    /// Returns the connection to the pool after the final answer to a request.
    pub(crate) fn release_answered(mut self, request: PooledRequest) {
        self.history.forget(request.hash);
        self.release();
    }

    /// Frees the active slot immediately. Returns the connection to the pool once its late reply
    /// has arrived.
    ///
    /// The late reply proves that the connection still works. An unresponsive connection is closed.
    pub(crate) fn release_after_reply(self, exchange: ClientExchange) {
        let (pool, connection) = self.into_idle();
        actix_rt::spawn(pool.await_late(exchange, connection));
    }

    fn into_idle(self) -> (Rc<TargetPool>, IdleConnection) {
        let PooledConnection { pool, client, permit, history, _active_permit } = self;
        (pool, IdleConnection { client, permit, last_reply_at: Instant::now(), history })
    }
}

/// Adds permits, or withdraws them as they become free.
fn resize(permits: &Arc<Semaphore>, before: u32, after: u32) {
    permits.add_permits(after.saturating_sub(before) as usize);
    let surplus = before.saturating_sub(after);
    if surplus == 0 {
        return;
    }
    let permits = permits.clone();
    actix_rt::spawn(async move {
        if let Ok(taken) = permits.acquire_many_owned(surplus).await {
            taken.forget();
        }
    });
}
