//! Call counts and execution records of the searchers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy::CallId;
use oleanderwind_policy::CustomerId;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// One execution of an execute call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExecutionRecord {
    /// Searcher that executed the call.
    pub searcher: TargetId,
    /// Service of the searcher.
    pub service: ServiceId,
    /// Id of the call.
    pub call_id: CallId,
    /// Customer that the call was made for.
    pub customer: CustomerId,
    /// Idempotency key of the call.
    pub idempotency_key: String,
    /// Body of the call.
    pub body: String,
    /// Milliseconds since the stand-ins started.
    pub at_ms: u64,
}

/// Call counts and connection counts of one searcher.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallReport {
    /// Id of the searcher.
    pub searcher: TargetId,
    /// Search and execute calls received.
    pub received: u64,
    /// Calls that got a slot.
    pub run: u64,
    /// Calls refused because of load.
    pub shed: u64,
    /// Calls refused for another cause.
    pub refused: u64,
    /// Calls ended by a cancel call or a closed connection.
    pub cancelled: u64,
    /// Number of open connections.
    pub connections: u32,
    /// Maximum number of connections that were open at once.
    pub peak_connections: u32,
    /// Connections rejected because of the connection limit.
    pub connections_over_limit: u64,
    /// Time from the start of the drain to each call received during it, in milliseconds.
    pub after_drain_ms: Vec<u64>,
}

/// Call counters of one searcher.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    pub(crate) received: u64,
    pub(crate) run: u64,
    pub(crate) shed: u64,
    pub(crate) refused: u64,
    pub(crate) cancelled: u64,
    pub(crate) after_drain_ms: Vec<u64>,
}

/// Executions of execute calls at all searchers.
#[derive(Debug)]
pub(crate) struct ExecutionLog {
    started: Instant,
    records: RefCell<Vec<ExecutionRecord>>,
    /// Query texts of the searches that got a slot; `None` until recording starts.
    queries: RefCell<Option<BTreeSet<String>>>,
}

/// In-flight calls of one searcher, by id, for cancellation.
#[derive(Debug, Default)]
pub(crate) struct InFlightCalls {
    calls: RefCell<BTreeMap<CallId, Rc<Notify>>>,
}

impl ExecutionLog {
    /// Creates an empty log that measures time from now.
    pub(crate) fn new() -> ExecutionLog {
        ExecutionLog {
            started: Instant::now(),
            records: RefCell::default(),
            queries: RefCell::default(),
        }
    }

    /// Returns the milliseconds since the log was created.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Appends an execution.
    pub(crate) fn add(&self, record: ExecutionRecord) {
        self.records.borrow_mut().push(record);
    }

    /// Starts recording the query texts of searches that get a slot.
    pub(crate) fn record_queries(&self) {
        self.queries.borrow_mut().get_or_insert_default();
    }

    /// Records the query text of a search that got a slot, if recording is on.
    pub(crate) fn record_query(&self, query: &str) {
        if let Some(queries) = &mut *self.queries.borrow_mut() {
            queries.insert(query.to_owned());
        }
    }

    /// Returns whether a search for `query` got a slot since recording started.
    pub(crate) fn has_query(&self, query: &str) -> bool {
        self.queries.borrow().as_ref().is_some_and(|queries| queries.contains(query))
    }

    /// Returns all executions, in order.
    pub(crate) fn records(&self) -> Vec<ExecutionRecord> {
        self.records.borrow().clone()
    }
}

impl InFlightCalls {
    /// Registers a call and returns the handle that is notified when the call is cancelled.
    pub(crate) fn register(&self, call: CallId) -> Rc<Notify> {
        let cancelled = Rc::new(Notify::new());
        self.calls.borrow_mut().insert(call, Rc::clone(&cancelled));
        cancelled
    }

    /// Removes a call that has ended.
    pub(crate) fn remove(&self, call: CallId) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Cancels a call, if it is in flight.
    pub(crate) fn cancel(&self, call: CallId) {
        if let Some(cancelled) = self.calls.borrow().get(&call) {
            cancelled.notify_one();
        }
    }
}
