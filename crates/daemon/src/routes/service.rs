//! Listeners for callers of opaque requests, and the requests that they receive.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use futures_util::FutureExt;
use oleanderwind_http::BodyCheck;
use oleanderwind_http::CallerGuard;
use oleanderwind_http::HttpCall;
use oleanderwind_http::HttpLimits;
use oleanderwind_http::HttpListener;
use oleanderwind_http::HttpReply;
use oleanderwind_http::MemoryBudget;
use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::BudgetOwner;
use oleanderwind_policy::CallerIdentity;
use oleanderwind_policy::CallerLimits;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::HomeRegions;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::ReachState;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::RouteDestination;
use oleanderwind_policy::RunState;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::ShutdownGate;
use oleanderwind_policy::WeightedRoundRobin;
use oleanderwind_wire::UnansweredRequest;
use tokio::sync::watch;

use crate::directory::ActiveRoutes;
use crate::directory::DirectoryService;
use crate::edge::CallHead;
use crate::edge::CallerProtocol;
use crate::edge::IncomingCall;
use crate::edge::OpaqueRequest;
use crate::fanout::FanoutReply;
use crate::fanout::FanoutService;
use crate::fanout::QueryPayload;
use crate::fanout::QueryWork;
use crate::kernel::Kernel;
use crate::metrics::MetricsService;
use crate::peers::PeerService;
use crate::routes::answer::RouteReply;
use crate::routes::answer::refusal;
use crate::routes::answer::route_reply;
use crate::routes::manifests::ManifestCache;
use crate::routes::quota::RequestEnd;
use crate::routes::relay::RELAYED;
use crate::routes::relay::RelayPool;
use crate::routes::relay::RelayTerms;
use crate::routes::relay::unknown_key_reply;
use crate::routes::stopping::cut_by_stop;
use crate::routes::stopping::time_limit;
use crate::routes::view::UnansweredLog;
use crate::settings::DaemonSettings;
use crate::settings::LiveSettings;
use crate::time::milliseconds;

/// Retry delay suggested to callers while this VM has no configuration. Listing the platform's
/// objects takes about a second.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum open caller connections. The smallest VM has 3,900 file descriptors for sockets.
const MAX_CALLER_CONNECTIONS: usize = 2_000;
/// Bytes of a head as sent beyond its limit, for spaces that don't count.
const HEAD_SLACK_BYTES: usize = 4 * 1_024;
/// Bytes in a megabyte.
const BYTES_PER_MB: usize = 1_000_000;
/// Interval at which closings and refusals for want of memory are counted and logged.
const MEMORY_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a request is tried on the targets while this VM seems to be cut off, before a peer serves it.
const REACH_TRIAL_TIME: Duration = Duration::from_millis(100);
/// Customer id under which the queries of all routes run.
const ROUTE_CUSTOMER: &str = "routes";
/// Thousandths in one.
const FULL_PERMILLE: usize = 1_000;

/// Serves callers whose requests are forwarded without being parsed.
pub(crate) struct RouteService {
    settings: DaemonSettings,
    pub(crate) live: LiveSettings,
    pub(crate) dialect: Rc<dyn CallerProtocol>,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) fanout: Rc<FanoutService>,
    pub(crate) unanswered: UnansweredLog,
    pub(crate) peers: Rc<PeerService>,
    pub(crate) metrics: Rc<MetricsService>,
    pub(crate) relays: RelayPool,
    manifests: ManifestCache,
    round_robins: RefCell<HashMap<Arc<str>, WeightedRoundRobin>>,
    pub(crate) listeners: RefCell<Vec<HttpListener>>,
    pub(crate) shutdown: RefCell<ShutdownGate>,
    /// Set when the requests still running must be answered immediately.
    pub(crate) is_stopping: watch::Sender<bool>,
}

