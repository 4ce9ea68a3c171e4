//! Listener for callers, and the requests that it receives.

use std::cell::Cell;
use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::StatusCode;
use futures_util::FutureExt;
use oleanderwind_http::HttpCall;
use oleanderwind_http::HttpLimits;
use oleanderwind_http::HttpListener;
use oleanderwind_http::HttpReply;
use oleanderwind_http::is_first_attempt;
use oleanderwind_policy::AdmissionDecision;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_wire::CallerAnswer;

use crate::admission::AdmissionService;
use crate::directory::DirectoryService;
use crate::fanout::FanoutService;
use crate::front::answer::RefusalKind;
use crate::front::answer::outcome_status;
use crate::front::answer::refusal_answer;
use crate::front::answer::write_reply;
use crate::front::request::CallerRequest;
use crate::front::request::request_id;
use crate::kernel::Kernel;
use crate::ledger::LedgerService;
use crate::metrics::MetricsService;
use crate::metrics::RequestMeasurement;
use crate::outcomes::FinishedRequest;
use crate::outcomes::OutcomeService;
use crate::peers::PeerService;
use crate::settings::DaemonSettings;
use crate::settings::LiveSettings;

/// Answer to a request, with the number of calls made for it.
pub(crate) struct RequestResult {
    pub(crate) answer: CallerAnswer,
    pub(crate) primary_calls: u32,
    pub(crate) extra_calls: u32,
}

impl RequestResult {
    /// Returns the result of a request for which no target was called.
    pub(crate) fn without_calls(answer: CallerAnswer) -> RequestResult {
        RequestResult { answer, primary_calls: 0, extra_calls: 0 }
    }
}

/// Serves callers.
pub(crate) struct FrontService {
    pub(crate) settings: DaemonSettings,
    pub(crate) live: LiveSettings,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) fanout: Rc<FanoutService>,
    pub(crate) peers: Rc<PeerService>,
    admission: Rc<AdmissionService>,
    pub(crate) ledger: Rc<LedgerService>,
    metrics: Rc<MetricsService>,
    outcomes: Rc<OutcomeService>,
    listener: OnceCell<HttpListener>,
    next_request: Cell<u64>,
    /// Key that orders the VMs in the next address answer; incremented with each answer.
    pub(crate) next_address_key: Cell<u64>,
}

impl FrontService {
    /// Binds the caller address and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or a service is missing.
    pub(crate) async fn start(kernel: &Rc<Kernel>) -> eyre::Result<Rc<FrontService>> {
        let settings = kernel.settings().clone();
        let front = Rc::new(FrontService {
            directory: kernel.directory()?,
            fanout: kernel.fanout()?,
            peers: kernel.peers()?,
            admission: kernel.admission()?,
            ledger: kernel.ledger()?,
            metrics: kernel.metrics()?,
            outcomes: kernel.outcomes()?,
            listener: OnceCell::new(),
            next_request: Cell::new(settings.seed),
            next_address_key: Cell::new(settings.seed),
            live: kernel.live_settings().clone(),
            settings,
        });
        let handler = {
            let front = front.clone();
            Rc::new(move |call| front.clone().serve(call).boxed_local())
        };
        let address = front.settings.caller_listen;
        let listener = HttpListener::bind(address, HttpLimits::default(), handler).await?;
        front.listener.get_or_init(|| listener);
        Ok(front)
    }

    /// Returns the address of the caller listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.get().map_or(self.settings.caller_listen, HttpListener::address)
    }

    /// Closes each caller connection after its next reply, so that callers move to other VMs.
    pub(crate) fn announce_leaving(&self) {
        if let Some(listener) = self.listener.get() {
            listener.close_after_replies();
        }
    }

    /// Finishes the running requests and closes all connections within `timeout`.
    pub(crate) async fn drain(&self, timeout: Duration) {
        let Some(listener) = self.listener.get() else { return };
        let left = listener.drain(timeout).await;
        if left > 0 {
            log::error!("{left} caller connections still open after the drain");
        }
    }
}

/// Dispatch by path.
impl FrontService {
    async fn serve(self: Rc<Self>, call: HttpCall) -> HttpReply {
        let segments = call.segments();
        match (&call.method, segments.as_slice()) {
            (&Method::POST, ["v1", "customers", customer, "requests"]) => {
                self.serve_request(&call, customer).await
            }
            (&Method::GET, ["v1", "addresses"]) => self.serve_addresses(&call),
            (&Method::GET, ["healthz"]) => HttpReply::text(StatusCode::OK, "live\n"),
            (&Method::GET, ["readyz"]) => self.serve_readiness(),
            (&Method::GET, ["metrics"]) => self.metrics.reply(),
            _ => {
                let mut findings = FindingList::default();
                findings.add("path", format!("{} {} is not served here", call.method, call.path));
                self.refuse(&call, RefusalKind::UnknownPath, findings)
            }
        }
    }

