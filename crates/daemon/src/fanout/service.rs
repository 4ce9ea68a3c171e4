//! The service through which other services run queries.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use actix_rt::task::JoinHandle;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ColdTargetTable;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::ExecutorOutcome;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FleetShape;
use oleanderwind_policy::PathTracker;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::ReachTracker;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use oleanderwind_policy::WorkFingerprint;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::directory::DirectoryService;
use crate::edge::CallerProtocol;
use crate::edge::OpaqueRequest;
use crate::edge::TargetNotice;
use crate::fanout::FanoutReply;
use crate::fanout::QueryPayload;
use crate::fanout::QueryWork;
use crate::fanout::driver::connection_share;
use crate::fanout::driver::run_timers;
use crate::fanout::evacuations::watch_evacuations;
use crate::fanout::limits::watch_limits;
use crate::fanout::payload::CallAnswer;
use crate::fanout::quarantine::CallWitness;
use crate::fanout::reach::path_observer;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::metrics::MetricsService;
use crate::peers::PeerService;
use crate::settings::DaemonSettings;
use crate::settings::LiveSettings;
use crate::targets::ReplyObserver;
use crate::targets::TargetService;
use crate::time::milliseconds;

/// Interval at which a drain checks for running queries.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bits of the process hash used as the call id prefix.
const CALL_ID_PREFIX_MASK: u64 = 0x00ff_ffff;

/// A running query, as seen by the driver.
pub(crate) struct RunningQuery {
    pub(crate) plan: FanoutPlan,
    pub(crate) work: Rc<QueryWork>,
    pub(crate) payload: QueryPayload,
    pub(crate) reply: oneshot::Sender<FanoutReply>,
    /// Whether a connection broke under one of its calls, which may be due to its work.
    pub(crate) has_broken_call: bool,
}

/// A forwarded call in flight. Aborting the task cancels the call.
pub(crate) struct ForwardTask {
    pub(crate) task: JoinHandle<()>,
    pub(crate) witness: Rc<CallWitness>,
    pub(crate) begun_at: Instant,
}

/// The fan-out engine, with the requests, answers and tasks of its queries and calls.
pub(crate) struct FanoutService {
    pub(crate) engine: RefCell<FanoutEngine>,
    pub(crate) queries: RefCell<HashMap<QueryId, RunningQuery>>,
    pub(crate) pending_answers: RefCell<HashMap<CallId, CallAnswer>>,
    /// Forwarded calls in flight.
    pub(crate) forward_tasks: RefCell<HashMap<CallId, ForwardTask>>,
    /// Protocol of opaque requests, if this VM serves them.
    pub(crate) dialect: Option<Rc<dyn CallerProtocol>>,
    pub(crate) targets: Rc<TargetService>,
    pub(crate) peers: Rc<PeerService>,
    pub(crate) timer_changes: Notify,
    /// Work of which this VM has or asks for a trial.
    pub(crate) local_trials: RefCell<HashSet<WorkFingerprint>>,
    /// Notified when one of them ends.
    pub(crate) trial_ends: Notify,
    /// Seed of the hashes of answered work, which callers don't know.
    pub(crate) hash_seed: u64,
    /// Targets of services that name a rate for cold targets.
    pub(crate) cold_targets: RefCell<ColdTargetTable>,
    /// Processes of targets that named a rate limit which is not a rate.
    pub(crate) unreadable_limits: RefCell<HashSet<(TargetId, u64)>>,
    /// Whether this VM reaches the targets; receivers are notified when that changes.
    pub(crate) reach: watch::Sender<ReachTracker>,
    pub(crate) cut_off_at: Cell<Option<Instant>>,
    /// New connections to single targets.
    pub(crate) paths: RefCell<PathTracker>,
    /// Whether targets that refuse new connections are being tried.
    pub(crate) is_probing_paths: Cell<bool>,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) metrics: Rc<MetricsService>,
    settings: LiveSettings,
    next_query: Cell<QueryId>,
}

