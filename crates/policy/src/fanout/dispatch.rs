//! Sending the calls for a shard: the first call, its hedge and its retries.

use std::time::Duration;
use std::time::Instant;

use crate::FanoutAction;
use crate::FanoutEngine;
use crate::QueryId;
use crate::RefusalCause;
use crate::fanout::engine::OpenCall;
use crate::fanout::plan::MAX_SENDS_PER_SHARD;
use crate::fanout::query::LossCause;
use crate::fanout::query::RunningQuery;
use crate::fanout::query::ShardState;
use crate::fanout::query::replica_bit;
use crate::fanout::timer::TimerKind;
use crate::routing::TargetChoice;
use crate::routing::TargetIndex;

/// Thousandths in one.
const PERMILLE_SCALE: u32 = 1_000;
/// Delay before replicas that refused or failed are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

impl FanoutEngine {
    /// Sends the next call for a shard, queues it, schedules a retry, or gives the shard up.
    pub(crate) fn dispatch(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if running.is_withdrawn {
            return running.give_up_shard(position, LossCause::Withdrawn);
        }
        if self.latest_start(running, position) < now {
            return running.give_up_shard(position, LossCause::TooLate);
        }
        let shard = &running.shards[position];
        let is_extra = shard.sends > 0;
        let has_attempts_left = has_attempts_left(running, position);
        if is_extra && !(has_attempts_left && self.has_retry_credit(running, position, now)) {
            let cause = exhausted_cause(running, position);
            return running.give_up_shard(position, cause);
        }
        let skipped = shard.tried_replicas | shard.excluded_replicas;
        match self.choose_target(running, position, skipped, is_extra, now) {
            TargetChoice::Target(target) => {
                self.send(query, running, position, target, now, actions);
            }
            TargetChoice::NoCapacity => self.enqueue(query, running, position, now),
            TargetChoice::NoTarget => self.schedule_retry(query, running, position, now),
        }
    }

    /// Sends a hedge for a shard whose call in flight is slow.
    ///
    /// Waits on if the call was sent later than the engine asked for it. Sends none if a replica is shedding load, the hedge could not be answered in time, the query
    /// is not idempotent, its attempts or the budget are used up, or the chosen target is failing,
    /// no longer listed (lapsed) or overdue.
    pub(crate) fn hedge(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if let Some(due) = self.hedge_due(running, position, now).filter(|due| *due > now) {
            return self.schedule_hedge(query, running, position, due);
        }
        let resolved = running.resolved.clone();
        let replicas = &resolved.shards[position].replicas;
        let is_shedding =
            replicas.iter().any(|target| self.targets.state(*target).is_shedding(now));
        let is_late = self.latest_start(running, position) < now;
        let allows_second_call =
            running.plan.attempt_policy.is_idempotent && has_attempts_left(running, position);
        if running.is_withdrawn
            || is_shedding
            || is_late
            || !allows_second_call
            || !self.has_hedge_credit(running, position, now)
        {
            return;
        }
        let skipped =
            running.shards[position].tried_replicas | running.shards[position].excluded_replicas;
        let choice = self.choose_target(running, position, skipped, true, now);
        let TargetChoice::Target(target) = choice else { return };
        let state = self.targets.state(target);
        let is_healthy = !state.backoff.is_failing() && !state.is_lapsed();
        if is_healthy && !state.is_overdue(now) {
            self.send(query, running, position, target, now, actions);
        }
    }

    /// Sends a call for a shard to `target` and accounts for it in the budget.
    ///
    /// Gives the shard up if the credit does not cover an extra call.
    pub(crate) fn send(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        target: TargetIndex,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if !self.account_for_call(running, position, now) {
            let cause = exhausted_cause(running, position);
            return running.give_up_shard(position, cause);
        }
        let call = self.next_call_id();
        let replicas = &running.resolved.shards[position].replicas;
        let replica = replicas.iter().position(|other| *other == target).unwrap_or(0);
        let state = self.targets.state_mut(target);
        state.open_call(now);
        let permit = state.take_permit(now);
        running.cross_domain_calls += u32::from(state.is_cross_domain);
        actions.push(FanoutAction::Send {
            query,
            call,
            target: state.target.clone(),
            shard: running.plan.manifest.shards[position].shard,
            index_version: running.plan.manifest.index_version,
            deadline: running.answer_by,
        });
        let is_hedgeable = replicas.len() > 1
            && running.plan.attempt_policy.is_idempotent
            && !running.shards[position].has_open_call();
        let hedge_delay = match is_hedgeable {
            true => self.hedge_delay(running, position, now),
            false => None,
        };
        let open = OpenCall {
            query,
            position: u32::try_from(position).unwrap_or(u32::MAX),
            replica: u32::try_from(replica).unwrap_or(u32::MAX),
            target,
            sent_at: now,
            is_sent: false,
            hedge_delay,
            permit,
        };
        self.calls.insert(call, open);
        let shard = &mut running.shards[position];
        let free = usize::from(shard.open[0].is_some());
        shard.open[free] = Some(call);
        shard.tried_replicas |= replica_bit(replica);
        shard.sends += 1;
        shard.attempts += 1;
        shard.set_state(ShardState::InFlight);
        if let Some(delay) = hedge_delay {
            self.schedule_hedge(query, running, position, now + delay);
        }
        if permit.is_some() {
            // The calls that wait may have to go elsewhere now.
            self.schedule_queue_service(target);
        }
    }

