//! Rate limits that targets name in their answers, and permits for calls to these targets.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::CallId;
use oleanderwind_policy::CallPermit;
use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitNotice;
use oleanderwind_policy::LimitRecord;
use oleanderwind_policy::PermitRequest;
use oleanderwind_policy::TargetId;

use crate::fanout::FanoutService;
use crate::peers::PermitAnswer;

/// Maximum number of processes that are remembered as naming a limit that is not a rate.
const MAX_UNREADABLE_LIMITS: usize = 1_024;

/// What targets name.
impl FanoutService {
    /// Handles what an answer to a call sent at `sent_at` says of its target's rate limit.
    pub(crate) fn observe_limit(
        &self,
        target: &TargetId,
        incarnation: u64,
        notice: LimitNotice,
        sent_at: Instant,
    ) {
        let rate = match notice {
            LimitNotice::Missing => None,
            LimitNotice::Named(rate) => Some(rate),
            LimitNotice::Unreadable => return self.log_unreadable_limit(target, incarnation),
        };
        if rate.is_some() {
            self.metrics.record_limited_calls("answered", 1);
        }
        let record =
            LimitRecord { target: target.clone(), incarnation, rate, observed_at: sent_at };
        let change = self.peers.observe_limit(&record);
        self.apply_limit(&record, change, "answer");
    }

    /// Puts a rate limit in force, and logs the change.
    fn apply_limit(&self, record: &LimitRecord, change: LimitChange, source: &str) {
        let state = match change {
            LimitChange::Unchanged => return,
            LimitChange::Named => "named",
            LimitChange::Changed => "changed",
            LimitChange::Ended => "ended",
        };
        log::info!(
            target = record.target.as_ref(),
            incarnation = record.incarnation,
            state = state,
            per_second = record.rate.map(|rate| rate.per_second()),
            source = source;
            "rate limit of a target"
        );
        self.metrics.record_target_notice("limit");
        let LimitRecord { target, incarnation, rate, .. } = record;
        self.engine.borrow_mut().set_limit(target, *incarnation, *rate, Instant::now());
        self.timer_changes.notify_one();
    }

    /// Logs once for each process that it named a limit which is not a rate.
    fn log_unreadable_limit(&self, target: &TargetId, incarnation: u64) {
        let mut unreadable = self.unreadable_limits.borrow_mut();
        if unreadable.len() >= MAX_UNREADABLE_LIMITS {
            unreadable.clear();
        }
        if unreadable.insert((target.clone(), incarnation)) {
            log::warn!(
                target = target.as_ref(),
                incarnation = incarnation;
                "rate limit named by a target is not a rate, it changes nothing"
            );
            self.metrics.record_target_notice("unreadable_limit");
        }
    }
}

/// Permits.
impl FanoutService {
    /// Returns whether a call that the engine asked for may still leave, by both clocks.
    pub(crate) fn may_send(&self, call: CallId) -> bool {
        self.engine.borrow().may_send(call, Instant::now(), SystemTime::now())
    }

    /// Asks for the permits that calls lack.
    pub(crate) fn request_permits(self: &Rc<Self>) {
        for request in self.engine.borrow_mut().take_permit_requests() {
            let fanout = self.clone();
            actix_rt::spawn(async move { fanout.request_permit(request).await });
        }
    }

    async fn request_permit(self: &Rc<Self>, request: PermitRequest) {
        let (asked_at, asked_at_wall) = (Instant::now(), SystemTime::now());
        self.metrics.record_limited_calls("asked", u64::from(request.wanted));
        let answer = self.peers.request_permits(&request).await;
        let now = Instant::now();
        let grant = match answer {
            PermitAnswer::Granted(grant) => grant,
            PermitAnswer::Unlimited => {
                let mut engine = self.engine.borrow_mut();
                engine.set_limit(&request.target, request.incarnation, None, now);
                return self.timer_changes.notify_one();
            }
        };
        let permit = |delay: &Duration| CallPermit::new(*delay, asked_at, asked_at_wall, now);
        let permits: Vec<CallPermit> = grant.delays.iter().map(permit).collect();
        let closed_until = (!grant.retry_after.is_zero()).then(|| now + grant.retry_after);
        let step = if permits.is_empty() { "refused" } else { "permitted" };
        let calls = if permits.is_empty() { request.wanted as usize } else { permits.len() };
        self.metrics.record_limited_calls(step, u64::try_from(calls).unwrap_or(u64::MAX));
        self.engine.borrow_mut().add_permits(&request, &permits, closed_until, now);
        self.timer_changes.notify_one();
    }
}

/// Puts rate limits in force that peers report.
pub(crate) async fn watch_limits(fanout: Rc<FanoutService>) {
    let Some(mut limits) = fanout.peers.take_peer_limits() else { return };
    while let Some((record, change)) = limits.recv().await {
        fanout.apply_limit(&record, change, "peer");
    }
}
