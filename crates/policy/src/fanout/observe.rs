//! Updates of target state from the platform, from peers and from replies.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::CallId;
use crate::CallPermit;
use crate::CustomerId;
use crate::FailureDomainId;
use crate::FanoutEngine;
use crate::FanoutEvent;
use crate::FanoutResult;
use crate::PermitRequest;
use crate::QueryId;
use crate::RefusalCause;
use crate::RequestRate;
use crate::TargetId;
use crate::TargetSpec;
use crate::fanout::engine::OpenCall;
use crate::fanout::timer::TimerKind;
use crate::routing::TargetIndex;

impl FanoutEngine {
    /// Replaces the platform's list of targets.
    ///
    /// A target that announced its draining itself stays draining until the platform has listed it
    /// as draining, or removed it from the list, and then lists it as ready again.
    pub fn apply_targets(&mut self, targets: Vec<TargetSpec>, now: Instant) {
        self.current_time = Some(now);
        self.targets.apply_specs(&targets, now);
        for index in self.targets.indices() {
            self.schedule_queue_service(index);
        }
    }

    /// Sets the evacuated failure domains. Their targets get no new call from then on; calls that wait for one are sent to
    /// others or given up, and what is under way ends. Targets of a domain that is none any more get one call at a time
    /// at first.
    pub fn set_evacuated(&mut self, domains: BTreeSet<FailureDomainId>, now: Instant) {
        self.current_time = Some(now);
        self.targets.set_evacuated(domains);
        for index in self.targets.indices() {
            self.schedule_queue_service(index);
        }
    }

    /// Records that a target announced, to this VM or to a peer, that it is draining.
    pub fn mark_draining(&mut self, target: &TargetId, now: Instant) {
        self.current_time = Some(now);
        let index = self.targets.intern(target);
        self.targets.state_mut(index).mark_draining();
        self.schedule_queue_service(index);
    }

    /// Records that a process of a target announced that it leaves; returns whether that is new.
    ///
    /// It gets no new call from then on, whatever the platform lists; a later process does.
    pub fn mark_leaving(&mut self, target: &TargetId, incarnation: u64, now: Instant) -> bool {
        self.current_time = Some(now);
        let index = self.targets.intern(target);
        let is_new = self.targets.state_mut(index).mark_leaving(incarnation);
        self.schedule_queue_service(index);
        is_new
    }

    /// Records that a process of a target asked for no calls for `pause`, which replaces an earlier
    /// pause; returns whether it is the listed process.
    ///
    /// Calls that wait for the target are sent to others or given up. `wall` is the time now on the wall clock: the pause
    /// stays if a process is listed later at the same address that had started by then.
    pub fn pause_target(
        &mut self,
        target: &TargetId,
        incarnation: u64,
        pause: Duration,
        now: Instant,
        wall: SystemTime,
    ) -> bool {
        self.current_time = Some(now);
        let Some(index) = self.targets.index_of(target) else { return false };
        let is_listed = self.targets.state_mut(index).pause(incarnation, now + pause, wall);
        self.schedule_queue_service(index);
        is_listed
    }

    /// Returns whether a call that has not left yet may still be sent to its target.
    ///
    /// A permit must not have expired by either clock: the steady one stands still while the VM is suspended.
    pub fn may_send(&self, call: CallId, now: Instant, wall: SystemTime) -> bool {
        let open = self.calls.get(&call);
        open.is_some_and(|open| {
            let running = self.queries.get(&open.query);
            !running.is_some_and(|running| running.is_withdrawn)
                && self.targets.state(open.target).may_send(open.permit.as_ref(), now, wall)
        })
    }

    /// Returns the most calls for one shard of a running query that a target may have run; 0 if it has ended.
    pub fn attempts_used(&self, query: QueryId) -> u8 {
        let running = self.queries.get(&query);
        let shards = running.map_or(&[][..], |running| &running.shards[..]);
        shards.iter().map(|shard| shard.attempts).max().unwrap_or(0)
    }

    /// Returns whether the call's target is the last one of its shard that seems to live, of several that are listed.
    pub fn is_last_live_replica(&self, call: CallId, now: Instant) -> bool {
        let Some(open) = self.calls.get(&call) else { return false };
        let Some(running) = self.queries.get(&open.query) else { return false };
        let replicas = &running.resolved.shards[open.position as usize].replicas;
        let lives = |target: &TargetIndex| {
            let state = self.targets.state(*target);
            state.accepts_calls(now) && !state.backoff.is_failing()
        };
        let mut others = replicas.iter().filter(|target| **target != open.target);
        replicas.len() > 1 && !others.any(lives)
    }

