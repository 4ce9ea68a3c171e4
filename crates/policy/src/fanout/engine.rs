//! The engine that holds every running query of one VM.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Instant;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::CallId;
use crate::FanoutAction;
use crate::FanoutEvent;
use crate::FanoutPlan;
use crate::FanoutResult;
use crate::FanoutSettings;
use crate::FinishReason;
use crate::QueryId;
use crate::RequestOutcome;
use crate::RunState;
use crate::ShardId;
use crate::TargetId;
use crate::TargetPhase;
use crate::TargetSpec;

/// Bits of a call id that count calls; the rest is the VM's prefix.
const CALL_COUNTER_BITS: u32 = 40;

/// Every running query of one VM, with what is known of the targets.
pub struct FanoutEngine {
    settings: FanoutSettings,
    generator: Pcg64Mcg,
    targets: HashMap<TargetId, TargetSpec>,
    queries: HashMap<QueryId, RunningQuery>,
    calls: HashMap<CallId, (QueryId, ShardId, TargetId)>,
    deadlines: BinaryHeap<Reverse<(Instant, QueryId)>>,
    next_call: u64,
}

/// One query under way.
struct RunningQuery {
    plan: FanoutPlan,
    open: Vec<CallId>,
    documents_covered: u64,
    shards_answered: u32,
    calls_sent: u32,
}

impl FanoutEngine {
    /// An engine that knows no target yet.
    pub fn new(settings: FanoutSettings) -> FanoutEngine {
        let generator = Pcg64Mcg::seed_from_u64(settings.seed);
        FanoutEngine {
            settings,
            generator,
            targets: HashMap::new(),
            queries: HashMap::new(),
            calls: HashMap::new(),
            deadlines: BinaryHeap::new(),
            next_call: 0,
        }
    }

    /// Replaces what the platform says of the targets.
    pub fn apply_targets(&mut self, targets: Vec<TargetSpec>, _now: Instant) {
        self.targets = targets.into_iter().map(|spec| (spec.target.clone(), spec)).collect();
    }

    /// Notes that a target said, here or to a peer, that it is leaving.
    pub fn mark_draining(&mut self, target: &TargetId, _now: Instant) {
        if let Some(spec) = self.targets.get_mut(target) {
            spec.phase = TargetPhase::Draining;
        }
    }

    /// How many calls may be open to a target at once, one a connection.
    pub fn set_connection_budget(&mut self, _target: &TargetId, _connections: u32) {}

    /// Starts a query.
    pub fn submit(
        &mut self,
        query: QueryId,
        plan: FanoutPlan,
        _now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let mut running = RunningQuery {
            open: Vec::with_capacity(plan.manifest.shards.len()),
            documents_covered: 0,
            shards_answered: 0,
            calls_sent: 0,
            plan,
        };
        self.deadlines.push(Reverse((running.plan.deadline, query)));
        let manifest = running.plan.manifest.clone();
        for entry in &manifest.shards {
            let ready: Vec<&TargetId> =
                entry.targets.iter().filter(|target| self.is_ready(target)).collect();
            let Some(target) = ready.choose(&mut self.generator).map(|target| (*target).clone())
            else {
                continue;
            };
            let call = self.fresh_call();
            self.calls.insert(call, (query, entry.shard, target.clone()));
            running.open.push(call);
            running.calls_sent += 1;
            actions.push(FanoutAction::Send {
                query,
                call,
                target,
                shard: entry.shard,
                index_version: manifest.index_version,
                deadline: running.plan.deadline,
            });
        }
        let is_idle = running.open.is_empty();
        self.queries.insert(query, running);
        if is_idle {
            self.finish(query, FinishReason::ShardLost, actions);
        }
    }

    /// Ends a query whose caller went away.
    pub fn abandon(&mut self, query: QueryId, _now: Instant, actions: &mut Vec<FanoutAction>) {
        self.finish(query, FinishReason::Abandoned, actions);
    }

    /// Takes in what happened to a call.
    pub fn handle(&mut self, event: FanoutEvent, now: Instant, actions: &mut Vec<FanoutAction>) {
        let call = event.call();
        let Some((query, _shard, target)) = self.calls.remove(&call) else { return };
        let draining = match &event {
            FanoutEvent::Answered { draining, .. } | FanoutEvent::Refused { draining, .. } => {
                *draining
            }
            FanoutEvent::Failed { .. } => false,
        };
        if draining {
            self.mark_draining(&target, now);
        }
        let Some(running) = self.queries.get_mut(&query) else { return };
        running.open.retain(|open| *open != call);
        if let FanoutEvent::Answered { documents, .. } = event {
            running.documents_covered += documents;
            running.shards_answered += 1;
            actions.push(FanoutAction::Merge { query, call });
        }
        if running.open.is_empty() {
            let is_whole = running.shards_answered as usize == running.plan.manifest.shards.len();
            let reason = if is_whole { FinishReason::Complete } else { FinishReason::ShardLost };
            self.finish(query, reason, actions);
        }
    }

    /// When [`wake`](FanoutEngine::wake) is due next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.deadlines.peek().map(|Reverse((at, _))| *at)
    }

    /// Acts on every timer that is due.
    pub fn wake(&mut self, now: Instant, actions: &mut Vec<FanoutAction>) {
        while let Some(Reverse((at, query))) = self.deadlines.peek().copied() {
            if at > now {
                return;
            }
            self.deadlines.pop();
            self.finish(query, FinishReason::DeadlineNear, actions);
        }
    }

    fn is_ready(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|spec| spec.phase == TargetPhase::Ready)
    }

    fn fresh_call(&mut self) -> CallId {
        self.next_call += 1;
        (u64::from(self.settings.call_prefix) << CALL_COUNTER_BITS) | self.next_call
    }

    fn finish(&mut self, query: QueryId, reason: FinishReason, actions: &mut Vec<FanoutAction>) {
        let Some(running) = self.queries.remove(&query) else { return };
        for call in &running.open {
            if let Some((_, _, target)) = self.calls.remove(call) {
                actions.push(FanoutAction::Cancel { call: *call, target });
            }
        }
        actions.push(FanoutAction::Finish { query, result: running.result(reason) });
    }
}

impl RunningQuery {
    fn result(&self, reason: FinishReason) -> FanoutResult {
        let documents_total = self.plan.manifest.documents();
        let outcome = match (reason, self.shards_answered) {
            (FinishReason::Complete, _) if self.documents_covered == documents_total => {
                RequestOutcome::Answered
            }
            (_, 0) if self.calls_sent == 0 => RequestOutcome::NotRun,
            _ => RequestOutcome::Partial,
        };
        let ran = if self.calls_sent == 0 { RunState::No } else { RunState::Yes };
        FanoutResult {
            outcome,
            ran,
            documents_covered: self.documents_covered,
            documents_total,
            shards_answered: self.shards_answered,
            shards_total: u32::try_from(self.plan.manifest.shards.len()).unwrap_or(u32::MAX),
            calls_sent: self.calls_sent,
            extra_calls: 0,
            reason,
            retry_after: None,
        }
    }
}