impl FanoutService {
    /// Creates the engine and spawns the tasks that run its timers and update its targets.
    ///
    /// # Errors
    ///
    /// Returns an error if a service that it depends on is missing.
    pub(crate) fn start(
        kernel: &Rc<Kernel>,
        dialect: Option<Rc<dyn CallerProtocol>>,
    ) -> Result<Rc<FanoutService>, KernelError> {
        let directory = kernel.directory()?;
        let fanout = Rc::new(FanoutService {
            engine: RefCell::new(FanoutEngine::new(engine_settings(kernel.settings()))),
            queries: RefCell::new(HashMap::new()),
            pending_answers: RefCell::new(HashMap::new()),
            forward_tasks: RefCell::new(HashMap::new()),
            dialect,
            targets: kernel.targets()?,
            peers: kernel.peers()?,
            timer_changes: Notify::new(),
            local_trials: RefCell::new(HashSet::new()),
            trial_ends: Notify::new(),
            hash_seed: rand::random(),
            cold_targets: RefCell::default(),
            unreadable_limits: RefCell::default(),
            reach: watch::Sender::default(),
            cut_off_at: Cell::default(),
            paths: RefCell::default(),
            is_probing_paths: Cell::default(),
            directory: directory.clone(),
            metrics: kernel.metrics()?,
            settings: kernel.live_settings().clone(),
            next_query: Cell::new(1),
        });
        fanout.targets.set_reply_observer(notice_observer(&fanout));
        fanout.targets.set_path_observer(path_observer(&fanout));
        actix_rt::spawn(watch_targets(fanout.clone(), directory));
        actix_rt::spawn(watch_drains(fanout.clone()));
        actix_rt::spawn(watch_limits(fanout.clone()));
        actix_rt::spawn(watch_evacuations(fanout.clone()));
        actix_rt::spawn(run_timers(fanout.clone()));
        Ok(fanout)
    }

    /// Runs a query to its end. Dropping the future abandons the query.
    ///
    /// Returns `None` if the query ended without a result.
    pub(crate) async fn run(
        self: &Rc<Self>,
        plan: FanoutPlan,
        work: Rc<QueryWork>,
        payload: QueryPayload,
    ) -> Option<FanoutReply> {
        self.begin(plan, work, payload).wait().await
    }

    /// Starts a query. Dropping the result abandons it.
    pub(crate) fn begin(
        self: &Rc<Self>,
        plan: FanoutPlan,
        work: Rc<QueryWork>,
        payload: QueryPayload,
    ) -> QueryRun {
        let query = self.next_query.get();
        self.next_query.set(query + 1);
        let (sender, receiver) = oneshot::channel();
        let running = RunningQuery {
            plan: plan.clone(),
            work,
            payload,
            reply: sender,
            has_broken_call: false,
        };
        self.queries.borrow_mut().insert(query, running);
        let guard = AbandonGuard { fanout: self.clone(), query };
        self.submit(query, plan);
        QueryRun { receiver, guard }
    }

    /// Passes the targets to the engine, with this VM's shares of their connections and of the
    /// slack.
    fn apply_targets(&self, specs: Vec<TargetSpec>, fleet: FleetShape) {
        let mut engine = self.engine.borrow_mut();
        for spec in &specs {
            let share = connection_share(spec.connection_limit, fleet.vms);
            engine.set_connection_budget(&spec.target, share.active);
        }
        let now = Instant::now();
        engine.set_service_share(fleet.slack_share(self.settings.get().extra_slack), now);
        let limits: Vec<_> = self.peers.limits_of(&specs);
        engine.apply_targets(specs, now);
        for record in limits {
            engine.set_limit(&record.target, record.incarnation, record.rate, now);
        }
        self.timer_changes.notify_one();
    }

    /// Ends what forwarded requests would still send if `is_withdrawn` holds for them; returns their number.
    pub(crate) fn withdraw_forwarded(
        self: &Rc<Self>,
        is_withdrawn: impl Fn(&OpaqueRequest) -> bool,
    ) -> usize {
        let queries = self.queries.borrow();
        let withdrawn = queries.iter().filter(|(_, running)| match &running.payload {
            QueryPayload::Forward { request, .. } => is_withdrawn(request),
            QueryPayload::Search { .. } => false,
        });
        let withdrawn: Vec<QueryId> = withdrawn.map(|(query, _)| *query).collect();
        drop(queries);
        withdrawn.iter().for_each(|query| self.withdraw(*query));
        withdrawn.len()
    }

