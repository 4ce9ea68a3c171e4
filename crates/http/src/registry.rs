//! Open connections of a listener, and the choice of the one to evict at the limit.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::HttpLimits;
use crate::flow::CloseRule;
use crate::flow::ConnectionFlow;
use crate::flow::FlowPhase;
use crate::memory_budget::MemoryShare;

/// Time without progress after which a sender or a reader goes before an idle connection.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Calls of one connection, and its progress.
#[derive(Default)]
pub(crate) struct ConnectionCalls {
    open: Cell<usize>,
    started: Cell<u64>,
    /// Notified when the connection is evicted.
    pub(crate) eviction: Rc<Notify>,
    /// What is taken from the connection.
    pub(crate) flow: ConnectionFlow,
    answer: RefCell<Option<MemoryShare>>,
}

impl ConnectionCalls {
    /// Returns the number of open calls.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Records that the head of a call has been read.
    pub(crate) fn begin(&self) {
        self.open.set(self.open.get() + 1);
        self.started.set(self.started.get() + 1);
    }

    /// Records that the response to a call is built or its caller has disconnected.
    pub(crate) fn end(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Keeps the memory of an answer until it is written.
    pub(crate) fn hold_answer(&self, share: Option<MemoryShare>) {
        self.answer.replace(share);
    }

    /// Returns the memory of an answer.
    pub(crate) fn release_answer(&self) {
        self.answer.replace(None);
    }

    /// Records bytes of an answer that were written.
    pub(crate) fn record_written(&self, bytes: usize) {
        let before = self.flow.marked();
        self.flow.record(bytes);
        if self.flow.marked() != before
            && let Some(share) = &*self.answer.borrow()
        {
            share.mark();
        }
    }

    /// Closes the connection by a rule.
    pub(crate) fn close(&self, rule: CloseRule) {
        self.flow.set_rule(rule);
        self.eviction.notify_one();
    }

    /// Returns whether a call that has arrived in full waits for this process.
    pub(crate) fn waits_for_process(&self) -> bool {
        self.flow.phase() == FlowPhase::Answer && self.open() > 0
    }

    /// Returns when a sender or a reader that this process waits for last made progress.
    fn slow_since(&self) -> Option<Instant> {
        match self.flow.phase() {
            FlowPhase::Head => None,
            FlowPhase::Answer if self.waits_for_process() => None,
            // All of a body has arrived.
            FlowPhase::Body { left: Some(0) } => None,
            FlowPhase::Body { .. } | FlowPhase::Answer | FlowPhase::Discard => {
                Some(self.flow.marked())
            }
        }
    }
}

/// Open connections in the order in which they were accepted.
#[derive(Default)]
pub(crate) struct ConnectionRegistry {
    next_id: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionCalls>>>,
}

impl ConnectionRegistry {
    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Adds a connection and returns its id, with which it is removed, and its counts.
    pub(crate) fn insert(&self) -> (u64, Rc<ConnectionCalls>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let calls = Rc::new(ConnectionCalls::default());
        self.connections.borrow_mut().insert(id, calls.clone());
        (id, calls)
    }

    /// Removes a connection.
    pub(crate) fn remove(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Evicts a connection; returns whether there was one.
    ///
    /// First goes the oldest that has sent no complete head for [`STALL_TIME`], then the slowest sender or
    /// reader that has made no progress for that time, then the oldest idle one, then the slowest of all, then
    /// one that has just been accepted.
    /// Connections that wait for this process are never evicted.
    pub(crate) fn evict(&self, now: Instant) -> bool {
        let mut connections = self.connections.borrow_mut();
        let idle = || connections.iter().filter(|(_, calls)| !calls.flow.is_busy());
        let slowest = || {
            let slow = connections.iter();
            slow.filter_map(|(id, calls)| calls.slow_since().map(|since| (since, *id))).min()
        };
        let stalled = |(since, _): &(Instant, u64)| *since + STALL_TIME <= now;
        let unused = || idle().find(|(_, calls)| calls.started.get() == 0);
        let used = || idle().find(|(_, calls)| calls.started.get() > 0);
        let victim = unused()
            .filter(|(id, calls)| stalled(&(calls.flow.marked(), **id)))
            .map(|(id, _)| *id)
            .or_else(|| slowest().filter(stalled).map(|(_, id)| id))
            .or_else(|| used().map(|(id, _)| *id))
            .or_else(|| slowest().map(|(_, id)| id))
            .or_else(|| unused().map(|(id, _)| *id));
        let Some(calls) = victim.and_then(|id| connections.remove(&id)) else { return false };
        calls.close(CloseRule::Short);
        true
    }

    /// Closes the connections that break a rule of time; returns how many did, by rule.
    pub(crate) fn close_overdue(
        &self,
        now: Instant,
        limits: &HttpLimits,
    ) -> BTreeMap<CloseRule, u64> {
        let mut closed = BTreeMap::new();
        for calls in self.connections.borrow().values() {
            let rule = calls.flow.overdue(now, limits, calls.open() > 0);
            if let Some(rule) = rule.filter(|_| calls.flow.rule().is_none()) {
                calls.close(rule);
                *closed.entry(rule).or_default() += 1;
            }
        }
        closed
    }
}
