//! Fake targets around one engine, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::FanoutAction;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::ShardEntry;
use oleanderwind_policy::ShardId;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::fake_target::Behaviour;
use crate::fake_target::FakeTarget;

/// Documents of each shard.
pub(crate) const SHARD_DOCUMENTS: u64 = 1_000;
pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// One call as the engine sent it.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) call: CallId,
    pub(crate) query: QueryId,
    pub(crate) target: TargetId,
    pub(crate) shard: ShardId,
    pub(crate) at: Instant,
    /// What the target did with calls then.
    pub(crate) behaviour: Behaviour,
}

pub(crate) struct FakeFleet {
    pub(crate) engine: FanoutEngine,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) targets: BTreeMap<TargetId, FakeTarget>,
    pub(crate) specs: Vec<TargetSpec>,
    pub(crate) manifest: Arc<SnapshotManifest>,
    pub(crate) sent: Vec<SentCall>,
    pub(crate) cancelled: Vec<CallId>,
    pub(crate) finished: BTreeMap<QueryId, (Instant, FanoutResult)>,
    pub(crate) budget: u32,
    /// Extra load that every plan grants, in thousandths.
    pub(crate) extra_permille: u32,
    /// First calls of a shard of a query, and all others.
    pub(crate) primary: u64,
    pub(crate) extra: u64,
    /// Shards of queries that a call was sent for, and those that one arrived for.
    asked: HashSet<(QueryId, ShardId)>,
    begun: HashSet<(QueryId, ShardId)>,
    deadlines: HashMap<QueryId, Instant>,
    open: HashMap<CallId, SentCall>,
    answers: HashMap<CallId, u64>,
    merged: HashMap<QueryId, u64>,
    due: BinaryHeap<Reverse<(Instant, u64, CallId)>>,
    order: u64,
    generator: Pcg64Mcg,
}

impl FakeFleet {
    /// `shards` shards of `replicas` targets `s{shard}r{replica}` with two slots each.
    pub(crate) fn new(settings: FanoutSettings, shards: u32, replicas: u32) -> FakeFleet {
        let name = |shard: u32, replica: u32| TargetId::from(format!("s{shard}r{replica}"));
        let mut targets = BTreeMap::new();
        let mut specs = Vec::new();
        let mut entries = Vec::new();
        for shard in 0..shards {
            for replica in 0..replicas {
                targets.insert(name(shard, replica), FakeTarget::new());
                specs.push(TargetSpec {
                    target: name(shard, replica),
                    service: "courses".into(),
                    provider: "east".into(),
                    address: "127.0.0.1:1".parse().unwrap(),
                    failure_domain: "a".into(),
                    slots: 2,
                    connection_limit: 8,
                    incarnation: 0,
                    phase: TargetPhase::Ready,
                });
            }
            let held = (0..replicas).map(|replica| name(shard, replica)).collect();
            entries.push(ShardEntry { shard, documents: SHARD_DOCUMENTS, targets: held });
        }
        let now = Instant::now();
        let mut engine = FanoutEngine::new(settings);
        engine.apply_targets(specs.clone(), now);
        FakeFleet {
            engine,
            now,
            start: now,
            targets,
            specs,
            manifest: Arc::new(SnapshotManifest {
                service: "courses".into(),
                provider: "east".into(),
                index_version: 1,
                shards: entries,
            }),
            sent: Vec::new(),
            cancelled: Vec::new(),
            finished: BTreeMap::new(),
            budget: 8,
            extra_permille: 100,
            primary: 0,
            extra: 0,
            asked: HashSet::new(),
            begun: HashSet::new(),
            deadlines: HashMap::new(),
            open: HashMap::new(),
            answers: HashMap::new(),
            merged: HashMap::new(),
            due: BinaryHeap::new(),
            order: 0,
            generator: Pcg64Mcg::seed_from_u64(7),
        }
    }