    /// Records that a connection broke under a call of the query.
    pub(crate) fn mark_broken_call(&self, query: QueryId) {
        if let Some(running) = self.queries.borrow_mut().get_mut(&query) {
            running.has_broken_call = true;
        }
    }

    /// Records that a call leaves this VM now.
    pub(crate) fn mark_sent(&self, call: CallId) {
        self.engine.borrow_mut().mark_sent(call, Instant::now());
    }

    /// Records that a target announced, to this VM or to a peer, that it is draining.
    pub(crate) fn mark_draining(&self, target: &TargetId) {
        self.engine.borrow_mut().mark_draining(target, Instant::now());
        self.timer_changes.notify_one();
    }

    /// Handles a notice that a process of a target gave with a reply.
    fn handle_target_notice(&self, target: &TargetId, incarnation: u64, notice: TargetNotice) {
        if notice.is_leaving && self.mark_leaving(target, incarnation, "answer") {
            self.peers.handle_target_drain(target, incarnation);
        }
        if let Some(pause) = notice.pause {
            let now = Instant::now();
            let mut engine = self.engine.borrow_mut();
            let is_listed = engine.pause_target(target, incarnation, pause, now, SystemTime::now());
            drop(engine);
            if is_listed {
                log::info!(
                    target = target.as_ref(),
                    incarnation = incarnation,
                    pause_ms = milliseconds(pause);
                    "target asked for a pause"
                );
                self.metrics.record_target_notice("pause");
                self.timer_changes.notify_one();
            }
        }
    }

    /// Records that a process of a target leaves, by its own word; returns whether that is new.
    fn mark_leaving(&self, target: &TargetId, incarnation: u64, source: &str) -> bool {
        let is_new = self.engine.borrow_mut().mark_leaving(target, incarnation, Instant::now());
        if is_new {
            log::info!(
                target = target.as_ref(),
                incarnation = incarnation,
                state = "draining",
                source = source;
                "target is leaving"
            );
            self.metrics.record_target_notice("leaving");
            self.targets.retire(target, incarnation);
            self.timer_changes.notify_one();
        }
        is_new
    }

    /// Charges a run whose request is run again to its customer's budget of extra calls.
    pub(crate) fn charge_repeated_run(&self, contract: &CustomerContract, result: &FanoutResult) {
        let permille = contract.extra_load_permille;
        let now = Instant::now();
        self.engine.borrow_mut().charge_repeated_run(&contract.customer, result, permille, now);
    }

    /// Chooses a target for a call that must not be sent twice and reserves a slot there.
    pub(crate) fn pick_executor(
        self: &Rc<Self>,
        service: &ServiceId,
        provider: &ProviderId,
    ) -> Option<TargetId> {
        let target = self.engine.borrow_mut().pick_executor(service, provider, Instant::now());
        self.request_permits();
        target
    }

    /// Releases the slot that [`FanoutService::pick_executor`] reserved and records the outcome.
    ///
    /// Must be called exactly once for each reserved slot.
    pub(crate) fn release_executor(&self, target: &TargetId, outcome: ExecutorOutcome) {
        self.engine.borrow_mut().release_executor(target, outcome, Instant::now());
        // Queued calls may be waiting for the slot.
        self.timer_changes.notify_one();
    }

    /// Returns whether a call in a reserved slot may leave now; takes a permit if its target has a rate limit.
    pub(crate) fn permit_executor(&self, target: &TargetId) -> bool {
        self.engine.borrow_mut().permit_executor(target, Instant::now(), SystemTime::now())
    }

    /// Returns a call id that has not been used before.
    pub(crate) fn next_call_id(&self) -> CallId {
        self.engine.borrow_mut().next_call_id()
    }