    /// Retries a refused call. A final refusal excludes the replica for the rest of the query.
    pub(crate) fn retry_refused(
        &mut self,
        running: &mut RunningQuery,
        open: &OpenCall,
        cause: RefusalCause,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let (cause, is_final) = match cause {
            RefusalCause::Shedding | RefusalCause::Cancelled => (LossCause::Busy, false),
            RefusalCause::DeadlinePassed => (LossCause::TooLate, false),
            RefusalCause::SnapshotUnknown => (LossCause::SnapshotUnknown, true),
            RefusalCause::Draining | RefusalCause::Malformed => (LossCause::NoTarget, true),
        };
        let shard = &mut running.shards[open.position as usize];
        shard.attempts = shard.attempts.saturating_sub(1);
        if is_final {
            running.shards[open.position as usize].excluded_replicas |=
                replica_bit(open.replica as usize);
        }
        self.retry(running, open, cause, now, actions);
    }

    /// Retries a failed call, or gives the shard up if the query is not idempotent.
    pub(crate) fn retry_failed(
        &mut self,
        running: &mut RunningQuery,
        open: &OpenCall,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if !running.plan.attempt_policy.is_idempotent {
            return running.give_up_shard(open.position as usize, LossCause::NoTarget);
        }
        self.retry(running, open, LossCause::NoTarget, now, actions);
    }

    /// Retries a call of which nothing was sent, and reverses its effect on counters and budget.
    pub(crate) fn retry_unsent(
        &mut self,
        running: &mut RunningQuery,
        open: &OpenCall,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let position = open.position as usize;
        self.revoke_call(running, position, now);
        running.shards[position].unsent += 1;
        let shard = &running.shards[position];
        if shard.unsent >= MAX_SENDS_PER_SHARD && !shard.has_open_call() {
            return running.give_up_shard(position, LossCause::NoTarget);
        }
        self.retry(running, open, LossCause::NoTarget, now, actions);
    }

    /// Reverses the effect of a call of which nothing was sent on counters and budget.
    pub(crate) fn revoke_call(
        &mut self,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
    ) {
        let shard = &mut running.shards[position];
        shard.attempts = shard.attempts.saturating_sub(1);
        shard.sends = shard.sends.saturating_sub(1);
        running.calls_sent = running.calls_sent.saturating_sub(1);
        let budget = self.budgets.budget_mut(running.budget(position), now);
        match running.shards[position].sends {
            0 => budget.revoke_deposit(running.plan.extra_load_permille),
            _ => {
                budget.refund();
                running.extra_calls = running.extra_calls.saturating_sub(1);
            }
        }
    }

    /// Returns the latest time at which a call for the shard can still be answered in time.
    pub(crate) fn latest_start(&self, running: &RunningQuery, position: usize) -> Instant {
        let latency = running.resolved.shards[position].latency;
        let fastest = self.latencies.estimate(latency).min_expected;
        running.answer_by.checked_sub(fastest).unwrap_or(running.answer_by)
    }

    /// Dispatches the shard again unless another call of it is in flight.
    fn retry(
        &mut self,
        running: &mut RunningQuery,
        open: &OpenCall,
        cause: LossCause,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let position = open.position as usize;
        let shard = &mut running.shards[position];
        shard.last_cause = cause;
        if !shard.has_open_call() {
            shard.set_state(ShardState::Undispatched);
            self.dispatch(open.query, running, position, now, actions);
        }
    }

    /// Chooses a target among the replicas whose bits are not set in `skipped`.
    fn choose_target(
        &mut self,
        running: &RunningQuery,
        position: usize,
        skipped: u64,
        is_extra: bool,
        now: Instant,
    ) -> TargetChoice {
        let replicas = running.resolved.shards[position].replicas.iter().enumerate();
        let candidates = replicas
            .filter(move |(replica, _)| skipped & replica_bit(*replica) == 0)
            .map(|(_, target)| *target);
        self.targets_compared += candidates.clone().count() as u64;
        let routing = self.settings.routing;
        routing.choose(&mut self.targets, candidates, is_extra, &mut self.rng, now)
    }

