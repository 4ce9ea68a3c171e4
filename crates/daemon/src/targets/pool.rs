//! The lanes to one target.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleanderwind_policy::ConnectionShare;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::targets::lane::Lane;

/// How long a target may go on counting a silent connection that was closed here.
const SILENT_COUNT_TIME: Duration = Duration::from_secs(35);
/// Longest time for a probe of an idle lane.
const PROBE_TIME: Duration = Duration::from_millis(50);
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
    is_probing: Cell<bool>,
}

/// A connected lane that waits for its next call.
struct IdleLane {
    lane: Lane,
    counted: OwnedSemaphorePermit,
}

/// A lane taken out of its pool; it goes back only when its call went well.
pub(crate) struct LaneLoan {
    pool: Rc<TargetPool>,
    lane: Lane,
    counted: OwnedSemaphorePermit,
    _working: OwnedSemaphorePermit,
}

impl TargetPool {
    /// A pool without connections.
    pub(crate) fn new(address: SocketAddr, share: ConnectionShare) -> Rc<TargetPool> {
        let permits = |count: u32| Arc::new(Semaphore::new(count as usize));
        Rc::new(TargetPool {
            address,
            share: Cell::new(share),
            counted: permits(share.total),
            working: permits(share.working),
            idle: RefCell::new(Vec::new()),
            is_probing: Cell::new(false),
        })
    }

    /// Changes the share; connections above a smaller one close as their calls end.
    pub(crate) fn set_share(&self, share: ConnectionShare) {
        let before = self.share.replace(share);
        if share.total < before.total {
            self.idle.borrow_mut().clear();
        }
        resize(&self.counted, before.total, share.total);
        resize(&self.working, before.working, share.working);
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
        if let Some(idle) = self.idle.borrow_mut().pop() {
            return Some(self.loan(idle.lane, idle.counted, working));
        }
        let counted = self.counted.clone().try_acquire_owned().ok()?;
        Some(self.loan(Lane::new(self.address), counted, working))
    }

    /// Probes every idle lane and closes those that stay silent.
    pub(crate) fn probe_idle(self: &Rc<Self>) {
        if self.is_probing.replace(true) {
            return;
        }
        let pool = self.clone();
        actix_rt::spawn(async move {
            let lanes = std::mem::take(&mut *pool.idle.borrow_mut());
            for idle in lanes {
                pool.probe(idle).await;
            }
            pool.is_probing.set(false);
        });
    }

    async fn borrow_next(self: &Rc<Self>) -> Option<LaneLoan> {
        let working = self.working.clone().acquire_owned().await.ok()?;
        if let Some(idle) = self.idle.borrow_mut().pop() {
            return Some(self.loan(idle.lane, idle.counted, working));
        }
        let counted = self.counted.clone().acquire_owned().await.ok()?;
        Some(self.loan(Lane::new(self.address), counted, working))
    }

    async fn probe(&self, mut idle: IdleLane) {
        match idle.lane.get(PROBE_PATH, PROBE_TIME).await {
            Ok(_) => self.idle.borrow_mut().push(idle),
            Err(_) => count_as_silent(idle.counted),
        }
    }

    fn loan(
        self: &Rc<Self>,
        lane: Lane,
        counted: OwnedSemaphorePermit,
        working: OwnedSemaphorePermit,
    ) -> LaneLoan {
        LaneLoan { pool: self.clone(), lane, counted, _working: working }
    }
}

impl LaneLoan {
    /// The lane.
    pub(crate) fn lane(&mut self) -> &mut Lane {
        &mut self.lane
    }

    /// Puts the lane back for the next call; without this its connection is closed.
    pub(crate) fn give_back(self) {
        self.pool.idle.borrow_mut().push(IdleLane { lane: self.lane, counted: self.counted });
    }

    /// Closes a lane that stayed silent; the target may go on counting it for a while.
    pub(crate) fn close_silent(self) {
        count_as_silent(self.counted);
        self.pool.probe_idle();
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

fn count_as_silent(counted: OwnedSemaphorePermit) {
    actix_rt::spawn(async move {
        tokio::time::sleep(SILENT_COUNT_TIME).await;
        drop(counted);
    });
}