    /// A plan with a deadline of 200 ms, a floor of 500 ‰ and extra load of 100 ‰.
    pub(crate) fn plan(&self) -> FanoutPlan {
        FanoutPlan {
            customer: "library".into(),
            class: "finder".into(),
            manifest: self.manifest.clone(),
            deadline: self.now + ms(200),
            coverage_floor_permille: 500,
            preference: AnswerPreference::Coverage,
            priority: ClassPriority::Interactive,
            extra_load_permille: self.extra_permille,
            objective: None,
            attempt_policy: AttemptPolicy::default(),
        }
    }

    pub(crate) fn target(&mut self, name: &str) -> &mut FakeTarget {
        self.targets.get_mut(name).unwrap()
    }

    pub(crate) fn submit(&mut self, query: QueryId, plan: FanoutPlan) {
        self.deadlines.insert(query, plan.deadline);
        let mut actions = Vec::new();
        self.engine.submit(query, plan, self.now, &mut actions);
        self.carry_out(actions);
    }

    /// Submits `count` queries of `plan`'s kind, one every `gap`, then lets all finish.
    pub(crate) fn submit_every(&mut self, first: QueryId, count: u64, gap: Duration) {
        for query in first..first + count {
            let plan = self.plan();
            self.submit(query, plan);
            self.advance(gap);
        }
        self.advance(ms(400));
    }

    pub(crate) fn handle(&mut self, event: FanoutEvent) {
        let mut actions = Vec::new();
        self.engine.handle(event, self.now, &mut actions);
        self.carry_out(actions);
    }

    pub(crate) fn abandon(&mut self, query: QueryId) {
        let mut actions = Vec::new();
        self.engine.abandon(query, self.now, &mut actions);
        self.carry_out(actions);
    }