impl RouteService {
    /// Binds the listen addresses and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a service is missing.
    pub(crate) async fn start(
        kernel: &Rc<Kernel>,
        dialect: Rc<dyn CallerProtocol>,
    ) -> eyre::Result<Rc<RouteService>> {
        let settings = kernel.settings().clone();
        let live = kernel.live_settings().clone();
        let directory = kernel.directory()?;
        let routes = Rc::new(RouteService {
            dialect,
            fanout: kernel.fanout()?,
            peers: kernel.peers()?,
            metrics: kernel.metrics()?,
            unanswered: UnansweredLog::default(),
            relays: RelayPool::default(),
            manifests: ManifestCache::new(directory.clone(), settings.domain_regions.clone()),
            directory,
            round_robins: RefCell::new(HashMap::new()),
            listeners: RefCell::new(Vec::new()),
            shutdown: RefCell::default(),
            is_stopping: watch::Sender::new(false),
            settings,
            live,
        });
        let addresses = [
            Some(routes.settings.caller_listen),
            routes.settings.readiness_listen,
            routes.settings.address_listen,
        ];
        let machine_bytes = BYTES_PER_MB * routes.settings.memory_mb as usize;
        let memory = Rc::new(MemoryBudget::new(machine_bytes));
        for address in addresses.into_iter().flatten() {
            let handler = {
                let routes = routes.clone();
                Rc::new(move |call| routes.clone().serve(call).boxed_local())
            };
            let body_check: BodyCheck = {
                let routes = routes.clone();
                Rc::new(move |call| routes.needs_body(call))
            };
            let guard = CallerGuard { memory: Some(memory.clone()), body_check: Some(body_check) };
            let listener = HttpListener::bind_guarded(address, default_limits(), handler, guard)?;
            routes.listeners.borrow_mut().push(listener);
        }
        actix_rt::spawn(watch_routes(routes.clone()));
        actix_rt::spawn(watch_memory(routes.clone(), memory));
        Ok(routes)
    }

    /// Returns the address of the caller listener.
    pub(crate) fn address(&self) -> SocketAddr {
        let listeners = self.listeners.borrow();
        listeners.first().map_or(self.settings.caller_listen, HttpListener::address)
    }
}

/// Reading calls and refusing requests.
impl RouteService {
    async fn serve(self: Rc<Self>, call: HttpCall) -> HttpReply {
        match self.dialect.parse_call(call) {
            IncomingCall::Readiness => self.readiness(),
            IncomingCall::Addresses { failure_domain } => {
                let placement = self.manifests.placement();
                let addresses =
                    self.peers.select_addresses_for_caller(failure_domain.as_deref(), &placement);
                self.dialect.address_reply(&addresses, self.live.get().address_keep)
            }
            IncomingCall::Malformed(findings) => {
                log::warn!("malformed request: {findings}");
                HttpReply::empty(StatusCode::BAD_REQUEST).closing()
            }
            IncomingCall::Request(request) => self.serve_request(*request).await,
        }
    }

    /// Returns whether a call, whose body has not been read, may come to run.
    ///
    /// A request that another VM passes on has a digest in place of a key, and was identified there.
    fn needs_body(&self, call: &HttpCall) -> bool {
        if call.headers.contains_key(RELAYED.as_str()) && self.peers.is_vm_address(call.peer.ip()) {
            return true;
        }
        let CallHead::Request { authority, key } = self.dialect.parse_head(call) else {
            return false;
        };
        let routes = self.directory.routes().filter(|_| self.peers.can_serve());
        routes.is_some_and(|routes| {
            let route = routes.table.find(&authority, &call.path);
            route.is_some_and(|route| {
                routes.organisations.identify(route, key.as_ref()) != CallerIdentity::Unknown
            })
        })
    }

