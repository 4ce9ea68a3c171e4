//! The platform's calls, faults, limits and counts.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_http::StatusCode;
use bytes::Bytes;
use oleanderwind_wire::ObjectDocument;
use serde::Serialize;
use tokio::sync::Notify;

use crate::net::ConnectionGate;
use crate::net::HttpReply;
use crate::net::StreamControl;
use crate::net::json_reply;
use crate::net::read_body;
use crate::platform::FailureMode;
use crate::platform::ObjectStore;
use crate::platform::PlatformFault;
use crate::platform::PlatformReport;
use crate::platform::call::CallCounter;
use crate::platform::call::CallKind;
use crate::platform::error::PlatformError;
use crate::platform::fault::FaultState;
use crate::platform::route::CallRoute;
use crate::platform::watch::watch_reply;
use crate::server::StandinSettings;
use crate::server::open_gate;

/// Largest object in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Kind of the objects that are seen late.
const LAGGING_KIND: &str = "vms";
/// Window of the rate limits.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Calls that one rate limit let through in the present window.
#[derive(Debug, Default)]
struct RateWindow {
    limit: Option<u64>,
    started: Option<Instant>,
    used: u64,
}

/// The platform.
#[derive(Debug)]
pub(crate) struct PlatformNode {
    pub(crate) store: RefCell<ObjectStore>,
    pub(crate) changed: Notify,
    pub(crate) fault: RefCell<FaultState>,
    pub(crate) open_watches: Cell<u64>,
    pub(crate) gate: Rc<ConnectionGate>,
    vm_list_lag: Cell<Duration>,
    counter: RefCell<CallCounter>,
    reads: RefCell<RateWindow>,
    writes: RefCell<RateWindow>,
    rate_limited: Cell<u64>,
}

impl RateWindow {
    /// Takes one call out of the window.
    fn take(&mut self, now: Instant) -> bool {
        let fresh = self.started.is_none_or(|started| now - started >= RATE_WINDOW);
        if fresh {
            self.started = Some(now);
            self.used = 0;
        }
        self.used += 1;
        self.limit.is_none_or(|limit| self.used <= limit)
    }
}

impl PlatformNode {
    /// An empty platform.
    pub(crate) fn new(settings: &StandinSettings) -> PlatformNode {
        let window = |limit| RefCell::new(RateWindow { limit, ..RateWindow::default() });
        PlatformNode {
            store: RefCell::new(ObjectStore::new(settings.history_limit)),
            changed: Notify::new(),
            fault: RefCell::default(),
            open_watches: Cell::new(0),
            gate: open_gate(settings.silent_timeout),
            vm_list_lag: Cell::new(settings.vm_list_lag),
            counter: RefCell::default(),
            reads: window(settings.reads_per_second),
            writes: window(settings.writes_per_second),
            rate_limited: Cell::new(0),
        }
    }

    /// Puts a fault in force.
    pub(crate) fn apply(&self, fault: PlatformFault) {
        self.fault.borrow_mut().apply(fault);
        if fault == PlatformFault::SilenceConnections {
            self.gate.silence();
        }
        self.changed.notify_waiters();
    }

    /// Counts of calls and the store's size.
    pub(crate) fn report(&self) -> PlatformReport {
        let store = self.store.borrow();
        PlatformReport {
            calls: self.counter.borrow().report(),
            rate_limited: self.rate_limited.get(),
            version: store.version(),
            objects: u64::try_from(store.len()).unwrap_or(u64::MAX),
            open_watches: self.open_watches.get(),
        }
    }

    /// Writes an object without a call.
    pub(crate) fn put<T: Serialize>(&self, kind: &str, name: &str, spec: &T) {
        let spec = serde_json::to_value(spec).unwrap_or_default();
        self.store.borrow_mut().put(kind, name, spec, Instant::now());
        self.changed.notify_waiters();
    }

    /// Lag of the objects of a kind.
    pub(crate) fn lag(&self, kind: &str) -> Duration {
        match kind {
            LAGGING_KIND => self.vm_list_lag.get(),
            _ => Duration::ZERO,
        }
    }

