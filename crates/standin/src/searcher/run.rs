//! In-flight calls: queueing for a slot, running, and cancellation.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::CallId;
use oleanderwind_policy::RefusalCause;
use tokio::sync::Notify;
use tokio::sync::SemaphorePermit;

use crate::searcher::SearcherNode;

/// Call between its arrival and its reply; counts its outcome when dropped or recorded.
pub(crate) struct InFlightCall {
    node: Rc<SearcherNode>,
    call: CallId,
    cancelled: Rc<Notify>,
    deadline: Instant,
    recorded: bool,
}

/// Decrements the queue length when dropped.
struct QueueGuard<'a> {
    node: &'a SearcherNode,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.node.queued.set(self.node.queued.get() - 1);
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.node.in_flight_calls.remove(self.call);
        if !self.recorded {
            self.node.counter.borrow_mut().cancelled += 1;
        }
    }
}

impl InFlightCall {
    /// Registers a call whose deadline is `deadline_ms` from now.
    pub(crate) fn open(node: &Rc<SearcherNode>, call: CallId, deadline_ms: u64) -> InFlightCall {
        InFlightCall {
            node: Rc::clone(node),
            call,
            cancelled: node.in_flight_calls.register(call),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
            recorded: false,
        }
    }

    /// Waits for a slot, in order of arrival.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused: a drain, load, a cancel or the deadline.
    pub(crate) async fn acquire_slot(&self) -> Result<SemaphorePermit<'_>, RefusalCause> {
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
        let _queue_guard = QueueGuard { node };
        tokio::select! {
            biased;
            () = self.cancelled.notified() => Err(RefusalCause::Cancelled),
            () = actix_rt::time::sleep_until(self.deadline.into()) => Err(RefusalCause::DeadlinePassed),
            permit = node.slots.acquire() => permit.map_err(|_| RefusalCause::Shedding),
        }
    }

    /// Waits for the service time of a search, unless a cancel or the deadline ends it.
    pub(crate) async fn run_search(&self) -> Result<(), RefusalCause> {
        tokio::select! {
            biased;
            () = self.cancelled.notified() => Err(RefusalCause::Cancelled),
            () = actix_rt::time::sleep_until(self.deadline.into()) => Err(RefusalCause::DeadlinePassed),
            () = self.run_to_completion() => Ok(()),
        }
    }

    /// Waits for the service time; only a closed connection ends the wait early.
    pub(crate) async fn run_to_completion(&self) {
        let time =
            self.node.fault.borrow().run_time(self.node.service_times.sample(), Instant::now());
        actix_rt::time::sleep(time).await;
    }

    /// Counts a call that got a slot.
    pub(crate) fn count_run(&self) {
        self.node.counter.borrow_mut().run += 1;
    }

    /// Counts the outcome of the call; a call dropped without an outcome counts as cancelled.
    pub(crate) fn record_outcome(&mut self, refusal: Option<RefusalCause>) {
        let mut counter = self.node.counter.borrow_mut();
        match refusal {
            None => {}
            Some(RefusalCause::Cancelled) => return,
            Some(RefusalCause::Shedding) => counter.shed += 1,
            Some(_) => counter.refused += 1,
        }
        self.recorded = true;
    }
}