    fn readiness(&self) -> HttpReply {
        let is_ready = self.is_routing() && !self.directory.is_leaving();
        match is_ready {
            true => HttpReply::empty(StatusCode::OK),
            false => HttpReply::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns whether routes are active that are proven to be no older than those that an earlier
    /// process served.
    fn is_routing(&self) -> bool {
        self.peers.can_serve() && self.directory.routes().is_some()
    }

    async fn serve_request(&self, mut request: OpaqueRequest) -> HttpReply {
        let relayed_attempts = self.take_relay_headers(&mut request);
        let routes = self.directory.routes().filter(|_| self.peers.can_serve());
        let Some(routes) = routes else {
            self.record_refused_request(&request, "no_configuration");
            return refusal(Some(UNCONFIGURED_RETRY_DELAY));
        };
        let Some(route) = routes.table.find(&request.authority, request.path()).cloned() else {
            log::info!(
                request = request.id.as_str(),
                version = routes.configuration.version,
                outcome = "no_route";
                "{} {} has no route",
                request.authority,
                request.path()
            );
            self.metrics.record_refusal("no_route");
            return HttpReply::empty(StatusCode::NOT_FOUND);
        };
        let identity = routes.organisations.identify(&route, request.key.as_ref());
        if identity == CallerIdentity::Unknown {
            let cause = if request.key.is_some() { "unknown_key" } else { "no_single_key" };
            self.record_refused_request(&request, cause);
            return unknown_key_reply();
        }
        request.organisation = identity.organisation().cloned();
        let request = Rc::new(request);
        if request.head_bytes > routes.configuration.limits.max_head_bytes {
            self.record_refused_request(&request, "head_too_long");
            return HttpReply::empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE).closing();
        }
        if request.body.len() > routes.configuration.limits.max_body_bytes {
            self.record_refused_request(&request, "body_too_long");
            return HttpReply::empty(StatusCode::PAYLOAD_TOO_LARGE).closing();
        }
        if !self.begins_before_stop(&route, &request) {
            return self.refuse_stopping(&request, relayed_attempts.is_some());
        }
        self.run_within_quota(&routes, &route, request, &identity, relayed_attempts).await
    }

    pub(crate) fn record_refused_request(&self, request: &OpaqueRequest, reason: &'static str) {
        self.metrics.record_refusal(reason);
        log::info!(
            request = request.id.as_str(),
            organisation = request.organisation.as_deref(),
            outcome = reason;
            "request refused"
        );
    }
}

/// Running requests.
impl RouteService {
    pub(crate) async fn run(
        &self,
        routes: &ActiveRoutes,
        route: &Arc<RouteContract>,
        request: Rc<OpaqueRequest>,
        relayed_attempts: Option<u8>,
    ) -> RequestEnd {
        let arrived = request.arrived;
        let work = QueryWork::of_request(request.clone());
        if let Some(retry_after) = self.fanout.blocked_time(&work) {
            return RequestEnd::not_run(self.refuse_blocked(route, &request, &work, retry_after));
        }
        let is_idempotent = route.operation == OperationKind::Search;
        let is_relayed = relayed_attempts.is_some();
        let is_trial =
            self.fanout.is_cut_off() && !is_relayed && self.fanout.take_reach_trial(is_idempotent);
        let mut plan = self.plan(routes, route, &request, arrived);
        let attempt_limit = &mut plan.attempt_policy.attempt_limit;
        *attempt_limit = relayed_attempts.map_or(*attempt_limit, |most| most.min(*attempt_limit));
        let terms = RelayTerms {
            deadline: plan.deadline,
            attempts_left: *attempt_limit,
            may_have_run: false,
        };
        if self.fanout.is_cut_off() && !is_trial {
            let reply = self.serve_elsewhere(route, &request, is_relayed, terms).await;
            return RequestEnd::unknown(reply);
        }
        if !is_relayed
            && !is_trial
            && self.fanout.lacks_paths(&plan)
            && let Some(relay) = self.fanout.take_path_relay()
        {
            let reply = self.serve_elsewhere(route, &request, is_relayed, terms).await;
            relay.finish(reply.status().is_success());
            return RequestEnd::unknown(reply);
        }
        let is_gathered = matches!(route.destination, RouteDestination::Sharded(_));
        let payload = QueryPayload::forward(request.clone(), is_gathered);
        let mut run = self.fanout.begin(plan, work, payload);
        let mut stop_signal = self.is_stopping.subscribe();
        let mut reach = self.fanout.subscribe_reach();
        let cut_off = async {
            if is_trial {
                tokio::time::sleep(REACH_TRIAL_TIME).await;
            }
            if reach.wait_for(|tracker| tracker.state() == ReachState::CutOff).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let reply = tokio::select! {
            reply = run.wait() => reply,
            () = cut_off, if is_idempotent => {
                let attempts = run.attempts();
                let may_be_deadly = run.has_broken_call();
                drop(run);
                if may_be_deadly {
                    let terms = terms.after(attempts.max(1));
                    return RequestEnd::unknown(self.unserved_reply(&request, &terms));
                }
                let terms = terms.after(attempts);
                let reply = self.serve_elsewhere(route, &request, is_relayed, terms).await;
                return RequestEnd::unknown(reply);
            }
            _ = stop_signal.wait_for(|is_stopping| *is_stopping) => {
                return RequestEnd::unknown(cut_by_stop(route, &request));
            }
        };
        let Some(FanoutReply { result, payload }) = reply else {
            log::error!(request = request.id.as_str(); "request ended without a result");
            return RequestEnd::unknown(HttpReply::empty(StatusCode::BAD_GATEWAY));
        };
        if self.fanout.is_cut_off() && result.ran == RunState::No {
            let reply = self.serve_elsewhere(route, &request, is_relayed, terms).await;
            return RequestEnd::unknown(reply);
        }
        let (replies, failure) = match payload {
            QueryPayload::Forward { replies, failure, .. } => (replies, failure),
            QueryPayload::Search { .. } => (Vec::new(), None),
        };
        let RouteReply { reply, outcome } =
            route_reply(self.dialect.as_ref(), route, &result, replies, failure);
        let latency = arrived.elapsed();
        if result.ran != RunState::No {
            self.shutdown.borrow_mut().record(&route.name, latency);
        }
        self.metrics.record_route(&route.name, outcome, latency, &result);
        if let Some(organisation) = &request.organisation {
            self.metrics.record_organisation(organisation, outcome);
        }
        log::info!(
            request = request.id.as_str(),
            route = route.name.as_ref(),
            organisation = request.organisation.as_deref(),
            version = routes.configuration.version,
            status = reply.status().as_u16(),
            outcome = outcome,
            reason:? = result.reason,
            ms = milliseconds(latency),
            shards = result.shards_answered,
            of = result.shards_total,
            calls = result.calls_sent,
            extra = result.extra_calls,
            far = result.cross_domain_calls;
            "request finished"
        );
        if matches!(outcome, "refused" | "late" | "failed") {
            self.unanswered.add(UnansweredRequest {
                request: request.id.clone(),
                route: route.name.to_string(),
                outcome: outcome.to_owned(),
                reason: format!("{:?}", result.reason),
                ms: milliseconds(latency),
            });
        }
        RequestEnd { reply, ran: result.ran }
    }

    /// Ends what the requests would still send whose keys were taken away.
    fn withdraw_requests(&self, in_force: &ActiveRoutes) {
        let organisations = &in_force.organisations;
        let withdrawn = self.fanout.withdraw_forwarded(|request| {
            !organisations.still_admits(request.organisation.as_ref(), request.key.as_ref())
        });
        if withdrawn > 0 {
            log::info!(
                version = in_force.configuration.version,
                requests = withdrawn;
                "keys were taken away; requests under way with them send no further calls"
            );
        }
    }

    /// Passes a request on to peers, or tells the peer that passed it on that this VM can't serve it either.
    async fn serve_elsewhere(
        &self,
        route: &RouteContract,
        request: &OpaqueRequest,
        is_relayed: bool,
        terms: RelayTerms,
    ) -> HttpReply {
        if is_relayed {
            return self.refuse_relayed(request, terms.may_have_run);
        }
        let mut stop_signal = self.is_stopping.subscribe();
        tokio::select! {
            reply = self.serve_by_peer(route, request, terms) => reply,
            _ = stop_signal.wait_for(|is_stopping| *is_stopping) => cut_by_stop(route, request),
        }
    }

    /// Refuses a request whose work is blocked. Nothing of it runs.
    fn refuse_blocked(
        &self,
        route: &RouteContract,
        request: &OpaqueRequest,
        work: &QueryWork,
        retry_after: Duration,
    ) -> HttpReply {
        self.metrics.record_refusal("quarantined");
        log::info!(
            request = request.id.as_str(),
            route = route.name.as_ref(),
            work:% = work.fingerprint(),
            outcome = "quarantined",
            retry_after_ms = milliseconds(retry_after);
            "request refused"
        );
        refusal(Some(retry_after))
    }

    fn plan(
        &self,
        routes: &ActiveRoutes,
        route: &Arc<RouteContract>,
        request: &OpaqueRequest,
        arrived: Instant,
    ) -> FanoutPlan {
        let services = self.select_services(route);
        let version = routes.configuration.version;
        let organisation = request.organisation.as_ref();
        let contract = organisation.and_then(|name| routes.organisations.contract(name));
        let homes = HomeRegions::of(route, contract);
        let route_manifest = self.manifests.get(route, version, &services, homes);
        let floor_permille = match &route.destination {
            // Rounded down, since the engine rounds the required number of shards up.
            RouteDestination::Sharded(shards) => {
                shards.min_shards * FULL_PERMILLE / shards.services.len()
            }
            RouteDestination::Single(_) | RouteDestination::Weighted(_) => FULL_PERMILLE,
        };
        FanoutPlan {
            customer: ROUTE_CUSTOMER.into(),
            class: route.name.clone(),
            manifest: route_manifest.manifest,
            deadline: arrived + time_limit(route, request),
            coverage_floor_permille: u32::try_from(floor_permille).unwrap_or(u32::MAX),
            preference: AnswerPreference::Coverage,
            priority: ClassPriority::Interactive,
            urgency: routes.organisations.urgency(route, request.organisation.as_ref()),
            extra_load_permille: self.live.get().extra_permille,
            objective: Some(arrived + route.latency_objective),
            attempt_policy: AttemptPolicy {
                is_idempotent: route.operation == OperationKind::Search,
                attempt_limit: u8::try_from(route.attempt_limit).unwrap_or(u8::MAX),
                budget: BudgetOwner::Services(route_manifest.services),
            },
        }
    }

    /// Returns the services that a request is sent to, one per shard.
    fn select_services<'a>(&self, route: &'a RouteContract) -> Vec<&'a ServiceId> {
        match &route.destination {
            RouteDestination::Single(_) | RouteDestination::Sharded(_) => {
                route.destination.services()
            }
            RouteDestination::Weighted(shares) => {
                let mut round_robins = self.round_robins.borrow_mut();
                let round_robin = round_robins.entry(route.name.clone()).or_default();
                let chosen = round_robin.next(shares).unwrap_or_default();
                vec![&shares[chosen].service]
            }
        }
    }
}