    /// Schedules a retry for a shard whose replicas were all tried, or gives the shard up if none
    /// is usable or a retry would be too late.
    fn schedule_retry(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
    ) {
        let shard = &running.shards[position];
        let replicas = running.resolved.shards[position].replicas.iter().enumerate();
        let mut usable = replicas
            .filter(|(replica, _)| shard.excluded_replicas & replica_bit(*replica) == 0)
            .map(|(_, target)| self.targets.state(*target))
            .filter(|state| state.is_usable())
            .peekable();
        let has_usable = usable.peek().is_some();
        if !usable.any(|state| state.paused_until(now).is_none()) {
            let cause = if has_usable { LossCause::Paused } else { shard.last_cause };
            return running.give_up_shard(position, cause);
        }
        let retry_at = now + RETRY_DELAY;
        if retry_at > self.latest_start(running, position) {
            return running.give_up_shard(position, LossCause::TooLate);
        }
        let shard = &mut running.shards[position];
        shard.set_state(ShardState::Backoff);
        let state_version = shard.state_version;
        self.push_timer(query, position, state_version, retry_at, TimerKind::Retry);
    }

    /// Sets the timer of a hedge, unless it is due too late.
    fn schedule_hedge(
        &mut self,
        query: QueryId,
        running: &RunningQuery,
        position: usize,
        due: Instant,
    ) {
        if due < running.answer_by {
            let state_version = running.shards[position].state_version;
            self.push_timer(query, position, state_version, due, TimerKind::Hedge);
        }
    }

    /// Returns when a hedge of the shard's call in flight is due.
    fn hedge_due(&self, running: &RunningQuery, position: usize, now: Instant) -> Option<Instant> {
        let call = running.shards[position].open.iter().flatten().next()?;
        let open = self.calls.get(call)?;
        let sent_at = if open.is_sent { open.sent_at } else { now };
        Some(sent_at + open.hedge_delay?)
    }

    /// Returns how long after it left a call that is asked for now is hedged.
    fn hedge_delay(
        &self,
        running: &RunningQuery,
        position: usize,
        now: Instant,
    ) -> Option<Duration> {
        let latency = running.resolved.shards[position].latency;
        let hedge_latency = self.latencies.estimate(latency).hedge_latency;
        let delay = self.settings.hedge.delay(hedge_latency)?;
        Some(running.objective_at.map_or(delay, |at| {
            let left = at.saturating_duration_since(now);
            delay.min(left * self.settings.max_hedge_delay_permille / PERMILLE_SCALE)
        }))
    }

    fn has_retry_credit(&mut self, running: &RunningQuery, position: usize, now: Instant) -> bool {
        let is_allowed = running.plan.extra_load_permille > 0;
        is_allowed && self.budgets.budget_mut(running.budget(position), now).has_credit()
    }

    fn has_hedge_credit(&mut self, running: &RunningQuery, position: usize, now: Instant) -> bool {
        let is_allowed = running.plan.extra_load_permille > 0;
        is_allowed && self.budgets.budget_mut(running.budget(position), now).has_hedge_credit()
    }

    /// Accounts for a call in the budget: the first call for a shard adds credit, each extra one
    /// spends it.
    ///
    /// Returns `false` if the credit does not cover an extra call.
    fn account_for_call(
        &mut self,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
    ) -> bool {
        let budget = self.budgets.budget_mut(running.budget(position), now);
        if running.shards[position].sends > 0 {
            if !budget.try_withdraw() {
                return false;
            }
            running.extra_calls += 1;
        } else {
            budget.deposit(running.plan.extra_load_permille);
        }
        running.calls_sent += 1;
        true
    }
}

/// Returns whether the limits on sends and attempts allow another call for the shard.
fn has_attempts_left(running: &RunningQuery, position: usize) -> bool {
    let shard = &running.shards[position];
    shard.sends < MAX_SENDS_PER_SHARD && shard.attempts < running.plan.attempt_policy.attempt_limit
}

/// Returns the cause for giving up a shard for which no further call may be sent.
///
/// The snapshot counts as unknown only if every replica has been excluded: one that was not asked
/// may still hold it.
fn exhausted_cause(running: &RunningQuery, position: usize) -> LossCause {
    let shard = &running.shards[position];
    let replicas = running.resolved.shards[position].replicas.len();
    let has_unexcluded_replica =
        (0..replicas).any(|replica| shard.excluded_replicas & replica_bit(replica) == 0);
    match shard.last_cause {
        LossCause::SnapshotUnknown if has_unexcluded_replica => LossCause::SnapshotUnknownNoRetry,
        cause => cause,
    }
}
