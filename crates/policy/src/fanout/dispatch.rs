//! Sending a shard's calls: the first, its hedge and its retries.

use std::time::Duration;
use std::time::Instant;

use crate::FanoutAction;
use crate::FanoutEngine;
use crate::QueryId;
use crate::RefusalCause;
use crate::fanout::engine::OpenCall;
use crate::fanout::plan::MAX_SENDS;
use crate::fanout::query::LossCause;
use crate::fanout::query::RunningQuery;
use crate::fanout::query::ShardState;
use crate::fanout::query::replica_bit;
use crate::fanout::timer::TimerKind;
use crate::routing::TargetChoice;
use crate::routing::TargetIndex;

/// A whole, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;
/// Pause before a replica that refused or failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

impl FanoutEngine {
    /// Sends a shard's next call, lets it wait, or gives the shard up.
    pub(crate) fn dispatch(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if self.latest_start(running, position) < now {
            return running.lose(position, LossCause::TooLate);
        }
        let shard = &running.shards[position];
        let is_extra = shard.sends > 0;
        let may_repeat = may_repeat(running, position);
        if is_extra && !(may_repeat && self.has_extra_credit(running, position)) {
            let cause = unpaid_cause(running, position);
            return running.lose(position, cause);
        }
        let skipped = shard.tried | shard.excluded;
        match self.choose(running, position, skipped, now) {
            TargetChoice::Target(target) => {
                self.send(query, running, position, target, now, actions);
            }
            TargetChoice::NoRoom => self.enqueue(query, running, position),
            TargetChoice::NoTarget => self.pause(query, running, position, now),
        }
    }

    /// Sends a second call for a shard whose first is slow, where that is worth it.
    pub(crate) fn hedge(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let resolved = running.resolved.clone();
        let replicas = &resolved.shards[position].replicas;
        let is_shedding =
            replicas.iter().any(|target| self.targets.state(*target).is_shedding(now));
        let is_late = self.latest_start(running, position) < now;
        let may_hedge = running.plan.attempt_policy.is_idempotent && may_repeat(running, position);
        if is_shedding || is_late || !may_hedge || !self.has_hedge_credit(running, position) {
            return;
        }
        let skipped = running.shards[position].tried | running.shards[position].excluded;
        let choice = self.choose(running, position, skipped, now);
        let TargetChoice::Target(target) = choice else { return };
        let state = self.targets.state(target);
        let is_hopeful = !state.backoff.is_failing() && !state.is_lapsed();
        if is_hopeful && !state.is_overdue(now) {
            self.send(query, running, position, target, now, actions);
        }
    }

    /// Sends a shard's call to a target; an extra one is paid from the budget.
    pub(crate) fn send(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        target: TargetIndex,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if !self.pay(running, position) {
            let cause = unpaid_cause(running, position);
            return running.lose(position, cause);
        }
        let call = self.next_call_id();
        let replicas = &running.resolved.shards[position].replicas;
        let replica = replicas.iter().position(|other| *other == target).unwrap_or(0);
        let state = self.targets.state_mut(target);
        state.open_call(now);
        running.cross_domain_calls += u32::from(state.is_far);
        actions.push(FanoutAction::Send {
            query,
            call,
            target: state.target.clone(),
            shard: running.plan.manifest.shards[position].shard,
            index_version: running.plan.manifest.index_version,
            deadline: running.answer_by,
        });
        let open = OpenCall {
            query,
            position: u32::try_from(position).unwrap_or(u32::MAX),
            replica: u32::try_from(replica).unwrap_or(u32::MAX),
            target,
            sent_at: now,
        };
        self.calls.insert(call, open);
        let shard = &mut running.shards[position];
        let is_hedge = shard.has_open();
        let free = usize::from(shard.open[0].is_some());
        shard.open[free] = Some(call);
        shard.tried |= replica_bit(replica);
        shard.sends += 1;
        shard.attempts += 1;
        shard.enter(ShardState::Open);
        if !is_hedge && replicas.len() > 1 && running.plan.attempt_policy.is_idempotent {
            self.plan_hedge(query, running, position, now);
        }
    }