    /// Waits until no query is running. Each query ends by its deadline.
    pub(crate) async fn drain(&self) {
        while !self.queries.borrow().is_empty() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// A query that was started. It is abandoned if it is dropped while it is still running.
pub(crate) struct QueryRun {
    receiver: oneshot::Receiver<FanoutReply>,
    guard: AbandonGuard,
}

impl QueryRun {
    /// Waits until the query ends; returns `None` if it ends without a result. Must not be called again then.
    pub(crate) async fn wait(&mut self) -> Option<FanoutReply> {
        (&mut self.receiver).await.ok()
    }

    /// Returns whether a connection broke under one of its calls. Its work may have ended targets then.
    pub(crate) fn has_broken_call(&self) -> bool {
        let queries = self.guard.fanout.queries.borrow();
        queries.get(&self.guard.query).is_some_and(|running| running.has_broken_call)
    }

    /// Returns the most targets of one shard that may have run the query so far.
    pub(crate) fn attempts(&self) -> u8 {
        self.guard.fanout.engine.borrow().attempts_used(self.guard.query)
    }
}

/// Abandons its query if it is dropped while the query is still running.
struct AbandonGuard {
    fanout: Rc<FanoutService>,
    query: QueryId,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.fanout.queries.borrow_mut().remove(&self.query).is_some() {
            self.fanout.abandon(self.query);
        }
    }
}

fn engine_settings(settings: &DaemonSettings) -> FanoutSettings {
    let mut engine = FanoutSettings::default();
    engine.seed = settings.seed;
    engine.hedge = settings.hedge;
    engine.routing = settings.routing;
    engine.load_news = settings.load_news;
    engine.floor_wait = settings.floor_wait;
    engine.own_domain = Some(settings.failure_domain.clone());
    engine.crossing_cost = settings.crossing_cost;
    engine.answer_margin = settings.answer_margin;
    engine.service_window = settings.extra_window;
    // The start time is part of the hash, so that a restarted VM does not reuse call ids.
    let start = std::time::SystemTime::now();
    let since_epoch = start.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let hash_input = settings.seed ^ u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX);
    let hash = xxhash_rust::xxh3::xxh3_64(&hash_input.to_le_bytes());
    engine.call_id_prefix = u32::try_from(hash & CALL_ID_PREFIX_MASK).unwrap_or_default();
    engine
}

/// Marks targets as draining that peers report as draining.
async fn watch_drains(fanout: Rc<FanoutService>) {
    let Some(mut draining_targets) = fanout.peers.take_peer_drains() else { return };
    while let Some(record) = draining_targets.recv().await {
        match record.incarnation {
            0 => fanout.mark_draining(&record.target),
            incarnation => drop(fanout.mark_leaving(&record.target, incarnation, "peer")),
        }
    }
}

/// Returns an observer that reads the notices of targets from the heads of their replies.
fn notice_observer(fanout: &Rc<FanoutService>) -> ReplyObserver {
    let fanout = Rc::downgrade(fanout);
    Rc::new(move |target, incarnation, status, headers| {
        let Some(fanout) = fanout.upgrade() else { return };
        fanout.record_reply();
        let Some(dialect) = &fanout.dialect else { return };
        let notice = dialect.parse_target_notice(status, headers);
        fanout.handle_target_notice(target, incarnation, notice);
    })
}

/// Updates the engine and the connection pools whenever the targets or the fleet change.
async fn watch_targets(fanout: Rc<FanoutService>, directory: Rc<DirectoryService>) {
    let mut changes = directory.target_changes();
    let mut shapes = fanout.peers.subscribe_fleet_shape();
    loop {
        let specs = directory.targets();
        let fleet = *shapes.borrow_and_update();
        let share = |spec: &TargetSpec| connection_share(spec.connection_limit, fleet.vms);
        fanout.targets.apply_targets(&specs, share);
        fanout.note_cold_targets(&specs, &directory.cold_rates());
        fanout.apply_targets(specs, fleet);
        let changed = tokio::select! {
            changed = changes.changed() => changed,
            changed = shapes.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
