//! Handling of Object API calls under rate limits and injected faults.

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

use crate::net::ConnectionLimiter;
use crate::net::HttpReply;
use crate::net::StreamControl;
use crate::net::json_reply;
use crate::net::read_body;
use crate::platform::ObjectStore;
use crate::platform::PlatformFault;
use crate::platform::PlatformReport;
use crate::platform::SilenceManner;
use crate::platform::call::CallCounter;
use crate::platform::call::CallKind;
use crate::platform::error::PlatformError;
use crate::platform::fault::FaultState;
use crate::platform::object_call::ObjectCall;
use crate::platform::watch::watch_reply;
use crate::server::StandinSettings;
use crate::server::default_limiter;

/// Maximum size of an object in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Kind of objects whose changes become visible only after the lag of the VM list.
const LAGGING_KIND: &str = "vms";
/// Length of the fixed window of the rate limits.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Rate limit by fixed window; `limit` is the maximum number of calls per window.
#[derive(Debug, Default)]
struct RateWindow {
    limit: Option<u64>,
    started: Option<Instant>,
    used: u64,
}

/// The platform: its object store, injected faults, rate limits and call counts.
#[derive(Debug)]
pub(crate) struct PlatformNode {
    pub(crate) store: RefCell<ObjectStore>,
    pub(crate) changed: Notify,
    pub(crate) fault: RefCell<FaultState>,
    pub(crate) open_watches: Cell<u64>,
    pub(crate) limiter: Rc<ConnectionLimiter>,
    vm_list_lag: Cell<Duration>,
    counter: RefCell<CallCounter>,
    reads: RefCell<RateWindow>,
    writes: RefCell<RateWindow>,
    rate_limited: Cell<u64>,
}

impl RateWindow {
    /// Counts a call and returns whether it is within the limit.
    fn take(&mut self, now: Instant) -> bool {
        let expired = self.started.is_none_or(|started| now - started >= RATE_WINDOW);
        if expired {
            self.started = Some(now);
            self.used = 0;
        }
        self.used += 1;
        self.limit.is_none_or(|limit| self.used <= limit)
    }
}

impl PlatformNode {
    /// Creates a platform without objects.
    pub(crate) fn new(settings: &StandinSettings) -> PlatformNode {
        let window = |limit| RefCell::new(RateWindow { limit, ..RateWindow::default() });
        PlatformNode {
            store: RefCell::new(ObjectStore::new(settings.history_limit)),
            changed: Notify::new(),
            fault: RefCell::default(),
            open_watches: Cell::new(0),
            limiter: default_limiter(settings.silent_timeout),
            vm_list_lag: Cell::new(settings.vm_list_lag),
            counter: RefCell::default(),
            reads: window(settings.reads_per_second),
            writes: window(settings.writes_per_second),
            rate_limited: Cell::new(0),
        }
    }

    /// Applies a fault and wakes all watches.
    pub(crate) fn apply(&self, fault: PlatformFault) {
        self.fault.borrow_mut().apply(fault);
        if fault == PlatformFault::SilenceConnections {
            self.limiter.silence();
        }
        self.changed.notify_waiters();
    }

    /// Returns the call counts and the state of the store.
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

    /// Creates or replaces an object directly in the store and wakes all watches.
    pub(crate) fn put<T: Serialize>(&self, kind: &str, name: &str, spec: &T) {
        let spec = serde_json::to_value(spec).unwrap_or_default();
        self.store.borrow_mut().put(kind, name, spec, Instant::now());
        self.changed.notify_waiters();
    }

    /// Returns how far reads of a kind lag behind the store.
    pub(crate) fn lag(&self, kind: &str) -> Duration {
        match kind {
            LAGGING_KIND => self.vm_list_lag.get(),
            _ => Duration::ZERO,
        }
    }

