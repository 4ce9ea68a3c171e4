//! Queueing of shard calls while all targets are at their limits.

use std::time::Instant;

use crate::ClassPriority;
use crate::FanoutAction;
use crate::FanoutEngine;
use crate::FanoutPlan;
use crate::QueryId;
use crate::fanout::query::LossCause;
use crate::fanout::query::RunningQuery;
use crate::fanout::query::ShardState;
use crate::fanout::query::replica_bit;
use crate::fanout::timer::TimerKind;
use crate::routing::TargetIndex;
use crate::slots::CallRank;
use crate::slots::TurnTaker;
use crate::slots::WaitingCall;

impl FanoutEngine {
    /// Adds a copy of a shard's call to the queue of each replica that may take it.
    pub(crate) fn enqueue(
        &mut self,
        query: QueryId,
        running: &mut RunningQuery,
        position: usize,
        now: Instant,
    ) {
        running.shards[position].set_state(ShardState::Queued);
        let shard = &running.shards[position];
        let mut waiting = waiting_call(&running.plan, query);
        waiting.position = u32::try_from(position).unwrap_or(u32::MAX);
        waiting.state_version = shard.state_version;
        let mut copies = 0;
        for (replica, target) in running.resolved.shards[position].replicas.iter().enumerate() {
            let is_skipped =
                (shard.tried_replicas | shard.excluded_replicas) & replica_bit(replica) != 0;
            let is_open = !is_skipped && self.targets.state(*target).accepts_calls(now);
            if !is_open {
                continue;
            }
            waiting.turn = self.targets.state(*target).queue.next_turn(waiting.rank, waiting.taker);
            match self.queue_place(*target, &waiting) {
                QueuePlace::Free => {}
                QueuePlace::Of(displaced) => {
                    self.targets.state_mut(*target).queue.remove(&displaced);
                    self.displaced.push(displaced);
                }
                QueuePlace::None => continue,
            }
            self.targets.state_mut(*target).queue.push(waiting);
            copies += 1;
        }
        if copies == 0 {
            return running.give_up_shard(position, LossCause::Busy);
        }
        let latest_start = self.latest_start(running, position);
        self.push_timer(
            query,
            position,
            waiting.state_version,
            latest_start,
            TimerKind::WaitExpired,
        );
    }

    /// Gives up a shard that is still queued and can no longer be answered in time.
    pub(crate) fn expire_queued(&mut self, running: &mut RunningQuery, position: usize) {
        let shard = &running.shards[position];
        if shard.state == ShardState::Queued {
            running.give_up_shard(position, LossCause::Busy);
        }
    }

    /// Gives up shards that no target can serve, before any call is sent.
    ///
    /// This way a query that can't reach its floor sends no calls at all.
    pub(crate) fn give_up_unservable_shards(&mut self, running: &mut RunningQuery, now: Instant) {
        let mut waiting = waiting_call(&running.plan, QueryId::MAX);
        let resolved = running.resolved.clone();
        for (position, shard) in resolved.shards.iter().enumerate() {
            let mut cause = Some(LossCause::NoTarget);
            for target in &shard.replicas {
                let state = self.targets.state(*target);
                if !state.is_usable() {
                    continue;
                }
                if !state.accepts_calls(now) {
                    cause = cause.map(|cause| cause.max(LossCause::Paused));
                    continue;
                }
                if state.window.has_capacity() {
                    cause = None;
                    break;
                }
                waiting.turn = state.queue.next_turn(waiting.rank, waiting.taker);
                if self.queue_place(*target, &waiting) != QueuePlace::None {
                    cause = None;
                    break;
                }
                cause = Some(LossCause::Busy);
            }
            if let Some(cause) = cause {
                running.give_up_shard(position, cause);
            }
        }
    }

    /// Sends queued calls to the targets that may have gained room.
    pub(crate) fn serve_freed_targets(&mut self, now: Instant, actions: &mut Vec<FanoutAction>) {
        loop {
            // Each may add to the other: a query that ends frees targets, and a call may displace another.
            if let Some(target) = self.freed_targets.pop() {
                self.serve_queue(target, now, actions);
            } else if let Some(displaced) = self.displaced.pop() {
                self.give_up_displaced(&displaced, now, actions);
            } else {
                break;
            }
        }
        self.prune_timers();
    }