    /// Forgets the failures of all targets, as the cause was not theirs.
    pub fn forget_failures(&mut self, now: Instant) {
        self.current_time = Some(now);
        for index in self.targets.indices() {
            self.targets.state_mut(index).forget_failures();
            self.schedule_queue_service(index);
        }
    }

    /// Sets the rate limit that a process of a target named, or its end if `rate` is `None`.
    ///
    /// From then on a call to it needs a permit.
    pub fn set_limit(
        &mut self,
        target: &TargetId,
        incarnation: u64,
        rate: Option<RequestRate>,
        now: Instant,
    ) {
        self.current_time = Some(now);
        let Some(index) = self.targets.index_of(target) else { return };
        self.targets.state_mut(index).set_limit(incarnation, rate);
        self.schedule_queue_service(index);
    }

    /// Returns the permits that the driver has to ask for. Each request has to be answered with
    /// [`add_permits`](FanoutEngine::add_permits).
    pub fn take_permit_requests(&mut self) -> Vec<PermitRequest> {
        self.targets.take_permit_requests()
    }

    /// Adds permits that were asked for; no further ones are to be had before `closed_until`.
    pub fn add_permits(
        &mut self,
        request: &PermitRequest,
        permits: &[CallPermit],
        closed_until: Option<Instant>,
        now: Instant,
    ) {
        self.current_time = Some(now);
        let Some(index) = self.targets.index_of(&request.target) else { return };
        let Some(stock) = self.targets.state_mut(index).stock_of(request.incarnation) else {
            return;
        };
        let lacks_more = stock.add(permits, closed_until);
        for permit in permits {
            let at = permit.usable_from().max(now);
            self.push_timer(0, 0, 0, at, TimerKind::ServeQueue(index));
        }
        if lacks_more {
            self.targets.want_permits(index, 0, now);
        }
        self.schedule_queue_service(index);
    }

    /// Sets how many calls may be in flight to a target at once. Each call uses one connection.
    ///
    /// Until this is set, the connection limit from the target's specification applies.
    pub fn set_connection_budget(&mut self, target: &TargetId, connections: u32) {
        let index = self.targets.intern(target);
        self.targets.state_mut(index).window.set_connection_budget(connections);
        self.schedule_queue_service(index);
    }

    /// Sets the number of extra calls that this VM may send to each service in any window, beyond
    /// the share of its primary calls.
    pub fn set_service_share(&mut self, calls: u32, now: Instant) {
        self.budgets.set_service_share(calls, now);
    }

    /// Charges a customer for a run whose request is run again: its primary calls become extra
    /// calls.
    pub fn charge_repeated_run(
        &mut self,
        customer: &CustomerId,
        result: &FanoutResult,
        extra_load_permille: u32,
        now: Instant,
    ) {
        let budget = self.budgets.customer_budget(customer, now);
        let budget = self.budgets.budget_mut(budget, now);
        for _ in result.extra_calls..result.calls_sent {
            budget.charge_primary_call(extra_load_permille);
        }
    }

    /// Updates the state of an event's target and releases the call's slot there.
    pub(crate) fn record_event(&mut self, event: &FanoutEvent, open: &OpenCall, now: Instant) {
        let elapsed = now.saturating_duration_since(open.sent_at);
        let state = self.targets.state_mut(open.target);
        match event {
            FanoutEvent::Answered { load, draining, .. } => {
                state.record_answer(elapsed, *load, now);
                state.mark_draining_if(*draining);
                self.record_latency(open, elapsed);
            }
            FanoutEvent::Refused { cause, load, draining, .. } => {
                state.record_refusal(*cause, *load, now);
                state.mark_draining_if(*draining || *cause == RefusalCause::Draining);
            }
            FanoutEvent::Unsent { .. }
            | FanoutEvent::Failed { .. }
            | FanoutEvent::Quarantined { has_ended_target: true, .. } => state.record_failure(now),
            FanoutEvent::Withdrawn { .. } | FanoutEvent::Quarantined { .. } => {}
        }
        self.targets.state_mut(open.target).close_call(open.sent_at);
        self.freed_targets.push(open.target);
    }

    /// Schedules the target's queue to be served at the next wake, if calls are queued.
    pub(crate) fn schedule_queue_service(&mut self, target: TargetIndex) {
        let Some(now) = self.current_time else { return };
        if self.targets.state(target).queue.len() > 0 {
            self.push_timer(0, 0, 0, now, TimerKind::ServeQueue(target));
        }
    }

    fn record_latency(&mut self, open: &OpenCall, elapsed: Duration) {
        if let Some(running) = self.queries.get(&open.query) {
            let latency = running.resolved.shards[open.position as usize].latency;
            self.latencies.record(latency, elapsed);
        }
    }
}
