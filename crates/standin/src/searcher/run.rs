//! Waiting for a slot, running, and being cancelled meanwhile.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::CallId;
use oleanderwind_policy::RefusalCause;
use tokio::sync::Notify;
use tokio::sync::SemaphorePermit;

use crate::searcher::SearcherNode;

/// A call between its arrival and its reply.
pub(crate) struct CallTicket {
    node: Rc<SearcherNode>,
    call: CallId,
    cancelled: Rc<Notify>,
    deadline: Instant,
    settled: bool,
}

/// Leaves the queue when the wait ends.
struct QueuePlace<'a> {
    node: &'a SearcherNode,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.node.queued.set(self.node.queued.get() - 1);
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        self.node.open_calls.close(self.call);
        if !self.settled {
            self.node.counter.borrow_mut().cancelled += 1;
        }
    }
}

impl CallTicket {
    /// Opens a call that has `deadline_ms` left.
    pub(crate) fn open(node: &Rc<SearcherNode>, call: CallId, deadline_ms: u64) -> CallTicket {
        CallTicket {
            node: Rc::clone(node),
            call,
            cancelled: node.open_calls.open(call),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
            settled: false,
        }
    }

    /// Waits for a slot in order of arrival.
    pub(crate) async fn slot(&self) -> Result<SemaphorePermit<'_>, RefusalCause> {
        let node = &*self.node;
        if node.draining() {
            return Err(RefusalCause::Draining);
        }
        if node.fault.borrow().shedding {
            return Err(RefusalCause::Shedding);
        }
        if let Ok(permit) = node.slots.try_acquire() {
            return Ok(permit);
        }
        if node.queued.get() >= node.queue_limit {
            return Err(RefusalCause::Shedding);
        }
        node.queued.set(node.queued.get() + 1);
        let _place = QueuePlace { node };
        tokio::select! {
            biased;
            () = self.cancelled.notified() => Err(RefusalCause::Cancelled),
            () = actix_rt::time::sleep_until(self.deadline.into()) => Err(RefusalCause::DeadlinePassed),
            permit = node.slots.acquire() => permit.map_err(|_| RefusalCause::Shedding),
        }
    }

    /// Runs a search: the service time, unless a cancel or the deadline ends it.
    pub(crate) async fn run_search(&self) -> Result<(), RefusalCause> {
        tokio::select! {
            biased;
            () = self.cancelled.notified() => Err(RefusalCause::Cancelled),
            () = actix_rt::time::sleep_until(self.deadline.into()) => Err(RefusalCause::DeadlinePassed),
            () = self.run_whole() => Ok(()),
        }
    }

    /// Runs to the end whatever happens but a closed connection.
    pub(crate) async fn run_whole(&self) {
        let time = self.node.fault.borrow().stretched(self.node.clock.next(), Instant::now());
        actix_rt::time::sleep(time).await;
    }

    /// Counts a call that got a slot.
    pub(crate) fn count_run(&self) {
        self.node.counter.borrow_mut().run += 1;
    }

    /// Counts how the call ended; without this it counts as cancelled.
    pub(crate) fn settle(&mut self, refusal: Option<RefusalCause>) {
        let mut counter = self.node.counter.borrow_mut();
        match refusal {
            None => {}
            Some(RefusalCause::Cancelled) => return,
            Some(RefusalCause::Shedding) => counter.shed += 1,
            Some(_) => counter.refused += 1,
        }
        self.settled = true;
    }
}
