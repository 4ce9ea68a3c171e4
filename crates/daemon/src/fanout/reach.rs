//! Whether this VM reaches the targets.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ReachState;
use oleanderwind_policy::ReachTracker;
use oleanderwind_policy::TargetSpec;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use crate::fanout::FanoutService;
use crate::fanout::quarantine::CallWitness;
use crate::targets::HealthReply;
use crate::time::milliseconds;

/// Interval at which a VM that is cut off asks one target for its health.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which the reply is waited for. A busy target may have it wait for a slot.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
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