    /// Returns the point in time as of which the objects of a kind are visible now.
    pub(crate) fn visible_at(&self, kind: &str) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.lag(kind)).unwrap_or(now)
    }

    /// Handles a call and returns the reply.
    pub(crate) async fn answer(self: &Rc<PlatformNode>, mut request: Request) -> HttpReply {
        let control = request.conn_data::<StreamControl>().cloned();
        match self.run(&mut request, control.as_ref()).await {
            Ok(reply) => reply,
            Err(error) => error.into_reply(),
        }
    }

    /// Runs a call, subject to the faults in effect and to the rate limits.
    async fn run(
        self: &Rc<PlatformNode>,
        request: &mut Request,
        control: Option<&StreamControl>,
    ) -> Result<HttpReply, PlatformError> {
        let call = ObjectCall::try_from(&*request)?;
        self.counter.borrow_mut().add(call.operation, &call.kind);
        let extra_ms = self.fault.borrow().extra_ms;
        if extra_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(extra_ms)).await;
        }
        let outage = self.fault.borrow().outage;
        match outage {
            Some(SilenceManner::Closed) => return Err(PlatformError::Unavailable),
            Some(SilenceManner::Silent) => std::future::pending().await,
            None => {}
        }
        self.check_rate_limit(call.operation)?;
        if !call.operation.is_write() {
            return self.read(&call);
        }
        let body = read_body(request, MAX_OBJECT_BYTES).await.ok_or(PlatformError::TooLarge)?;
        let reply = self.write(&call, body)?;
        self.changed.notify_waiters();
        let lost = self.fault.borrow_mut().take_lost_reply();
        match (lost, control) {
            (Some(SilenceManner::Closed), Some(control)) => control.cut(),
            (Some(SilenceManner::Silent), Some(control)) => control.silence(),
            _ => {}
        }
        Ok(reply)
    }

    /// Counts a call against the rate limit of reads or of writes.
    fn check_rate_limit(&self, call: CallKind) -> Result<(), PlatformError> {
        let window = if call.is_write() { &self.writes } else { &self.reads };
        if window.borrow_mut().take(Instant::now()) {
            return Ok(());
        }
        self.rate_limited.set(self.rate_limited.get() + 1);
        Err(PlatformError::TooManyRequests)
    }

    /// Runs a list, watch or get call.
    fn read(self: &Rc<PlatformNode>, call: &ObjectCall) -> Result<HttpReply, PlatformError> {
        if call.operation == CallKind::Watch {
            return watch_reply(self, call);
        }
        let store = self.store.borrow();
        let visible_at = self.visible_at(&call.kind);
        if call.operation == CallKind::List {
            return Ok(json_reply(StatusCode::OK, &store.list(&call.kind, visible_at)));
        }
        let found = match self.lag(&call.kind).is_zero() {
            true => store.get(&call.kind, &call.name).cloned(),
            false => store.get_at(&call.kind, &call.name, visible_at),
        };
        found.map(|item| json_reply(StatusCode::OK, &item)).ok_or(PlatformError::NotFound)
    }

    /// Runs a create, update or delete call.
    fn write(&self, call: &ObjectCall, body: Bytes) -> Result<HttpReply, PlatformError> {
        let now = Instant::now();
        let mut store = self.store.borrow_mut();
        if call.operation == CallKind::Delete {
            let removed = store.delete(&call.kind, &call.name, call.version, now)?;
            return Ok(json_reply(StatusCode::OK, &removed));
        }
        let document = parse_object(call, &body)?;
        if call.operation == CallKind::Create {
            return Ok(json_reply(StatusCode::CREATED, &store.create(document, now)?));
        }
        if document.revision() == 0 {
            let problem = "metadata.resourceVersion is missing; give the version last read";
            return Err(PlatformError::Invalid(problem.to_owned()));
        }
        Ok(json_reply(StatusCode::OK, &store.update(document, now)?))
    }
}

/// Parses an object and fills in its kind and name from the path.
fn parse_object(call: &ObjectCall, body: &Bytes) -> Result<ObjectDocument, PlatformError> {
    let parsed: Result<ObjectDocument, serde_json::Error> = serde_json::from_slice(body);
    let mut document = parsed.map_err(|error| PlatformError::Invalid(error.to_string()))?;
    document.kind.clone_from(&call.kind);
    if document.metadata.name.is_empty() {
        document.metadata.name.clone_from(&call.name);
    }
    if document.metadata.name.is_empty() {
        return Err(PlatformError::Invalid("metadata.name is empty".to_owned()));
    }
    if !call.name.is_empty() && document.metadata.name != call.name {
        return Err(PlatformError::Invalid("metadata.name differs from the path".to_owned()));
    }
    Ok(document)
}
