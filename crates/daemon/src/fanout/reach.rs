//! Whether this VM reaches the targets.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::ReachState;
use oleanderwind_policy::ReachTracker;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::fanout::FanoutService;
use crate::fanout::quarantine::CallWitness;
use crate::targets::HealthReply;
use crate::targets::PathObserver;
use crate::time::milliseconds;

/// Interval at which a VM that is cut off asks one target for its health.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which the reply is waited for. A busy target may have it wait for a slot.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time in which a target that is reachable accepts a connection.
const PATH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Thousandths in one.
const FULL_PERMILLE: usize = 1_000;
/// Time after which a call that is cancelled without a reply counts as silence of its target.
const CANCELLED_CALL_TIME: Duration = Duration::from_millis(100);

impl FanoutService {
    /// Returns whether this VM reaches no target, while targets are likely to live.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reach.borrow().state() == ReachState::CutOff
    }

    /// Subscribes to changes of whether this VM reaches targets.
    pub(crate) fn subscribe_reach(&self) -> watch::Receiver<ReachTracker> {
        self.reach.subscribe()
    }

    /// Takes the permission to try one request on the targets while this VM is cut off.
    pub(crate) fn take_reach_trial(&self, is_idempotent: bool) -> bool {
        let mut is_due = false;
        // The state does not change, so that nobody is notified.
        self.reach.send_if_modified(|tracker| {
            let listed = self.targets.addresses().len();
            is_due = tracker.take_trial(is_idempotent, listed, Instant::now());
            false
        });
        is_due
    }

    /// Records a reply of a target.
    pub(crate) fn record_reply(&self) {
        let now = Instant::now();
        if !self.reach.send_if_modified(|tracker| tracker.record_reply(now)) {
            return;
        }
        let cut_for = self.cut_off_at.take().map(|at| now.duration_since(at));
        log::info!(cut_off_ms = cut_for.map(milliseconds); "targets are reached again");
        self.metrics.record_reach("reached");
        self.engine.borrow_mut().forget_failures(now);
        self.timer_changes.notify_one();
        self.peers.announce_reach(ReachState::Reaching);
    }

    /// Records that a call begun at `begun_at` ended without a reply of its target.
    pub(crate) fn record_silence(self: &Rc<Self>, witness: &CallWitness, begun_at: Instant) {
        let now = Instant::now();
        let work = witness.work.hash(self.hash_seed);
        let target = &witness.target;
        let record =
            |tracker: &mut ReachTracker| tracker.record_silence(target, work, begun_at, now);
        if !self.reach.send_if_modified(record) {
            return;
        }
        let silent = self.reach.borrow().silent_targets();
        log::warn!(silent_targets = silent; "no target is reached, requests are passed on to peers");
        self.metrics.record_reach("cut_off");
        self.cut_off_at.set(Some(now));
        self.peers.announce_reach(ReachState::CutOff);
        actix_rt::spawn(probe_targets(self.clone()));
    }

    /// Records the cancelling of a call begun at `begun_at`.
    pub(crate) fn record_cancelled_call(self: &Rc<Self>, witness: &CallWitness, begun_at: Instant) {
        if begun_at.elapsed() >= CANCELLED_CALL_TIME {
            self.record_silence(witness, begun_at);
        }
    }
}

/// Paths to single targets.
impl FanoutService {
    /// Returns whether too many shards of the query have no target that this VM has a connection to or can open one to.
    pub(crate) fn lacks_paths(&self, plan: &FanoutPlan) -> bool {
        let paths = self.paths.borrow();
        if !paths.has_refused() {
            return false;
        }
        let is_lost =
            |target: &TargetId| paths.is_refused(target) && !self.targets.has_idle(target);
        let shards = &plan.manifest.shards;
        let lost = shards
            .iter()
            .filter(|shard| !shard.targets.is_empty() && shard.targets.iter().all(is_lost));
        let floor = usize::try_from(plan.coverage_floor_permille).unwrap_or(FULL_PERMILLE);
        let needed = (shards.len() * floor).div_ceil(FULL_PERMILLE);
        shards.len() - lost.count() < needed
    }

    /// Takes the permission to pass a request on whose targets this VM can't connect to.
    pub(crate) fn take_path_relay(self: &Rc<Self>) -> Option<PathRelay> {
        let is_due = self.paths.borrow_mut().take_relay(Instant::now());
        is_due.then(|| PathRelay { fanout: self.clone(), is_served: None })
    }

    fn record_path(self: &Rc<Self>, target: &TargetId, is_open: bool) {
        let mut paths = self.paths.borrow_mut();
        match is_open {
            true => paths.record_accepted(target),
            false => paths.record_refused(target, Instant::now()),
        }
        if paths.has_refused() && !self.is_probing_paths.replace(true) {
            actix_rt::spawn(probe_paths(self.clone()));
        }
    }
}

/// Permission to pass a request on, which reports the result when it is dropped.
pub(crate) struct PathRelay {
    fanout: Rc<FanoutService>,
    is_served: Option<bool>,
}

impl PathRelay {
    /// Records whether the request was served.
    pub(crate) fn finish(mut self, is_served: bool) {
        self.is_served = Some(is_served);
    }
}

impl Drop for PathRelay {
    fn drop(&mut self) {
        self.fanout.paths.borrow_mut().record_relay(self.is_served, Instant::now());
    }
}

/// Returns an observer that records which targets accept new connections.
pub(crate) fn path_observer(fanout: &Rc<FanoutService>) -> PathObserver {
    let fanout = Rc::downgrade(fanout);
    Rc::new(move |target, is_open| {
        if let Some(fanout) = fanout.upgrade() {
            fanout.record_path(target, is_open);
        }
    })
}

/// Connects to one target after the other that refuses connections until one accepts, as requests that need them are
/// passed on.
async fn probe_paths(fanout: Rc<FanoutService>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let is_listed = |target: &TargetId| fanout.targets.process(target).is_some();
        fanout.paths.borrow_mut().retain_listed(is_listed);
        let next = fanout.paths.borrow().next_probe();
        let process = next.and_then(|target| Some((fanout.targets.process(&target)?, target)));
        let Some((process, target)) = process else { break };
        let connected = timeout(PATH_PROBE_TIMEOUT, TcpStream::connect(process.address)).await;
        fanout.record_path(&target, matches!(connected, Ok(Ok(_))));
    }
    fanout.is_probing_paths.set(false);
}

/// Asks one target after the other for its health until a reply shows that they are reached again, whether callers send
/// requests or not. At most `PROBE_TIMEOUT / PROBE_INTERVAL` checks are under way.
async fn probe_targets(fanout: Rc<FanoutService>) {
    while fanout.is_cut_off() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let Some(spec) = fanout.directory.targets().choose(&mut rand::rng()).cloned() else {
            continue;
        };
        actix_rt::spawn(probe_target(fanout.clone(), spec));
    }
}

async fn probe_target(fanout: Rc<FanoutService>, spec: TargetSpec) {
    let path = fanout.directory.health_path(&spec.service);
    match fanout.targets.ask_health(spec.address, path.as_deref(), PROBE_TIMEOUT).await {
        HealthReply::Replied => fanout.record_reply(),
        // A connection that is accepted proves little: a request is tried then.
        HealthReply::Connected => {
            fanout.reach.send_if_modified(|tracker| {
                tracker.record_accepted(&spec.target);
                false
            });
        }
        HealthReply::Unreachable => {}
    }
}
