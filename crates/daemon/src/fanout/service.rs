//! Queries as the other services start them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ExecutorOutcome;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FleetShape;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::directory::DirectoryService;
use crate::edge::CallerProtocol;
use crate::fanout::FanoutReply;
use crate::fanout::QueryPayload;
use crate::fanout::driver::connection_share;
use crate::fanout::driver::run_timers;
use crate::fanout::payload::CallAnswer;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::peers::PeerService;
use crate::settings::DaemonSettings;
use crate::settings::LiveSettings;
use crate::targets::TargetService;

/// How often a drain looks for running queries.
const DRAIN_POLL: Duration = Duration::from_millis(5);
/// Bits of the VM's hash that go into call ids.
const CALL_PREFIX_MASK: u64 = 0x00ff_ffff;

/// A query as the driver holds it.
pub(crate) struct DrivenQuery {
    pub(crate) plan: FanoutPlan,
    pub(crate) payload: QueryPayload,
    pub(crate) reply: oneshot::Sender<FanoutReply>,
}

/// The engine with what it keeps no bytes of.
pub(crate) struct FanoutService {
    pub(crate) engine: RefCell<FanoutEngine>,
    pub(crate) queries: RefCell<HashMap<QueryId, DrivenQuery>>,
    pub(crate) answers: RefCell<HashMap<CallId, CallAnswer>>,
    /// Calls under way that end by being dropped.
    pub(crate) forwards: RefCell<HashMap<CallId, JoinHandle<()>>>,
    /// How opaque requests are spelled, if the VM serves them.
    pub(crate) dialect: Option<Rc<dyn CallerProtocol>>,
    pub(crate) targets: Rc<TargetService>,
    pub(crate) peers: Rc<PeerService>,
    pub(crate) timer_changes: Notify,
    settings: LiveSettings,
    next_query: Cell<QueryId>,
}

impl FanoutService {
    /// Starts the timers and follows the directory's targets.
    pub(crate) fn start(
        kernel: &Rc<Kernel>,
        dialect: Option<Rc<dyn CallerProtocol>>,
    ) -> Result<Rc<FanoutService>, KernelError> {
        let directory = kernel.directory()?;
        let fanout = Rc::new(FanoutService {
            engine: RefCell::new(FanoutEngine::new(engine_settings(kernel.settings()))),
            queries: RefCell::new(HashMap::new()),
            answers: RefCell::new(HashMap::new()),
            forwards: RefCell::new(HashMap::new()),
            dialect,
            targets: kernel.targets()?,
            peers: kernel.peers()?,
            timer_changes: Notify::new(),
            settings: kernel.live_settings().clone(),
            next_query: Cell::new(1),
        });
        actix_rt::spawn(follow_targets(fanout.clone(), directory));
        actix_rt::spawn(follow_departures(fanout.clone()));
        actix_rt::spawn(run_timers(fanout.clone()));
        Ok(fanout)
    }

    /// Runs a query to its end; dropping the future abandons it.
    pub(crate) async fn run(
        self: &Rc<Self>,
        plan: FanoutPlan,
        payload: QueryPayload,
    ) -> Option<FanoutReply> {
        let query = self.next_query.get();
        self.next_query.set(query + 1);
        let (sender, receiver) = oneshot::channel();
        let driven = DrivenQuery { plan: plan.clone(), payload, reply: sender };
        self.queries.borrow_mut().insert(query, driven);
        let guard = AbandonGuard { fanout: self.clone(), query };
        self.submit(query, plan);
        let reply = receiver.await.ok();
        drop(guard);
        reply
    }

    /// Tells the engine of the targets and of this VM's share of their connections.
    fn apply_targets(&self, specs: Vec<TargetSpec>, fleet: FleetShape) {
        let mut engine = self.engine.borrow_mut();
        for spec in &specs {
            let share = connection_share(spec.connection_limit, fleet.vms);
            engine.set_connection_budget(&spec.target, share.active);
        }
        engine.set_service_burst(fleet.slack_share(self.settings.get().extra_slack));
        engine.apply_targets(specs, Instant::now());
        self.timer_changes.notify_one();
    }

    /// Notes that a target said, here or to a peer, that it is leaving.
    pub(crate) fn mark_draining(&self, target: &TargetId) {
        self.engine.borrow_mut().mark_draining(target, Instant::now());
        self.timer_changes.notify_one();
    }

    /// Chooses a target for a call that may not be repeated and takes room there.
    pub(crate) fn pick_executor(
        &self,
        service: &ServiceId,
        provider: &ProviderId,
    ) -> Option<TargetId> {
        self.engine.borrow_mut().pick_executor(service, provider, Instant::now())
    }

    /// Gives back the room that [`FanoutService::pick_executor`] took, exactly once.
    pub(crate) fn release_executor(&self, target: &TargetId, outcome: ExecutorOutcome) {
        self.engine.borrow_mut().release_executor(target, outcome, Instant::now());
        // A query may wait for the room.
        self.timer_changes.notify_one();
    }

    /// A fresh call id.
    pub(crate) fn next_call_id(&self) -> CallId {
        self.engine.borrow_mut().next_call_id()
    }

    /// Waits for running queries; each ends by its deadline.
    pub(crate) async fn drain(&self) {
        while !self.queries.borrow().is_empty() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

/// Abandons a query whose caller went away.
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
    engine.floor_wait = settings.floor_wait;
    engine.own_domain = Some(settings.failure_domain.clone());
    engine.crossing_cost = settings.crossing_cost;
    engine.answer_margin = settings.answer_margin;
    // The process start is mixed in, so that a restarted VM reuses no call id.
    let start = std::time::SystemTime::now();
    let since = start.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mixed = settings.seed ^ u64::try_from(since.as_nanos()).unwrap_or(u64::MAX);
    let hash = xxhash_rust::xxh3::xxh3_64(&mixed.to_le_bytes());
    engine.call_id_prefix = u32::try_from(hash & CALL_PREFIX_MASK).unwrap_or_default();
    engine
}

/// Tells the engine of the departures that peers heard of.
async fn follow_departures(fanout: Rc<FanoutService>) {
    let Some(mut news) = fanout.peers.take_peer_drains() else { return };
    while let Some(target) = news.recv().await {
        fanout.mark_draining(&target);
    }
}

/// Tells the engine and the pools of every change of targets and of the fleet that shares them.
async fn follow_targets(fanout: Rc<FanoutService>, directory: Rc<DirectoryService>) {
    let mut changes = directory.target_changes();
    let mut shapes = fanout.peers.subscribe_fleet_shape();
    loop {
        let specs = directory.targets();
        let fleet = *shapes.borrow_and_update();
        let share = |spec: &TargetSpec| connection_share(spec.connection_limit, fleet.vms);
        fanout.targets.apply_targets(&specs, share);
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