    /// Runs virtual time forward.
    pub(crate) fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let event = self.due.peek().map(|Reverse((at, _, _))| *at);
            let wake = self.engine.next_wake();
            let Some(next) = event.into_iter().chain(wake).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if event.is_some_and(|at| at <= self.now) {
                let Some(Reverse((_, _, call))) = self.due.pop() else { break };
                self.complete(call);
            } else {
                let mut actions = Vec::new();
                self.engine.wake(self.now, &mut actions);
                self.carry_out(actions);
            }
        }
        self.now = until;
    }

    /// Calls of a query that a target still has.
    pub(crate) fn open_calls(&self, query: QueryId) -> usize {
        self.open.values().filter(|sent| sent.query == query).count()
    }

    pub(crate) fn result(&self, query: QueryId) -> &FanoutResult {
        &self.finished[&query].1
    }

    /// Time from the plan's start (deadline less 200 ms) to the answer.
    pub(crate) fn latency(&self, query: QueryId) -> Duration {
        let begun = self.deadlines[&query] - ms(200);
        self.finished[&query].0 - begun
    }

    /// Every action in its order, with the invariants that hold for each.
    fn carry_out(&mut self, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { query, call, target, shard, deadline, .. } => {
                    assert!(!self.finished.contains_key(&query), "sent after the end");
                    assert!(deadline <= self.deadlines[&query]);
                    let behaviour = self.behaviour_of(&target);
                    let at = self.now;
                    let sent = SentCall { call, query, target, shard, at, behaviour };
                    self.receive(sent);
                }
                FanoutAction::Merge { query, call } => {
                    assert!(!self.finished.contains_key(&query), "merged after the end");
                    *self.merged.entry(query).or_default() += self.answers[&call];
                }
                FanoutAction::Cancel { call, .. } => {
                    self.cancelled.push(call);
                    self.release(call);
                }
                FanoutAction::Finish { query, result } => {
                    assert!(self.now <= self.deadlines[&query], "answered after the deadline");
                    let merged = self.merged.get(&query).copied().unwrap_or(0);
                    assert_eq!(result.documents_covered, merged, "coverage is what was merged");
                    let before = self.finished.insert(query, (self.now, result));
                    assert!(before.is_none(), "query {query} finished twice");
                }
            }
        }
    }

    /// What a target does with a call that arrives now.
    fn behaviour_of(&mut self, target: &TargetId) -> Behaviour {
        let target = &self.targets[target];
        let is_shed = target.shed_permille > 0
            && self.generator.random_range(0..1_000) < target.shed_permille;
        if is_shed { Behaviour::Refuse(RefusalCause::Shedding) } else { target.behaviour }
    }

    fn receive(&mut self, sent: SentCall) {
        let call = sent.call;
        // A request earns its share whether it arrives or not.
        self.primary += u64::from(self.asked.insert((sent.query, sent.shard)));
        if sent.behaviour == Behaviour::Unreachable {
            // Nothing of it arrives anywhere, so that it is neither a first call nor an extra one.
            self.targets.get_mut(&sent.target).unwrap().open += 1;
            self.schedule(call, ms(1));
            self.open.insert(call, sent);
            return;
        }
        self.extra += u64::from(!self.begun.insert((sent.query, sent.shard)));
        let earned = self.primary * u64::from(self.extra_permille);
        assert!(self.extra * 1_000 <= earned, "extra calls beyond the contract's share");
        self.sent.push(sent.clone());
        let target = self.targets.get_mut(&sent.target).unwrap();
        target.received += 1;
        target.open += 1;
        assert!(target.open <= self.budget, "more open calls than connections");
        let is_immediate = match sent.behaviour {
            Behaviour::Silent => false,
            Behaviour::Fail | Behaviour::Refuse(_) => true,
            Behaviour::Unreachable => unreachable!("handled above"),
            Behaviour::Serve | Behaviour::Half(_) => target.queue.len() >= target.queue_limit,
        };
        if is_immediate {
            self.schedule(call, ms(1));
        } else if sent.behaviour != Behaviour::Silent {
            target.queue.push_back(call);
            let name = sent.target.clone();
            self.open.insert(call, sent);
            self.start_queued(&name);
            return;
        }
        self.open.insert(call, sent);
    }

    fn start_queued(&mut self, name: &TargetId) {
        loop {
            let Some(target) = self.targets.get_mut(name) else { return };
            if target.running.len() >= target.slots as usize {
                return;
            }
            let Some(call) = target.queue.pop_front() else { return };
            target.running.push(call);
            let service = target.service_time(&mut self.generator);
            self.schedule(call, service);
        }
    }

    fn schedule(&mut self, call: CallId, after: Duration) {
        self.order += 1;
        self.due.push(Reverse((self.now + after, self.order, call)));
    }

    fn complete(&mut self, call: CallId) {
        let Some(sent) = self.open.get(&call).cloned() else { return };
        let target = &self.targets[&sent.target];
        let is_run = target.running.contains(&call);
        let load = target.load();
        let draining = target.draining;
        let documents = match target.behaviour {
            Behaviour::Half(documents) => documents,
            _ => SHARD_DOCUMENTS,
        };
        let event = match (sent.behaviour, target.behaviour) {
            (Behaviour::Unreachable, _) => FanoutEvent::Unsent { call },
            (Behaviour::Refuse(cause), _) => FanoutEvent::Refused { call, cause, load, draining },
            // A call that arrived ends without an answer where the target has gone since.
            (Behaviour::Fail, _) | (_, Behaviour::Fail | Behaviour::Unreachable) => {
                FanoutEvent::Failed { call }
            }
            _ if !is_run => {
                let cause = RefusalCause::Shedding;
                FanoutEvent::Refused { call, cause, load, draining }
            }
            _ => FanoutEvent::Answered { call, documents, load, draining },
        };
        self.answers.insert(call, documents);
        self.release(call);
        self.handle(event);
    }

    fn release(&mut self, call: CallId) {
        let Some(sent) = self.open.remove(&call) else { return };
        let target = self.targets.get_mut(&sent.target).unwrap();
        target.open -= 1;
        target.running.retain(|other| *other != call);
        target.queue.retain(|other| *other != call);
        self.start_queued(&sent.target);
    }
}
