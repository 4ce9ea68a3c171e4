//! Queueing of shard calls while all targets are at their limits.

use std::time::Instant;

use crate::ClassPriority;
use crate::FanoutAction;
use crate::FanoutEngine;
use crate::QueryId;
use crate::fanout::query::LossCause;
use crate::fanout::query::RunningQuery;
use crate::fanout::query::ShardState;
use crate::fanout::query::replica_bit;
use crate::fanout::timer::TimerKind;
use crate::routing::TargetIndex;
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
        let waiting = WaitingCall {
            priority: running.plan.priority,
            deadline: running.plan.deadline,
            query,
            position: u32::try_from(position).unwrap_or(u32::MAX),
            state_version: shard.state_version,
        };
        let mut copies = 0;
        for (replica, target) in running.resolved.shards[position].replicas.iter().enumerate() {
            let is_skipped =
                (shard.tried_replicas | shard.excluded_replicas) & replica_bit(replica) != 0;
            let is_open = !is_skipped && self.targets.state(*target).accepts_calls(now);
            if is_open && self.has_queue_room(*target, waiting.priority) {
                self.targets.state_mut(*target).queue.push(waiting);
                copies += 1;
            }
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
        let priority = running.plan.priority;
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
                if state.window.has_capacity() || self.has_queue_room(*target, priority) {
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
        while let Some(target) = self.freed_targets.pop() {
            self.serve_queue(target, now, actions);
        }
        self.prune_timers();
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

    /// Returns whether a target's queue has room. Half of it is reserved for interactive calls.
    ///
    /// Removes stale entries before it reports a full queue.
    fn has_queue_room(&mut self, target: TargetIndex, priority: ClassPriority) -> bool {
        let limit = match priority {
            ClassPriority::Interactive => self.settings.queue_limit,
            ClassPriority::Deferrable => self.settings.queue_limit / 2,
        };
        if self.targets.state(target).queue.len() < limit {
            return true;
        }
        let queries = &self.queries;
        let queue = &mut self.targets.state_mut(target).queue;
        queue
            .retain(|waiting| is_current_in(queries.get(&waiting.query).map(Box::as_ref), waiting));
        queue.len() < limit
    }

    fn is_current(&self, waiting: &WaitingCall) -> bool {
        is_current_in(self.queries.get(&waiting.query).map(Box::as_ref), waiting)
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
