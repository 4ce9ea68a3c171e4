//! What searchers did, for checkers.

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

/// One run of an execute call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExecutionRecord {
    /// The searcher that ran it.
    pub searcher: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// The call.
    pub call_id: CallId,
    /// The customer that the call was for.
    pub customer: CustomerId,
    /// The caller's key.
    pub idempotency_key: String,
    /// What was done.
    pub body: String,
    /// Milliseconds since the stand-ins started.
    pub at_ms: u64,
}

/// What one searcher received and did.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallReport {
    /// The searcher.
    pub searcher: TargetId,
    /// Search and execute calls that arrived.
    pub received: u64,
    /// Calls that got a slot.
    pub run: u64,
    /// Calls refused for load.
    pub shed: u64,
    /// Calls refused for another cause.
    pub refused: u64,
    /// Calls that a cancel or a closed connection ended.
    pub cancelled: u64,
    /// Connections that are open.
    pub connections: u32,
    /// Most connections that were open at once.
    pub peak_connections: u32,
    /// Connections closed for being over the limit.
    pub connections_over_limit: u64,
    /// Calls after the drain sign, in milliseconds after it.
    pub after_drain_ms: Vec<u64>,
}

/// Counters of one searcher.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    pub(crate) received: u64,
    pub(crate) run: u64,
    pub(crate) shed: u64,
    pub(crate) refused: u64,
    pub(crate) cancelled: u64,
    pub(crate) after_drain_ms: Vec<u64>,
}

/// Runs of execute calls of every searcher.
#[derive(Debug)]
pub(crate) struct ExecutionLog {
    started: Instant,
    records: RefCell<Vec<ExecutionRecord>>,
    /// Texts of the searches that got a slot, once they are asked for.
    queries: RefCell<Option<BTreeSet<String>>>,
}

/// Calls of one searcher that a cancel can end.
#[derive(Debug, Default)]
pub(crate) struct OpenCalls {
    calls: RefCell<BTreeMap<CallId, Rc<Notify>>>,
}

impl ExecutionLog {
    /// An empty log whose time starts now.
    pub(crate) fn new() -> ExecutionLog {
        ExecutionLog {
            started: Instant::now(),
            records: RefCell::default(),
            queries: RefCell::default(),
        }
    }

    /// Milliseconds since the start.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a run.
    pub(crate) fn add(&self, record: ExecutionRecord) {
        self.records.borrow_mut().push(record);
    }

    /// Starts to keep the texts of searches that run.
    pub(crate) fn record_queries(&self) {
        self.queries.borrow_mut().get_or_insert_default();
    }

    /// Notes the text of a search that got a slot, if texts are kept.
    pub(crate) fn note_query(&self, query: &str) {
        if let Some(queries) = &mut *self.queries.borrow_mut() {
            queries.insert(query.to_owned());
        }
    }

    /// Whether a search with that text got a slot since texts are kept.
    pub(crate) fn has_query(&self, query: &str) -> bool {
        self.queries.borrow().as_ref().is_some_and(|queries| queries.contains(query))
    }

    /// Every run so far, in order.
    pub(crate) fn records(&self) -> Vec<ExecutionRecord> {
        self.records.borrow().clone()
    }
}

impl OpenCalls {
    /// Opens a call; the returned notice tells when it is cancelled.
    pub(crate) fn open(&self, call: CallId) -> Rc<Notify> {
        let notice = Rc::new(Notify::new());
        self.calls.borrow_mut().insert(call, Rc::clone(&notice));
        notice
    }

    /// Forgets a call.
    pub(crate) fn close(&self, call: CallId) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Cancels a call, if it is open.
    pub(crate) fn cancel(&self, call: CallId) {
        if let Some(notice) = self.calls.borrow().get(&call) {
            notice.notify_one();
        }
    }
}