    fn serve_addresses(&self, call: &HttpCall) -> HttpReply {
        let customer = call.parameter("customer").unwrap_or_default();
        if customer.is_empty() {
            let mut findings = FindingList::default();
            findings.add("customer", "is missing; give ?customer=");
            return self.refuse(call, RefusalKind::BadRequest, findings);
        }
        HttpReply::json(StatusCode::OK, &self.addresses(customer.into()))
    }

    fn serve_readiness(&self) -> HttpReply {
        match (self.peers.can_serve(), self.directory.is_leaving()) {
            (true, false) => HttpReply::text(StatusCode::OK, "ready\n"),
            (false, _) => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration\n"),
            (true, true) => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        }
    }
}

/// Serving requests.
impl FrontService {
    async fn serve_request(&self, call: &HttpCall, customer: &str) -> HttpReply {
        let arrived = Instant::now();
        if !self.peers.can_serve() {
            return self.refuse(call, RefusalKind::NotReady, FindingList::default());
        }
        let Some(entry) = self.directory.contract(customer) else {
            let mut findings = FindingList::default();
            findings.add("customer", format!("\"{customer}\" has no contract"));
            return self.refuse(call, RefusalKind::UnknownCustomer, findings);
        };
        let request = match CallerRequest::check(call, &entry.contract) {
            Ok(request) => request,
            Err(findings) => return self.refuse(call, RefusalKind::BadRequest, findings),
        };
        let priority = request.terms.priority;
        match self.admission.admit(&entry.contract.customer, priority) {
            AdmissionDecision::Admitted => {}
            AdmissionDecision::Refused { retry_after } => {
                let kind = RefusalKind::OverLimit { retry_after };
                return self.refuse(call, kind, FindingList::default());
            }
        }
        let id = self.request_id(call);
        let result = match &request.key {
            Some(key) => Some(self.execute(&id, &entry.contract, &request, key, arrived).await),
            None => self.search(&id, &entry.contract, &request, arrived).await,
        };
        let Some(result) = result else {
            return self.refuse(call, RefusalKind::NoSnapshot, FindingList::default());
        };
        self.record_finished(
            customer,
            &request,
            &result.answer,
            arrived,
            result.primary_calls,
            result.extra_calls,
        );
        write_reply(outcome_status(result.answer.outcome), &result.answer)
    }

    fn record_finished(
        &self,
        customer: &str,
        request: &CallerRequest,
        answer: &CallerAnswer,
        arrived: Instant,
        primary_calls: u32,
        extra_calls: u32,
    ) {
        let latency = arrived.elapsed();
        let coverage_permille = answer.coverage.map(|coverage| {
            1_000.0 * coverage.documents_covered as f64 / coverage.documents_total.max(1) as f64
        });
        self.metrics.record(&RequestMeasurement {
            customer,
            class: &request.class,
            outcome: answer.outcome,
            latency,
            coverage_permille,
            primary_calls,
            extra_calls,
        });
        let finished = FinishedRequest {
            outcome: answer.outcome,
            latency,
            coverage_permille: coverage_permille.map(|permille| permille as u32),
            primary_calls,
            extra_calls,
        };
        self.outcomes.record(customer, &request.class, &request.terms, &finished);
        log::debug!(
            "request {} of {customer} class {}: {:?} ran {:?} after {} us, {primary_calls} calls \
             and {extra_calls} extra",
            answer.request_id,
            request.class,
            answer.outcome,
            answer.ran,
            latency.as_micros()
        );
        if answer.outcome == RequestOutcome::NotRun {
            log::info!("request {} of {customer} was not run", answer.request_id);
        }
    }

    fn refuse(&self, call: &HttpCall, kind: RefusalKind, findings: FindingList) -> HttpReply {
        let id = self.request_id(call);
        self.metrics.record_refusal(kind.reason());
        log::info!("request {id} refused: {} {findings}", kind.reason());
        let is_first_try = is_first_attempt(&call.headers);
        let (status, answer) = refusal_answer(&id, kind, findings, is_first_try);
        write_reply(status, &answer)
    }

    fn request_id(&self, call: &HttpCall) -> String {
        let fresh = self.next_request.get();
        self.next_request.set(fresh.wrapping_add(1));
        request_id(call, fresh)
    }
}