    /// The time whose state of a kind is shown now.
    pub(crate) fn seen(&self, kind: &str) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.lag(kind)).unwrap_or(now)
    }

    /// Answers one call.
    pub(crate) async fn answer(self: &Rc<PlatformNode>, mut request: Request) -> HttpReply {
        let control = request.conn_data::<StreamControl>().cloned();
        match self.run(&mut request, control.as_ref()).await {
            Ok(reply) => reply,
            Err(error) => error.into_reply(),
        }
    }

    /// Runs one call under the faults in force.
    async fn run(
        self: &Rc<PlatformNode>,
        request: &mut Request,
        control: Option<&StreamControl>,
    ) -> Result<HttpReply, PlatformError> {
        let route = CallRoute::try_from(&*request)?;
        self.counter.borrow_mut().add(route.call, &route.kind);
        let extra_ms = self.fault.borrow().extra_ms;
        if extra_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(extra_ms)).await;
        }
        let outage = self.fault.borrow().outage;
        match outage {
            Some(FailureMode::Closed) => return Err(PlatformError::Unavailable),
            Some(FailureMode::Silent) => std::future::pending().await,
            None => {}
        }
        self.limit(route.call)?;
        if !route.call.is_write() {
            return self.read(&route);
        }
        let body = read_body(request, MAX_OBJECT_BYTES).await.ok_or(PlatformError::TooLarge)?;
        let reply = self.write(&route, body)?;
        self.changed.notify_waiters();
        let lost = self.fault.borrow_mut().take_lost_reply();
        match (lost, control) {
            (Some(FailureMode::Closed), Some(control)) => control.cut(),
            (Some(FailureMode::Silent), Some(control)) => control.silence(),
            _ => {}
        }
        Ok(reply)
    }

    /// Takes a call out of its rate limit.
    fn limit(&self, call: CallKind) -> Result<(), PlatformError> {
        let window = if call.is_write() { &self.writes } else { &self.reads };
        if window.borrow_mut().take(Instant::now()) {
            return Ok(());
        }
        self.rate_limited.set(self.rate_limited.get() + 1);
        Err(PlatformError::TooManyRequests)
    }

    /// Answers a call that changes nothing.
    fn read(self: &Rc<PlatformNode>, route: &CallRoute) -> Result<HttpReply, PlatformError> {
        if route.call == CallKind::Watch {
            return watch_reply(self, route);
        }
        let store = self.store.borrow();
        let seen = self.seen(&route.kind);
        if route.call == CallKind::List {
            return Ok(json_reply(StatusCode::OK, &store.list(&route.kind, seen)));
        }
        let found = match self.lag(&route.kind).is_zero() {
            true => store.get(&route.kind, &route.name).cloned(),
            false => store.get_at(&route.kind, &route.name, seen),
        };
        found.map(|item| json_reply(StatusCode::OK, &item)).ok_or(PlatformError::NotFound)
    }

    /// Runs a call that changes an object.
    fn write(&self, route: &CallRoute, body: Bytes) -> Result<HttpReply, PlatformError> {
        let now = Instant::now();
        let mut store = self.store.borrow_mut();
        if route.call == CallKind::Delete {
            let removed = store.delete(&route.kind, &route.name, route.version, now)?;
            return Ok(json_reply(StatusCode::OK, &removed));
        }
        let document = parse_object(route, &body)?;
        if route.call == CallKind::Create {
            return Ok(json_reply(StatusCode::CREATED, &store.create(document, now)?));
        }
        if document.revision() == 0 {
            let problem = "metadata.resourceVersion is missing; give the version last read";
            return Err(PlatformError::Invalid(problem.to_owned()));
        }
        Ok(json_reply(StatusCode::OK, &store.update(document, now)?))
    }
}

/// Reads an object and settles its kind and name.
fn parse_object(route: &CallRoute, body: &Bytes) -> Result<ObjectDocument, PlatformError> {
    let parsed: Result<ObjectDocument, serde_json::Error> = serde_json::from_slice(body);
    let mut document = parsed.map_err(|error| PlatformError::Invalid(error.to_string()))?;
    document.kind.clone_from(&route.kind);
    if document.metadata.name.is_empty() {
        document.metadata.name.clone_from(&route.name);
    }
    if document.metadata.name.is_empty() {
        return Err(PlatformError::Invalid("metadata.name is empty".to_owned()));
    }
    if !route.name.is_empty() && document.metadata.name != route.name {
        return Err(PlatformError::Invalid("metadata.name differs from the path".to_owned()));
    }
    Ok(document)
}
