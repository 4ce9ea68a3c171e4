//! The open connections of a listener, and which of them gives way when there are too many.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Calls of one connection.
#[derive(Default)]
pub(crate) struct ConnectionCalls {
    open: Cell<usize>,
    begun: Cell<u64>,
    /// Told when the connection has to give way.
    pub(crate) eviction: Notify,
}

impl ConnectionCalls {
    /// Calls that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Notes that a head was read whole.
    pub(crate) fn begin(&self) {
        self.open.set(self.open.get() + 1);
        self.begun.set(self.begun.get() + 1);
    }

    /// Notes that a call's reply is framed or its caller went away.
    pub(crate) fn end(&self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Open connections in the order they were accepted.
#[derive(Default)]
pub(crate) struct ConnectionRegistry {
    next: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionCalls>>>,
}

impl ConnectionRegistry {
    /// Connections that are open.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Enters a connection; the result takes it out again.
    pub(crate) fn enter(&self) -> (u64, Rc<ConnectionCalls>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let calls = Rc::new(ConnectionCalls::default());
        self.connections.borrow_mut().insert(id, calls.clone());
        (id, calls)
    }

    /// Takes a connection out.
    pub(crate) fn leave(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Ends the oldest connection that has never sent a whole head, else the oldest idle one.
    ///
    /// Says whether there was one. A connection with an open call never gives way.
    pub(crate) fn evict(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let idle = || connections.iter().filter(|(_, calls)| calls.open() == 0);
        let silent = idle().find(|(_, calls)| calls.begun.get() == 0);
        let Some(id) = silent.or_else(|| idle().next()).map(|(id, _)| *id) else { return false };
        if let Some(calls) = connections.remove(&id) {
            calls.eviction.notify_one();
        }
        true
    }
}