/// Returns the limits that apply until the first routes are active.
fn default_limits() -> HttpLimits {
    HttpLimits { max_connections: MAX_CALLER_CONNECTIONS, ..HttpLimits::default() }
}

fn http_limits(limits: &CallerLimits) -> HttpLimits {
    HttpLimits {
        max_connections: MAX_CALLER_CONNECTIONS,
        max_head_bytes: limits.max_head_bytes.saturating_add(HEAD_SLACK_BYTES),
        max_body_bytes: limits.max_body_bytes,
        head_timeout: limits.head_timeout,
        keep_alive: limits.idle_timeout,
        ..HttpLimits::default()
    }
}

/// Counts and logs what was closed and refused since memory was short, once an interval.
async fn watch_memory(routes: Rc<RouteService>, memory: Rc<MemoryBudget>) {
    let mut before = (0, 0);
    loop {
        tokio::time::sleep(MEMORY_LOG_INTERVAL).await;
        let now = memory.closed_and_refused();
        if now != before {
            let (closed, refused) = (now.0 - before.0, now.1 - before.1);
            routes.metrics.record_refusals("memory", closed + refused);
            log::warn!(closed = closed, refused = refused; "memory for callers is short, the slowest are closed");
        }
        before = now;
    }
}

/// Applies the limits of the active routes to the caller listener, and the keys taken away to the running requests,
/// whenever they change.
async fn watch_routes(routes: Rc<RouteService>) {
    let mut changes = routes.directory.target_changes();
    let mut last_version = None;
    while changes.changed().await.is_ok() {
        let Some(in_force) = routes.directory.routes() else { continue };
        let version = Some(in_force.configuration.version);
        if std::mem::replace(&mut last_version, version) != version {
            routes.withdraw_requests(&in_force);
            routes.forget_old_routes(&in_force.configuration);
        }
        if let Some(listener) = routes.listeners.borrow().first() {
            listener.set_limits(http_limits(&in_force.configuration.limits));
        }
    }
}
