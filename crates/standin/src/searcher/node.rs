//! A searcher and its endpoints.

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
use crate::net::ConnectionLimiter;
use crate::net::EndpointListener;
use crate::net::HttpReply;
use crate::net::StreamControl;
use crate::net::empty_reply;
use crate::net::json_reply;
use crate::net::parse_body;
use crate::searcher::CallReport;
use crate::searcher::fault::FaultState;
use crate::searcher::held_snapshots::HeldSnapshots;
use crate::searcher::record::CallCounter;
use crate::searcher::record::ExecutionLog;
use crate::searcher::record::InFlightCalls;
use crate::searcher::service_time::ServiceTimeSampler;
use crate::server::StandinSettings;

/// Maximum size of the body of a call in bytes.
pub(crate) const MAX_CALL_BYTES: usize = 1 << 20;

/// Fixed properties of a searcher.
#[derive(Clone, Debug)]
pub(crate) struct SearcherIdentity {
    /// Target of the searcher, in its initial phase.
    pub(crate) spec: TargetSpec,
    /// Plan of the service that it belongs to.
    pub(crate) plan: ServicePlan,
    /// Index within the service.
    pub(crate) index: u32,
}

/// A searcher.
#[derive(Debug)]
pub(crate) struct SearcherNode {
    pub(crate) identity: SearcherIdentity,
    pub(crate) fault: RefCell<FaultState>,
    pub(crate) held_snapshots: RefCell<HeldSnapshots>,
    pub(crate) counter: RefCell<CallCounter>,
    pub(crate) limiter: Rc<ConnectionLimiter>,
    pub(crate) listener: RefCell<Option<EndpointListener>>,
    /// Reserves the port while the searcher is down.
    pub(crate) reserved: RefCell<Option<TcpSocket>>,
    pub(crate) slots: Semaphore,
    pub(crate) queued: Cell<u32>,
    pub(crate) queue_limit: u32,
    pub(crate) service_times: ServiceTimeSampler,
    pub(crate) in_flight_calls: InFlightCalls,
    pub(crate) executions: Rc<ExecutionLog>,
    /// Notified whenever a fault is applied.
    pub(crate) fault_changed: Notify,
}

impl SearcherNode {
    /// Creates a searcher that does not listen yet.
    pub(crate) fn new(
        identity: SearcherIdentity,
        settings: &StandinSettings,
        executions: Rc<ExecutionLog>,
    ) -> SearcherNode {
        let plan = &identity.plan;
        let seed = settings.seed ^ digest(&identity.spec.target);
        SearcherNode {
            limiter: Rc::new(ConnectionLimiter::new(
                plan.connection_limit,
                plan.connection_setup,
                settings.silent_timeout,
            )),
            slots: Semaphore::new(usize::try_from(plan.slots).unwrap_or(1)),
            service_times: ServiceTimeSampler::new(settings.service_time, seed),
            identity,
            fault: RefCell::default(),
            held_snapshots: RefCell::default(),
            counter: RefCell::default(),
            listener: RefCell::default(),
            reserved: RefCell::default(),
            queued: Cell::new(0),
            queue_limit: settings.queue_limit,
            in_flight_calls: InFlightCalls::default(),
            executions,
            fault_changed: Notify::new(),
        }
    }

    /// Returns the address that the searcher listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.identity.spec.address
    }

    /// Returns the target of the searcher in the given phase.
    pub(crate) fn spec(&self, phase: TargetPhase) -> TargetSpec {
        TargetSpec { phase, ..self.identity.spec.clone() }
    }

    /// Returns the actual load.
    pub(crate) fn load(&self) -> LoadReport {
        let slots = self.identity.plan.slots;
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(slots);
        LoadReport {
            busy: slots.saturating_sub(free),
            queued: self.queued.get(),
            slots,
            pace_percent: 0,
        }
    }

    /// Returns whether a drain is in progress.
    pub(crate) fn draining(&self) -> bool {
        self.fault.borrow().draining
    }

    /// Returns the call counts and connection counts.
    pub(crate) fn report(&self) -> CallReport {
        let counter = self.counter.borrow();
        CallReport {
            searcher: self.identity.spec.target.clone(),
            received: counter.received,
            run: counter.run,
            shed: counter.shed,
            refused: counter.refused,
            cancelled: counter.cancelled,
            connections: self.limiter.open_count(),
            peak_connections: self.limiter.peak_count(),
            connections_over_limit: self.limiter.rejected_count(),
            after_drain_ms: counter.after_drain_ms.clone(),
        }
    }

    /// Handles a call and returns the reply.
    pub(crate) async fn answer(self: &Rc<SearcherNode>, mut request: Request) -> HttpReply {
        let control = request.conn_data::<StreamControl>().cloned();
        let method = request.method().clone();
        let path = request.path().to_owned();
        if matches!(path.as_str(), "/v1/search" | "/v1/execute") {
            self.count_arrival();
        }
        while self.fault.borrow().frozen {
            self.fault_changed.notified().await;
        }
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/search") => self.search(&mut request, control.as_ref()).await,
            (&Method::POST, "/v1/execute") => self.execute(&mut request, control.as_ref()).await,
            (&Method::POST, "/v1/cancel") => self.cancel(&mut request).await,
            (&Method::GET, "/v1/load") => self.load_reply(),
            (&Method::GET, "/v1/health") => self.health_reply(),
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    /// Counts a received call, and records its time since the start of a drain.
    fn count_arrival(&self) {
        let drained_at = self.fault.borrow().drained_at;
        let mut counter = self.counter.borrow_mut();
        counter.received += 1;
        if let Some(drained_at) = drained_at {
            let after = Instant::now().saturating_duration_since(drained_at);
            counter.after_drain_ms.push(millis(after));
        }
    }

    /// Handles `POST /v1/cancel`: ends a queued call or a running search.
    async fn cancel(&self, request: &mut Request) -> HttpReply {
        match parse_body::<CancelCall>(request, MAX_CALL_BYTES).await {
            Ok(call) => {
                self.in_flight_calls.cancel(call.call_id);
                empty_reply(StatusCode::NO_CONTENT)
            }
            Err(_) => empty_reply(StatusCode::BAD_REQUEST),
        }
    }

    /// Handles `GET /v1/load`.
    fn load_reply(&self) -> HttpReply {
        let load_override = self.fault.borrow().load_override;
        json_reply(StatusCode::OK, &load_override.unwrap_or_else(|| self.load()))
    }

    /// Handles `GET /v1/health`. A drain does not affect the result.
    fn health_reply(&self) -> HttpReply {
        match self.fault.borrow().health_override {
            Some(false) => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
            Some(true) | None => empty_reply(StatusCode::OK),
        }
    }
}

/// Converts a duration to whole milliseconds, saturating.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
