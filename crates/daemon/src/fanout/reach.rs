//! Whether this VM reaches the targets.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ReachState;
use oleanderwind_policy::ReachTracker;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::fanout::FanoutService;
use crate::fanout::quarantine::CallWitness;
use crate::time::milliseconds;

/// Interval at which a VM that is cut off tries to connect to one target.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which a target that is reachable accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
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

    /// Takes the permission to try one request on the targets while this VM is cut off: one of them accepted a connection.
    pub(crate) fn take_reach_trial(&self) -> bool {
        self.is_reach_trial_due.take()
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

/// Connects to one target after the other until a reply shows that they are reached again.
///
/// A connection that is accepted proves little: a request is tried then.
async fn probe_targets(fanout: Rc<FanoutService>) {
    while fanout.is_cut_off() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let Some(address) = fanout.targets.addresses().into_iter().choose(&mut rand::rng()) else {
            continue;
        };
        if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            fanout.is_reach_trial_due.set(true);
        }
    }
}
