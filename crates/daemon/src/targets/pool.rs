//! The lanes to one target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::targets::lane::Lane;

/// Lanes to one target, at most a fixed number at once.
pub(crate) struct TargetPool {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    idle: RefCell<Vec<Lane>>,
}

/// A lane taken out of its pool; it goes back only when its call went well.
pub(crate) struct LaneLoan {
    pool: Rc<TargetPool>,
    lane: Option<Lane>,
    _permit: OwnedSemaphorePermit,
}

impl TargetPool {
    /// A pool of at most `connections` lanes.
    pub(crate) fn new(address: SocketAddr, connections: usize) -> Rc<TargetPool> {
        Rc::new(TargetPool {
            address,
            permits: Arc::new(Semaphore::new(connections)),
            idle: RefCell::new(Vec::new()),
        })
    }

    /// Where the target listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a lane, waiting at most `patience` for one.
    pub(crate) async fn borrow(self: &Rc<Self>, patience: Duration) -> Option<LaneLoan> {
        let permit = timeout(patience, self.permits.clone().acquire_owned()).await.ok()?.ok()?;
        Some(self.loan(permit))
    }

    /// Takes a lane that is free right now.
    pub(crate) fn try_borrow(self: &Rc<Self>) -> Option<LaneLoan> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        Some(self.loan(permit))
    }

    /// Closes the idle lanes that have had no reply since `instant`.
    pub(crate) fn close_idle_before(&self, instant: Instant) {
        self.idle
            .borrow_mut()
            .retain(|lane| lane.last_reply().is_some_and(|reply| reply >= instant));
    }

    fn loan(self: &Rc<Self>, permit: OwnedSemaphorePermit) -> LaneLoan {
        let lane = self.idle.borrow_mut().pop().unwrap_or_else(|| Lane::new(self.address));
        LaneLoan { pool: self.clone(), lane: Some(lane), _permit: permit }
    }
}

impl LaneLoan {
    /// The lane, until it is given back.
    pub(crate) fn lane(&mut self) -> &mut Lane {
        self.lane.get_or_insert_with(|| Lane::new(self.pool.address))
    }

    /// Puts the lane back for the next call; without this its connection is closed.
    pub(crate) fn give_back(mut self) {
        if let Some(lane) = self.lane.take() {
            self.pool.idle.borrow_mut().push(lane);
        }
    }
}
