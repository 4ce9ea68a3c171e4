//! The lanes to one target.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_http::ClientExchange;
use oleanderwind_http::ClientSettings;
use oleanderwind_http::HttpClient;
use oleanderwind_policy::ConnectionShare;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// How long a target may go on counting a connection that has gone silent.
const SILENT_COUNT_TIME: Duration = Duration::from_secs(35);
/// A target that is up accepts within a few milliseconds; links take milliseconds.
const LANE_SETTINGS: ClientSettings = ClientSettings {
    connect_timeout: Duration::from_millis(250),
    unacknowledged_timeout: Duration::from_millis(1_000),
    keepalive_interval: None,
    max_body_bytes: 1_024 * 1_024,
};
/// Path that a probe gets.
const PROBE_PATH: &str = "/v1/health";

/// Lanes to one target, within the VM's share of its connections.
pub(crate) struct TargetPool {
    address: SocketAddr,
    share: Cell<ConnectionShare>,
    /// One permit a connection that the target may count.
    counted: Arc<Semaphore>,
    /// One permit a connection in use.
    working: Arc<Semaphore>,
    idle: RefCell<Vec<IdleLane>>,
    /// Connections made so far, over all pools.
    connects: Rc<Cell<u64>>,
}

/// A connected lane that waits for its next call.
struct IdleLane {
    lane: HttpClient,
    counted: OwnedSemaphorePermit,
    /// When it brought its last reply.
    proven_at: Instant,
}

/// A lane taken out of its pool; it goes back only when its call went well.
pub(crate) struct LaneLoan {
    pool: Rc<TargetPool>,
    lane: HttpClient,
    counted: OwnedSemaphorePermit,
    _working: OwnedSemaphorePermit,
}

impl TargetPool {
    /// A pool without connections.
    pub(crate) fn new(
        address: SocketAddr,
        share: ConnectionShare,
        connects: Rc<Cell<u64>>,
    ) -> Rc<TargetPool> {
        let permits = |count: u32| Arc::new(Semaphore::new(count as usize));
        Rc::new(TargetPool {
            address,
            share: Cell::new(share),
            counted: permits(share.total),
            working: permits(share.active),
            idle: RefCell::new(Vec::new()),
            connects,
        })
    }

    /// Changes the share; connections above a smaller one close as their calls end.
    pub(crate) fn set_share(&self, share: ConnectionShare) {
        let before = self.share.replace(share);
        if share.total < before.total {
            self.idle.borrow_mut().clear();
        }
        resize(&self.counted, before.total, share.total);
        resize(&self.working, before.active, share.active);
    }

    /// Where the target listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a lane, waiting at most `patience` for one.
    pub(crate) async fn borrow(self: &Rc<Self>, patience: Duration) -> Option<LaneLoan> {
        timeout(patience, self.borrow_next()).await.ok().flatten()
    }

    /// Takes a lane that is free right now.
    pub(crate) fn try_borrow(self: &Rc<Self>) -> Option<LaneLoan> {
        let working = self.working.clone().try_acquire_owned().ok()?;
        if let Some(idle) = self.pop_idle() {
            return Some(self.loan(idle.lane, idle.counted, working));
        }
        let counted = self.counted.clone().try_acquire_owned().ok()?;
        Some(self.loan(self.new_lane(), counted, working))
    }

    /// Probes the lanes that have brought no reply since `since`; silent ones are not used again.
    pub(crate) fn probe_idle(self: &Rc<Self>, since: Instant) {
        let doubtful: Vec<IdleLane> =
            self.idle.borrow_mut().extract_if(.., |idle| idle.proven_at < since).collect();
        for idle in doubtful {
            let exchange = idle.lane.get(PROBE_PATH);
            let pool = self.clone();
            actix_rt::spawn(
                async move { pool.await_late(exchange, idle.lane, idle.counted).await },
            );
        }
    }

    /// Closes the lanes that have brought no reply since `since`.
    pub(crate) fn close_idle(&self, since: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.proven_at >= since);
    }

    /// Takes a lane back once its reply has come.
    ///
    /// Until then, and for as long as the target may count a silent connection, the lane counts.
    async fn await_late(
        self: Rc<Self>,
        exchange: ClientExchange,
        lane: HttpClient,
        counted: OwnedSemaphorePermit,
    ) {
        if let Ok(Ok(_)) = timeout(SILENT_COUNT_TIME, exchange).await {
            self.put_back(lane, counted);
        }
    }

    fn put_back(&self, lane: HttpClient, counted: OwnedSemaphorePermit) {
        self.idle.borrow_mut().push(IdleLane { lane, counted, proven_at: Instant::now() });
    }

    async fn borrow_next(self: &Rc<Self>) -> Option<LaneLoan> {
        let working = self.working.clone().acquire_owned().await.ok()?;
        if let Some(idle) = self.pop_idle() {
            return Some(self.loan(idle.lane, idle.counted, working));
        }
        let counted = self.counted.clone().acquire_owned().await.ok()?;
        Some(self.loan(self.new_lane(), counted, working))
    }

    /// The idle lane that was used last and is still open; closed ones are dropped on the way.
    fn pop_idle(&self) -> Option<IdleLane> {
        let mut idle = self.idle.borrow_mut();
        while let Some(last) = idle.pop() {
            if last.lane.is_open() {
                return Some(last);
            }
        }
        None
    }

    fn new_lane(&self) -> HttpClient {
        HttpClient::new(self.address, LANE_SETTINGS, self.connects.clone())
    }

    fn loan(
        self: &Rc<Self>,
        lane: HttpClient,
        counted: OwnedSemaphorePermit,
        working: OwnedSemaphorePermit,
    ) -> LaneLoan {
        LaneLoan { pool: self.clone(), lane, counted, _working: working }
    }
}

impl LaneLoan {
    /// The lane.
    pub(crate) fn lane(&self) -> &HttpClient {
        &self.lane
    }

    /// Puts the lane back for the next call; without this its connection is closed.
    pub(crate) fn give_back(self) {
        self.pool.put_back(self.lane, self.counted);
    }

    /// Lets another lane take this one's turn while its reply is still to come.
    ///
    /// A late reply shows that the connection works; a silent connection brings none.
    pub(crate) fn give_up(self, exchange: ClientExchange) {
        actix_rt::spawn(self.pool.await_late(exchange, self.lane, self.counted));
    }
}

/// Adds permits, or takes them away as they come free.
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
