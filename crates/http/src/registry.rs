//! Open connections of a listener, and the choice of the one to evict at the limit.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts of the calls of one connection.
#[derive(Default)]
pub(crate) struct ConnectionCalls {
    open: Cell<usize>,
    started: Cell<u64>,
    /// Notified when the connection is evicted.
    pub(crate) eviction: Notify,
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

    /// Evicts the oldest connection that has never sent a complete head, or else the oldest idle
    /// connection.
    ///
    /// Returns whether there was one. Connections with open calls are never evicted.
    pub(crate) fn evict(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let idle = || connections.iter().filter(|(_, calls)| calls.open() == 0);
        let unused = idle().find(|(_, calls)| calls.started.get() == 0);
        let Some(id) = unused.or_else(|| idle().next()).map(|(id, _)| *id) else { return false };
        if let Some(calls) = connections.remove(&id) {
            calls.eviction.notify_one();
        }
        true
    }
}