    /// Acts on a refusal.
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
            running.shards[open.position as usize].excluded |= replica_bit(open.replica as usize);
        }
        self.retry(running, open, cause, now, actions);
    }

    /// Acts on a failed call.
    pub(crate) fn retry_failed(
        &mut self,
        running: &mut RunningQuery,
        open: &OpenCall,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if !running.plan.attempt_policy.is_idempotent {
            return running.lose(open.position as usize, LossCause::NoTarget);
        }
        self.retry(running, open, LossCause::NoTarget, now, actions);
    }

    /// Acts on a call of which nothing left this VM: it counts as never sent.
    pub(crate) fn retry_unsent(
        &mut self,
        running: &mut RunningQuery,
        open: &OpenCall,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let position = open.position as usize;
        let shard = &mut running.shards[position];
        shard.attempts = shard.attempts.saturating_sub(1);
        shard.sends = shard.sends.saturating_sub(1);
        shard.unsent += 1;
        running.calls_sent = running.calls_sent.saturating_sub(1);
        let budget = self.budgets.budget_mut(running.budget(position));
        match running.shards[position].sends {
            0 => budget.unearn(running.plan.extra_load_permille),
            _ => {
                budget.refund();
                running.extra_calls = running.extra_calls.saturating_sub(1);
            }
        }
        let shard = &running.shards[position];
        if shard.unsent >= MAX_SENDS && !shard.has_open() {
            return running.lose(position, LossCause::NoTarget);
        }
        self.retry(running, open, LossCause::NoTarget, now, actions);
    }

    /// The latest time at which a call for the shard can still be answered in time.
    pub(crate) fn latest_start(&self, running: &RunningQuery, position: usize) -> Instant {
        let latency = running.resolved.shards[position].latency;
        let fastest = self.latencies.estimate(latency).fastest;
        running.answer_by.checked_sub(fastest).unwrap_or(running.answer_by)
    }

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
        if !shard.has_open() {
            shard.enter(ShardState::Fresh);
            self.dispatch(open.query, running, position, now, actions);
        }
    }

    /// Chooses among the replicas that are not in `skipped`.
    fn choose(
        &mut self,
        running: &RunningQuery,
        position: usize,
        skipped: u64,
        now: Instant,
    ) -> TargetChoice {
        let replicas = running.resolved.shards[position].replicas.iter().enumerate();
        let candidates = replicas
            .filter(move |(replica, _)| skipped & replica_bit(*replica) == 0)
            .map(|(_, target)| *target);
        self.targets_compared += candidates.clone().count() as u64;
        self.settings.routing.choose(&mut self.targets, candidates, &mut self.generator, now)
    }

    /// Lets a shard whose replicas were all tried try again a little later, or gives it up.
    fn pause(&mut self, query: QueryId, running: &mut RunningQuery, position: usize, now: Instant) {
        let shard = &running.shards[position];
        let replicas = running.resolved.shards[position].replicas.iter().enumerate();
        let is_any_left = replicas
            .filter(|(replica, _)| shard.excluded & replica_bit(*replica) == 0)
            .any(|(_, target)| self.targets.state(*target).is_usable());
        let retry_at = now + RETRY_PAUSE;
        if !is_any_left {
            return running.lose(position, shard.last_cause);
        }
        if retry_at > self.latest_start(running, position) {
            return running.lose(position, LossCause::TooLate);
        }
        let shard = &mut running.shards[position];
        shard.enter(ShardState::Paused);
        let step = shard.step;
        self.push_timer(query, position, step, retry_at, TimerKind::Retry);
    }

    fn plan_hedge(
        &mut self,
        query: QueryId,
        running: &RunningQuery,
        position: usize,
        now: Instant,
    ) {
        let latency = running.resolved.shards[position].latency;
        let quantile = self.latencies.estimate(latency).hedge;
        let Some(delay) = self.settings.hedge.delay(quantile) else { return };
        let delay = running.objective_at.map_or(delay, |at| {
            let left = at.saturating_duration_since(now);
            delay.min(left * self.settings.hedge_objective_permille / WHOLE_PERMILLE)
        });
        if now + delay < running.answer_by {
            let step = running.shards[position].step;
            self.push_timer(query, position, step, now + delay, TimerKind::Hedge);
        }
    }

    fn has_extra_credit(&mut self, running: &RunningQuery, position: usize) -> bool {
        let is_allowed = running.plan.extra_load_permille > 0;
        is_allowed && self.budgets.budget_mut(running.budget(position)).has_credit()
    }

    fn has_hedge_credit(&mut self, running: &RunningQuery, position: usize) -> bool {
        let is_allowed = running.plan.extra_load_permille > 0;
        is_allowed && self.budgets.budget_mut(running.budget(position)).has_hedge_credit()
    }

    /// Books a call: a shard's first earns budget, each further one spends it.
    fn pay(&mut self, running: &mut RunningQuery, position: usize) -> bool {
        let budget = self.budgets.budget_mut(running.budget(position));
        if running.shards[position].sends > 0 {
            if !budget.try_spend() {
                return false;
            }
            running.extra_calls += 1;
        } else {
            budget.earn(running.plan.extra_load_permille);
        }
        running.calls_sent += 1;
        true
    }
}

/// Whether another target may run a shard's call.
fn may_repeat(running: &RunningQuery, position: usize) -> bool {
    let shard = &running.shards[position];
    shard.sends < MAX_SENDS && shard.attempts < running.plan.attempt_policy.max_attempts
}

/// Why a shard is lost that may send no further call: a snapshot counts as unknown only once no
/// replica is left that may hold it.
fn unpaid_cause(running: &RunningQuery, position: usize) -> LossCause {
    let shard = &running.shards[position];
    let replicas = running.resolved.shards[position].replicas.len();
    let is_any_left = (0..replicas).any(|replica| shard.excluded & replica_bit(replica) == 0);
    match shard.last_cause {
        LossCause::SnapshotUnknown if is_any_left => LossCause::SnapshotUnpaid,
        cause => cause,
    }
}
