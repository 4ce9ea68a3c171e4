//! One searcher.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::CancelCall;
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::deployment::ServicePlan;
use crate::documents::digest;
use crate::net::ConnectionGate;
use crate::net::EndpointListener;
use crate::net::HttpReply;
use crate::net::StreamControl;
use crate::net::empty_reply;
use crate::net::json_reply;
use crate::net::parse_body;
use crate::searcher::CallReport;
use crate::searcher::fault::FaultState;
use crate::searcher::holding::SnapshotHolding;
use crate::searcher::record::CallCounter;
use crate::searcher::record::ExecutionLog;
use crate::searcher::record::OpenCalls;
use crate::searcher::service_time::ServiceClock;
use crate::server::StandinSettings;

/// Largest body of a call in bytes.
pub(crate) const MAX_CALL_BYTES: usize = 1 << 20;

/// What a searcher is, apart from its faults.
#[derive(Clone, Debug)]
pub(crate) struct SearcherIdentity {
    /// Its target's object.
    pub(crate) spec: TargetSpec,
    /// Sizes of its service.
    pub(crate) plan: ServicePlan,
    /// Its number within the service.
    pub(crate) index: u32,
}

/// One searcher.
#[derive(Debug)]
pub(crate) struct SearcherNode {
    pub(crate) identity: SearcherIdentity,
    pub(crate) fault: RefCell<FaultState>,
    pub(crate) holding: RefCell<SnapshotHolding>,
    pub(crate) counter: RefCell<CallCounter>,
    pub(crate) gate: Rc<ConnectionGate>,
    pub(crate) listener: RefCell<Option<EndpointListener>>,
    /// Keeps the port while the searcher is down.
    pub(crate) reserved: RefCell<Option<TcpSocket>>,
    pub(crate) slots: Semaphore,
    pub(crate) queued: Cell<u32>,
    pub(crate) queue_limit: u32,
    pub(crate) clock: ServiceClock,
    pub(crate) open_calls: OpenCalls,
    pub(crate) executions: Rc<ExecutionLog>,
    /// Tells that faults have changed.
    pub(crate) thawed: Notify,
}

impl SearcherNode {
    /// A searcher that doesn't listen yet.
    pub(crate) fn new(
        identity: SearcherIdentity,
        settings: &StandinSettings,
        executions: Rc<ExecutionLog>,
    ) -> SearcherNode {
        let plan = &identity.plan;
        let seed = settings.seed ^ digest(&identity.spec.target);
        SearcherNode {
            gate: Rc::new(ConnectionGate::new(
                plan.connection_limit,
                plan.connection_setup,
                settings.silent_timeout,
            )),
            slots: Semaphore::new(usize::try_from(plan.slots).unwrap_or(1)),
            clock: ServiceClock::new(settings.service_time, seed),
            identity,
            fault: RefCell::default(),
            holding: RefCell::default(),
            counter: RefCell::default(),
            listener: RefCell::default(),
            reserved: RefCell::default(),
            queued: Cell::new(0),
            queue_limit: settings.queue_limit,
            open_calls: OpenCalls::default(),
            executions,
            thawed: Notify::new(),
        }
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.identity.spec.address
    }

    /// Its target's object with the given phase.
    pub(crate) fn spec(&self, phase: TargetPhase) -> TargetSpec {
        TargetSpec { phase, ..self.identity.spec.clone() }
    }

    /// Its true load.
    pub(crate) fn load(&self) -> LoadReport {
        let slots = self.identity.plan.slots;
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(slots);
        LoadReport { busy: slots.saturating_sub(free), queued: self.queued.get(), slots }
    }

    /// Whether it gave the drain sign.
    pub(crate) fn draining(&self) -> bool {
        self.fault.borrow().draining
    }

    /// What it received and did.
    pub(crate) fn report(&self) -> CallReport {
        let counter = self.counter.borrow();
        CallReport {
            searcher: self.identity.spec.target.clone(),
            received: counter.received,
            run: counter.run,
            shed: counter.shed,
            refused: counter.refused,
            cancelled: counter.cancelled,
            connections: self.gate.count(),
            peak_connections: self.gate.peak(),
            connections_over_limit: self.gate.refused(),
            after_drain_ms: counter.after_drain_ms.clone(),
        }
    }

    /// Answers one call.
    pub(crate) async fn answer(self: &Rc<SearcherNode>, mut request: Request) -> HttpReply {
        let control = request.conn_data::<StreamControl>().cloned();
        let method = request.method().clone();
        let path = request.path().to_owned();
        if matches!(path.as_str(), "/v1/search" | "/v1/execute") {
            self.count_arrival();
        }
        while self.fault.borrow().frozen {
            self.thawed.notified().await;
        }
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/search") => self.search(&mut request, control.as_ref()).await,
            (&Method::POST, "/v1/execute") => self.execute(&mut request, control.as_ref()).await,
            (&Method::POST, "/v1/cancel") => self.cancel(&mut request).await,
            (&Method::GET, "/v1/load") => self.told_load(),
            (&Method::GET, "/v1/health") => self.told_health(),
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    /// Counts a call that arrived.
    fn count_arrival(&self) {
        let drained_at = self.fault.borrow().drained_at;
        let mut counter = self.counter.borrow_mut();
        counter.received += 1;
        if let Some(drained_at) = drained_at {
            let after = Instant::now().saturating_duration_since(drained_at);
            counter.after_drain_ms.push(millis(after));
        }
    }

    /// Drops a call that waits or runs.
    async fn cancel(&self, request: &mut Request) -> HttpReply {
        match parse_body::<CancelCall>(request, MAX_CALL_BYTES).await {
            Ok(call) => {
                self.open_calls.cancel(call.call_id);
                empty_reply(StatusCode::NO_CONTENT)
            }
            Err(_) => empty_reply(StatusCode::BAD_REQUEST),
        }
    }

    /// The load as told out of band.
    fn told_load(&self) -> HttpReply {
        let told = self.fault.borrow().told_load;
        json_reply(StatusCode::OK, &told.unwrap_or_else(|| self.load()))
    }

    /// The health as told out of band; a drain isn't told here.
    fn told_health(&self) -> HttpReply {
        match self.fault.borrow().told_health {
            Some(false) => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
            Some(true) | None => empty_reply(StatusCode::OK),
        }
    }
}

/// Whole milliseconds of a time.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
