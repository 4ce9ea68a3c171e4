//! A fleet of simulated targets driven by one engine in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::BudgetOwner;
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

/// Documents in each shard.
pub(crate) const SHARD_DOCUMENTS: u64 = 1_000;
pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A call sent by the engine.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) call: CallId,
    pub(crate) query: QueryId,
    pub(crate) target: TargetId,
    pub(crate) shard: ShardId,
    pub(crate) at: Instant,
    /// Behaviour of the target when the call was sent.
    pub(crate) behaviour: Behaviour,
}

/// One engine with its simulated targets. Checks the engine's invariants on every action.
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
    /// Most calls that may be in flight to a target at once.
    pub(crate) budget: u32,
    /// Extra load that every plan allows, in thousandths.
    pub(crate) extra_permille: u32,
    /// Extra calls to one service that the engine may send in a window beyond the share of its
    /// primary calls, and the window.
    slack: (u32, Duration),
    /// Most services that one plan charges for its extra calls; 0 if customers pay for them.
    charged_services: u64,
    /// Shards of queries for which a call was sent, each counted once.
    pub(crate) primary_calls: u64,
    /// Calls that reached a target after the first one for their shard and query.
    pub(crate) extra_calls: u64,
    /// Shards of queries for which a call was sent.
    dispatched_shards: HashSet<(QueryId, ShardId)>,
    /// Shards of queries for which a call reached a target.
    reached_shards: HashSet<(QueryId, ShardId)>,
    deadlines: HashMap<QueryId, Instant>,
    /// How long a call waits for the VM's processor before it is sent.
    pub(crate) send_backlog: Duration,
    departures: VecDeque<(Instant, SentCall)>,
    open: HashMap<CallId, SentCall>,
    answers: HashMap<CallId, u64>,
    merged: HashMap<QueryId, u64>,
    /// Times at which calls complete, with a sequence number that breaks ties.
    completions: BinaryHeap<Reverse<(Instant, u64, CallId)>>,
    next_sequence: u64,
    rng: Pcg64Mcg,
}