    /// Gives up the shard of a call that more urgent ones displaced from the last queue that held it.
    fn give_up_displaced(
        &mut self,
        displaced: &WaitingCall,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        if !self.is_current(displaced) {
            return;
        }
        let position = displaced.position as usize;
        let Some(mut running) = self.queries.remove(&displaced.query) else { return };
        let replicas = &running.resolved.shards[position].replicas;
        let is_held =
            replicas.iter().any(|target| self.targets.state(*target).queue.holds(displaced));
        if !is_held {
            running.give_up_shard(position, LossCause::Busy);
        }
        let reason = running.finish_reason(now);
        self.finish_or_resume(displaced.query, running, reason, now, actions);
    }

    /// Sends the calls queued for a target while it has room.
    fn serve_queue(&mut self, target: TargetIndex, now: Instant, actions: &mut Vec<FanoutAction>) {
        loop {
            let state = self.targets.state_mut(target);
            let is_usable = state.accepts_calls(now);
            if is_usable && !state.has_room(now) {
                return self.want_permits_of_queue(target, now);
            }
            let Some(waiting) = state.queue.pop() else { return };
            if !self.is_current(&waiting) {
                continue;
            }
            let query = waiting.query;
            let position = waiting.position as usize;
            let Some(mut running) = self.queries.remove(&query) else { continue };
            if is_usable && self.latest_start(&running, position) >= now {
                self.send(query, &mut running, position, target, now, actions);
            } else {
                // The target became unusable or the call is too late: `dispatch` chooses another
                // replica or gives the shard up.
                self.dispatch(query, &mut running, position, now, actions);
            }
            let reason = running.finish_reason(now);
            self.finish_or_resume(query, running, reason, now, actions);
        }
    }

    /// Asks for permits if calls wait for a target only because they lack them.
    fn want_permits_of_queue(&mut self, target: TargetIndex, now: Instant) {
        let state = self.targets.state(target);
        if state.window.has_capacity() && state.queue.len() > 0 && state.may_ask_for_permits(now) {
            self.targets.want_permits(target, 1, now);
        }
    }

    /// Returns where a call finds a place in a target's queue: in its room, half of which is reserved
    /// for interactive calls, or instead of a less urgent call.
    ///
    /// Removes stale entries before it reports a full queue.
    fn queue_place(&mut self, target: TargetIndex, waiting: &WaitingCall) -> QueuePlace {
        let limit = match waiting.priority {
            ClassPriority::Interactive => self.settings.queue_limit,
            ClassPriority::Deferrable => self.settings.queue_limit / 2,
        };
        if self.targets.state(target).queue.len() < limit {
            return QueuePlace::Free;
        }
        let queries = &self.queries;
        let queue = &mut self.targets.state_mut(target).queue;
        queue
            .retain(|waiting| is_current_in(queries.get(&waiting.query).map(Box::as_ref), waiting));
        if queue.len() < limit {
            return QueuePlace::Free;
        }
        match waiting.taker {
            Some(_) => queue.displaceable(waiting).map_or(QueuePlace::None, QueuePlace::Of),
            None => QueuePlace::None,
        }
    }

    fn is_current(&self, waiting: &WaitingCall) -> bool {
        is_current_in(self.queries.get(&waiting.query).map(Box::as_ref), waiting)
    }
}

/// Place of a call in a target's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueuePlace {
    /// There is room.
    Free,
    /// That of a less urgent call.
    Of(WaitingCall),
    /// There is none.
    None,
}

/// Returns the waiting call of the first shard of a query, before its first turn.
fn waiting_call(plan: &FanoutPlan, query: QueryId) -> WaitingCall {
    WaitingCall {
        priority: plan.priority,
        rank: CallRank::of(plan.urgency.as_ref()),
        turn: 0,
        deadline: plan.deadline,
        query,
        position: 0,
        state_version: 0,
        taker: plan.urgency.as_ref().map(TurnTaker::of),
    }
}

/// Returns whether a queue entry is current: its query runs and its shard is queued at this state
/// version.
fn is_current_in(running: Option<&RunningQuery>, waiting: &WaitingCall) -> bool {
    running.is_some_and(|running| {
        let shard = &running.shards[waiting.position as usize];
        shard.state == ShardState::Queued && shard.state_version == waiting.state_version
    })
}
