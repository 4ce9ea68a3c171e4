//! Shard calls that wait for room, and their turn when a target has some.

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
    /// Puts a copy of a shard's call into the queue of each replica that may take it.
    pub(crate) fn enqueue(&mut self, query: QueryId, running: &mut RunningQuery, position: usize) {
        running.shards[position].enter(ShardState::Waiting);
        let shard = &running.shards[position];
        let waiting = WaitingCall {
            priority: running.plan.priority,
            deadline: running.plan.deadline,
            query,
            position: u32::try_from(position).unwrap_or(u32::MAX),
            step: shard.step,
        };
        let mut copies = 0;
        for (replica, target) in running.resolved.shards[position].replicas.iter().enumerate() {
            let is_skipped = (shard.tried | shard.excluded) & replica_bit(replica) != 0;
            let is_open = !is_skipped && self.targets.state(*target).is_usable();
            if is_open && self.has_queue_room(*target, waiting.priority) {
                self.targets.state_mut(*target).queue.push(waiting);
                copies += 1;
            }
        }
        if copies == 0 {
            return running.lose(position, LossCause::Busy);
        }
        let latest = self.latest_start(running, position);
        self.push_timer(query, position, waiting.step, latest, TimerKind::WaitExpired);
    }

    /// Gives up a waiting shard that can't make it any more.
    pub(crate) fn expire(&mut self, running: &mut RunningQuery, position: usize) {
        let shard = &running.shards[position];
        if shard.state == ShardState::Waiting {
            running.lose(position, LossCause::Busy);
        }
    }

    /// Marks shards lost that nothing can serve, so that a query without hope sends no call.
    pub(crate) fn refuse_hopeless(&mut self, running: &mut RunningQuery) {
        let priority = running.plan.priority;
        let resolved = running.resolved.clone();
        for (position, shard) in resolved.shards.iter().enumerate() {
            let mut cause = Some(LossCause::NoTarget);
            for target in &shard.replicas {
                let state = self.targets.state(*target);
                if !state.is_usable() {
                    continue;
                }
                if state.window.has_room() || self.has_queue_room(*target, priority) {
                    cause = None;
                    break;
                }
                cause = Some(LossCause::Busy);
            }
            if let Some(cause) = cause {
                running.lose(position, cause);
            }
        }
    }

    /// Sends waiting calls to every target that has got room.
    pub(crate) fn serve_freed(&mut self, now: Instant, actions: &mut Vec<FanoutAction>) {
        while let Some(target) = self.freed.pop() {
            self.serve(target, now, actions);
        }
        self.prune_timers();
    }

    fn serve(&mut self, target: TargetIndex, now: Instant, actions: &mut Vec<FanoutAction>) {
        loop {
            let state = self.targets.state_mut(target);
            let is_usable = state.is_usable();
            if is_usable && !state.window.has_room() {
                return;
            }
            let Some(waiting) = state.queue.pop() else { return };
            if !self.is_waiting(&waiting) {
                continue;
            }
            let query = waiting.query;
            let position = waiting.position as usize;
            let Some(mut running) = self.queries.remove(&query) else { continue };
            if is_usable && self.latest_start(&running, position) >= now {
                self.send(query, &mut running, position, target, now, actions);
            } else {
                // The target is leaving or time has run out: another replica, or none.
                self.dispatch(query, &mut running, position, now, actions);
            }
            let reason = running.verdict(now);
            self.settle(query, running, reason, now, actions);
        }
    }

    /// Whether one more call may wait; deferrable calls leave half of the queue to interactive.
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
            .retain(|waiting| is_waiting_in(queries.get(&waiting.query).map(Box::as_ref), waiting));
        queue.len() < limit
    }

    fn is_waiting(&self, waiting: &WaitingCall) -> bool {
        is_waiting_in(self.queries.get(&waiting.query).map(Box::as_ref), waiting)
    }
}

/// Whether a copy still stands for a waiting shard of its query.
fn is_waiting_in(running: Option<&RunningQuery>, waiting: &WaitingCall) -> bool {
    running.is_some_and(|running| {
        let shard = &running.shards[waiting.position as usize];
        shard.state == ShardState::Waiting && shard.step == waiting.step
    })
}