impl FakeFleet {
    /// Returns a fleet of `shards` shards, each with `replicas` targets of two slots.
    ///
    /// The targets are named `s{shard}r{replica}`.
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
                    cold_ms: 0,
                });
            }
            let held = (0..replicas).map(|replica| name(shard, replica)).collect();
            entries.push(ShardEntry { shard, documents: SHARD_DOCUMENTS, targets: held });
        }
        let now = Instant::now();
        let slack = (settings.service_share, settings.service_window);
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
            slack,
            charged_services: 0,
            primary_calls: 0,
            extra_calls: 0,
            dispatched_shards: HashSet::new(),
            reached_shards: HashSet::new(),
            deadlines: HashMap::new(),
            send_backlog: Duration::ZERO,
            departures: VecDeque::new(),
            open: HashMap::new(),
            answers: HashMap::new(),
            merged: HashMap::new(),
            completions: BinaryHeap::new(),
            next_sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(7),
        }
    }

    /// Returns a plan with a deadline in 200 ms, a floor of 500 ‰ and the fleet's extra load.
    pub(crate) fn plan(&self) -> FanoutPlan {
        FanoutPlan {
            customer: "library".into(),
            class: "finder".into(),
            manifest: self.manifest.clone(),
            deadline: self.now + ms(200),
            coverage_floor_permille: 500,
            preference: AnswerPreference::Coverage,
            priority: ClassPriority::Interactive,
            urgency: None,
            extra_load_permille: self.extra_permille,
            objective: None,
            attempt_policy: AttemptPolicy::default(),
        }
    }

    /// Sets the seed of the targets' service times.
    pub(crate) fn set_seed(&mut self, seed: u64) {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
    }

    pub(crate) fn target(&mut self, name: &str) -> &mut FakeTarget {
        self.targets.get_mut(name).unwrap()
    }

    pub(crate) fn submit(&mut self, query: QueryId, plan: FanoutPlan) {
        self.deadlines.insert(query, plan.deadline);
        if let BudgetOwner::Services(services) = &plan.attempt_policy.budget {
            self.charged_services = self.charged_services.max(services.len() as u64);
        }
        let mut actions = Vec::new();
        self.engine.submit(query, plan, self.now, &mut actions);
        self.execute_actions(actions);
    }

    /// Submits `count` default plans, one every `gap`, then lets all queries finish.
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
        self.execute_actions(actions);
    }

    pub(crate) fn abandon(&mut self, query: QueryId) {
        let mut actions = Vec::new();
        self.engine.abandon(query, self.now, &mut actions);
        self.execute_actions(actions);
    }

    /// Advances virtual time by `span`, delivering completions and waking the engine when due.
    pub(crate) fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let event = self.completions.peek().map(|Reverse((at, _, _))| *at);
            let wake = self.engine.next_wake();
            let departure = self.departures.front().map(|(at, _)| *at);
            let next = event.into_iter().chain(wake).chain(departure).min();
            let Some(next) = next.filter(|at| *at <= until) else { break };
            self.now = self.now.max(next);
            if departure.is_some_and(|at| at <= self.now) {
                let Some((_, sent)) = self.departures.pop_front() else { break };
                self.depart(sent);
            } else if event.is_some_and(|at| at <= self.now) {
                let Some(Reverse((_, _, call))) = self.completions.pop() else { break };
                self.complete(call);
            } else {
                let mut actions = Vec::new();
                self.engine.wake(self.now, &mut actions);
                self.execute_actions(actions);
            }
        }
        self.now = until;
    }

    /// Returns the first call that waits for the VM's processor.
    pub(crate) fn waiting_call(&self) -> Option<SentCall> {
        self.departures.front().map(|(_, sent)| sent.clone())
    }

    /// Reports that a waiting call is not sent.
    pub(crate) fn withdraw(&mut self, call: CallId) {
        self.departures.retain(|(_, sent)| sent.call != call);
        self.handle(FanoutEvent::Withdrawn { call });
    }

    /// Returns the number of a query's calls that are open at targets.
    pub(crate) fn open_calls(&self, query: QueryId) -> usize {
        self.open.values().filter(|sent| sent.query == query).count()
    }

    pub(crate) fn result(&self, query: QueryId) -> &FanoutResult {
        &self.finished[&query].1
    }

    /// Returns the time from the start of the default plan (200 ms before its deadline) to the
    /// result.
    pub(crate) fn latency(&self, query: QueryId) -> Duration {
        let begun = self.deadlines[&query] - ms(200);
        self.finished[&query].0 - begun
    }

    /// Executes actions in order and checks the invariants of each.
    fn execute_actions(&mut self, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { query, call, target, shard, deadline, .. } => {
                    assert!(
                        !self.finished.contains_key(&query),
                        "query {query}: call sent after the finish"
                    );
                    assert!(deadline <= self.deadlines[&query]);
                    let behaviour = self.behaviour_of(&target);
                    let at = self.now;
                    let sent = SentCall { call, query, target, shard, at, behaviour };
                    match self.send_backlog.is_zero() {
                        true => self.depart(sent),
                        false => self.departures.push_back((at + self.send_backlog, sent)),
                    }
                }
                FanoutAction::Merge { query, call } => {
                    assert!(
                        !self.finished.contains_key(&query),
                        "query {query}: answer merged after the finish"
                    );
                    *self.merged.entry(query).or_default() += self.answers[&call];
                }
                FanoutAction::Cancel { call, .. } => {
                    self.cancelled.push(call);
                    self.departures.retain(|(_, sent)| sent.call != call);
                    self.release(call);
                }
                FanoutAction::Finish { query, result } => {
                    assert!(
                        self.now <= self.deadlines[&query],
                        "query {query} finished after its deadline"
                    );
                    let merged = self.merged.get(&query).copied().unwrap_or(0);
                    assert_eq!(
                        result.documents_covered, merged,
                        "coverage differs from the merged answers"
                    );
                    let before = self.finished.insert(query, (self.now, result));
                    assert!(before.is_none(), "query {query} finished twice");
                }
            }
        }
    }

    /// Returns how a target treats a call that arrives now.
    fn behaviour_of(&mut self, target: &TargetId) -> Behaviour {
        let target = &self.targets[target];
        let is_shed =
            target.shed_permille > 0 && self.rng.random_range(0..1_000) < target.shed_permille;
        if is_shed { Behaviour::Refuse(RefusalCause::Shedding) } else { target.behaviour }
    }

    /// Sends a call that the engine asked for.
    fn depart(&mut self, sent: SentCall) {
        self.engine.mark_sent(sent.call, self.now);
        self.receive(SentCall { at: self.now, ..sent });
    }

    fn receive(&mut self, sent: SentCall) {
        let call = sent.call;
        // The first call for a shard earns budget even if it does not reach its target.
        self.primary_calls += u64::from(self.dispatched_shards.insert((sent.query, sent.shard)));
        if sent.behaviour == Behaviour::Unreachable {
            // Nothing reaches the target, so the call counts neither as the shard's first nor as
            // extra.
            self.targets.get_mut(&sent.target).unwrap().open += 1;
            self.schedule(call, ms(1));
            self.open.insert(call, sent);
            return;
        }
        self.extra_calls += u64::from(!self.reached_shards.insert((sent.query, sent.shard)));
        let earned = self.primary_calls * u64::from(self.extra_permille);
        let allowed = earned + self.slack_calls() * 1_000;
        assert!(self.extra_calls * 1_000 <= allowed, "more extra calls than the contract allows");
        self.sent.push(sent.clone());
        let target = self.targets.get_mut(&sent.target).unwrap();
        target.received += 1;
        target.open += 1;
        assert!(target.open <= self.budget, "more calls in flight than connections");
        let is_immediate = match sent.behaviour {
            Behaviour::Silent => false,
            Behaviour::Fail | Behaviour::Refuse(_) => true,
            Behaviour::Unreachable => unreachable!("handled above"),
            Behaviour::Serve | Behaviour::Partial(_) => target.queue.len() >= target.queue_limit,
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

    /// Returns the extra calls that the slack of all charged services has allowed so far.
    fn slack_calls(&self) -> u64 {
        let (calls, window) = self.slack;
        let windows = 1 + (self.now - self.start).div_duration_f64(window) as u64;
        self.charged_services * u64::from(calls) * windows
    }

    fn start_queued(&mut self, name: &TargetId) {
        loop {
            let Some(target) = self.targets.get_mut(name) else { return };
            if target.running.len() >= target.slots as usize {
                return;
            }
            let Some(call) = target.queue.pop_front() else { return };
            target.running.push(call);
            let service = target.service_time(&mut self.rng);
            self.schedule(call, service);
        }
    }

    fn schedule(&mut self, call: CallId, after: Duration) {
        self.next_sequence += 1;
        self.completions.push(Reverse((self.now + after, self.next_sequence, call)));
    }

    fn complete(&mut self, call: CallId) {
        let Some(sent) = self.open.get(&call).cloned() else { return };
        let target = &self.targets[&sent.target];
        let was_running = target.running.contains(&call);
        let load = target.load();
        let draining = target.draining;
        let documents = match target.behaviour {
            Behaviour::Partial(documents) => documents,
            _ => SHARD_DOCUMENTS,
        };
        let event = match (sent.behaviour, target.behaviour) {
            (Behaviour::Unreachable, _) => FanoutEvent::Unsent { call },
            (Behaviour::Refuse(cause), _) => FanoutEvent::Refused { call, cause, load, draining },
            // A call that reached its target fails if the target has become unreachable since.
            (Behaviour::Fail, _) | (_, Behaviour::Fail | Behaviour::Unreachable) => {
                FanoutEvent::Failed { call }
            }
            _ if !was_running => {
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
