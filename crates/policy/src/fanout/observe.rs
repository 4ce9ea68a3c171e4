//! What the engine learns of targets, from the platform, from peers and from their replies.

use std::time::Instant;

use crate::FanoutEngine;
use crate::FanoutEvent;
use crate::RefusalCause;
use crate::TargetId;
use crate::TargetSpec;
use crate::fanout::engine::OpenCall;
use crate::fanout::timer::TimerKind;
use crate::routing::TargetIndex;

impl FanoutEngine {
    /// Replaces what the platform says of the targets.
    ///
    /// A target that said it is leaving stays so until the platform has listed it as draining, or
    /// not at all, and lists it ready again.
    pub fn apply_targets(&mut self, targets: Vec<TargetSpec>, now: Instant) {
        self.latest = Some(now);
        self.targets.apply(&targets, now);
        for index in self.targets.indices() {
            self.serve_later(index);
        }
    }

    /// Notes that a target said, here or to a peer, that it is leaving.
    pub fn mark_draining(&mut self, target: &TargetId, now: Instant) {
        self.latest = Some(now);
        let index = self.targets.intern(target);
        self.targets.state_mut(index).drain();
        self.serve_later(index);
    }

    /// How many calls may be open to a target at once, one a connection.
    ///
    /// Before the first word of it, the target's own connection limit counts.
    pub fn set_connection_budget(&mut self, target: &TargetId, connections: u32) {
        let index = self.targets.intern(target);
        self.targets.state_mut(index).window.set_budget(connections);
        self.serve_later(index);
    }

    /// Sets how many extra calls this VM may save up for each service.
    pub fn set_service_burst(&mut self, calls: u32) {
        self.budgets.set_service_burst(calls);
    }

    /// Takes in what an event says of its target, and closes the call there.
    pub(crate) fn note_event(&mut self, event: &FanoutEvent, open: &OpenCall, now: Instant) {
        let elapsed = now.saturating_duration_since(open.sent_at);
        let state = self.targets.state_mut(open.target);
        match event {
            FanoutEvent::Answered { load, draining, .. } => {
                state.note_answer(elapsed, *load, now);
                state.drain_if(*draining);
                self.note_latency(open, elapsed);
            }
            FanoutEvent::Refused { cause, load, draining, .. } => {
                state.note_refusal(*cause, *load, now);
                state.drain_if(*draining || *cause == RefusalCause::Draining);
            }
            FanoutEvent::Unsent { .. } | FanoutEvent::Failed { .. } => state.note_failure(now),
        }
        self.targets.state_mut(open.target).close_call(open.sent_at);
        self.freed.push(open.target);
    }

    /// Lets the next wake look at a target's queue, when calls wait there.
    pub(crate) fn serve_later(&mut self, target: TargetIndex) {
        let Some(latest) = self.latest else { return };
        if self.targets.state(target).queue.len() > 0 {
            self.push_timer(0, 0, 0, latest, TimerKind::Serve(target));
        }
    }

    fn note_latency(&mut self, open: &OpenCall, elapsed: std::time::Duration) {
        if let Some(running) = self.queries.get(&open.query) {
            let latency = running.resolved.shards[open.position as usize].latency;
            self.latencies.record(latency, elapsed);
        }
    }
}
