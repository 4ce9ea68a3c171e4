//! Property test: the engine keeps its invariants under random sequences of events.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Instant;

use oleanderwind_policy::CallId;
use oleanderwind_policy::FanoutAction;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RunState;
use oleanderwind_policy::ShardId;
use oleanderwind_policy::TargetId;
use proptest::prelude::*;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::SHARD_DOCUMENTS;
use crate::fake_fleet::ms;

/// Initial connection budget of each target.
const CONNECTIONS: u32 = 3;
/// Extra load that each plan allows, in thousandths.
const EXTRA_PERMILLE: u32 = 250;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        deadline_ms: u64,
        floor: u32,
        latency: bool,
        deferrable: bool,
    },
    /// An event about one of the last calls sent, in flight or not.
    Event {
        pick: usize,
        kind: u8,
        documents: u64,
        queued: u32,
        draining: bool,
    },
    Wait(u64),
    Abandon(u64),
    Drain(u32),
    Budget(u32, u32),
    Relist,
}

fn any_step() -> impl Strategy<Value = Step> {
    let submit = (0..120_u64, 0..=1_000_u32, any::<bool>(), any::<bool>());
    let event = (any::<usize>(), 0..9_u8, 0..2_000_u64, 0..50_u32, prop::bool::weighted(0.02));
    prop_oneof![
        4 => submit.prop_map(|(deadline_ms, floor, latency, deferrable)| Step::Submit {
            deadline_ms, floor, latency, deferrable
        }),
        30 => event.prop_map(|(pick, kind, documents, queued, draining)| Step::Event {
            pick, kind, documents, queued, draining
        }),
        8 => (0..15_u64).prop_map(Step::Wait),
        1 => (0..40_u64).prop_map(Step::Abandon),
        1 => (0..8_u32).prop_map(Step::Drain),
        1 => (0..8_u32, 0..5_u32).prop_map(|(target, budget)| Step::Budget(target, budget)),
        1 => Just(Step::Relist),
    ]
}

/// Model of the driver's view, used to check each action of the engine.
struct DriverModel {
    fleet: FakeFleet,
    now: Instant,
    budgets: HashMap<TargetId, u32>,
    sent: Vec<CallId>,
    open: HashMap<CallId, (TargetId, QueryId, ShardId)>,
    /// Shards of queries for which a call was sent.
    started_shards: HashSet<(QueryId, ShardId)>,
    deadlines: HashMap<QueryId, Instant>,
    merged: HashMap<QueryId, u64>,
    merged_shards: HashSet<(QueryId, ShardId)>,
    /// Queries with a call that was answered, failed or was cancelled.
    may_have_run: HashSet<QueryId>,
    finished: HashSet<QueryId>,
    primary_calls: u64,
    extra_calls: u64,
}

impl DriverModel {
    fn new(seed: u64) -> DriverModel {
        let mut settings = FanoutSettings::default();
        settings.seed = seed;
        settings.queue_limit = 4;
        let mut fleet = FakeFleet::new(settings, 4, 2);
        for spec in fleet.specs.clone() {
            fleet.engine.set_connection_budget(&spec.target, CONNECTIONS);
        }
        DriverModel {
            now: fleet.now,
            fleet,
            budgets: HashMap::new(),
            sent: Vec::new(),
            open: HashMap::new(),
            started_shards: HashSet::new(),
            deadlines: HashMap::new(),
            merged: HashMap::new(),
            merged_shards: HashSet::new(),
            may_have_run: HashSet::new(),
            finished: HashSet::new(),
            primary_calls: 0,
            extra_calls: 0,
        }
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Submit { deadline_ms, floor, latency, deferrable } => {
                self.submit(deadline_ms, floor, latency, deferrable);
            }
            Step::Event { pick, kind, documents, queued, draining } if !self.sent.is_empty() => {
                let call = self.sent[self.sent.len() - 1 - pick % self.sent.len().min(30)];
                self.event(call, kind, documents, queued, draining);
            }
            Step::Event { .. } => {}
            Step::Wait(span) => self.wait(span),
            Step::Abandon(query) => self.act(None, |engine, actions| {
                engine.abandon(query, now, actions);
            }),
            Step::Drain(target) => {
                let target = self.fleet.specs[target as usize].target.clone();
                self.fleet.engine.mark_draining(&target, now);
            }
            Step::Budget(target, budget) => {
                let target = self.fleet.specs[target as usize].target.clone();
                self.fleet.engine.set_connection_budget(&target, budget);
                self.budgets.insert(target, budget);
            }
            Step::Relist => {
                self.fleet.engine.apply_targets(Vec::new(), now);
                self.fleet.engine.apply_targets(self.fleet.specs.clone(), now);
            }
        }
    }

    fn submit(&mut self, deadline_ms: u64, floor: u32, latency: bool, deferrable: bool) {
        let query = self.deadlines.len() as u64;
        let mut plan = self.fleet.plan();
        plan.deadline = self.now + ms(deadline_ms);
        plan.coverage_floor_permille = floor;
        plan.extra_load_permille = EXTRA_PERMILLE;
        if latency {
            plan.preference = oleanderwind_policy::AnswerPreference::Latency;
        }
        if deferrable {
            plan.priority = oleanderwind_policy::ClassPriority::Deferrable;
        }
        self.deadlines.insert(query, plan.deadline);
        let now = self.now;
        self.act(None, |engine, actions| engine.submit(query, plan, now, actions));
    }

    fn event(&mut self, call: CallId, kind: u8, documents: u64, queued: u32, draining: bool) {
        let load = LoadReport { busy: 2, queued, slots: 2, pace_percent: 0 };
        let event = match kind {
            0..=4 => FanoutEvent::Answered { call, documents, load, draining },
            5 => FanoutEvent::Failed { call },
            6 => {
                FanoutEvent::Refused { call, cause: RefusalCause::SnapshotUnknown, load, draining }
            }
            _ => FanoutEvent::Refused { call, cause: RefusalCause::Shedding, load, draining },
        };
        if let Some((_, query, _)) = self.open.get(&call)
            && kind <= 5
        {
            self.may_have_run.insert(*query);
        }
        let was_open = self.open.contains_key(&call);
        let now = self.now;
        let answered = was_open.then_some((call, documents.min(SHARD_DOCUMENTS)));
        let before = self.sent.len();
        self.act(answered, |engine, actions| engine.handle(event, now, actions));
        assert!(was_open || self.sent.len() == before, "an ignored event must send nothing");
    }

    fn wait(&mut self, span: u64) {
        let until = self.now + ms(span);
        while let Some(at) = self.fleet.engine.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            let now = self.now;
            self.act(None, |engine, actions| engine.wake(now, actions));
        }
        self.now = until;
    }

    /// Runs one step of the engine and checks each action that it returns.
    fn act(
        &mut self,
        answered: Option<(CallId, u64)>,
        step: impl FnOnce(&mut FanoutEngine, &mut Vec<FanoutAction>),
    ) {
        let mut actions = Vec::new();
        step(&mut self.fleet.engine, &mut actions);
        let ended = answered.and_then(|(call, _)| self.open.remove(&call));
        for action in actions {
            match action {
                FanoutAction::Send { query, call, target, shard, .. } => {
                    let to_target = self.open.values().filter(|open| open.0 == target).count();
                    let budget = self.budgets.get(&target).copied().unwrap_or(CONNECTIONS);
                    assert!(to_target < budget as usize, "more calls in flight than connections");
                    let is_first = self.started_shards.insert((query, shard));
                    self.primary_calls += u64::from(is_first);
                    self.extra_calls += u64::from(!is_first);
                    assert!(
                        self.extra_calls * 1_000 <= self.primary_calls * u64::from(EXTRA_PERMILLE)
                    );
                    assert!(!self.finished.contains(&query));
                    self.sent.push(call);
                    self.open.insert(call, (target, query, shard));
                }
                FanoutAction::Merge { query, call } => {
                    let (merged, documents) = answered.unwrap();
                    let (_, of_query, shard) = ended.clone().unwrap();
                    assert_eq!((merged, of_query), (call, query));
                    assert!(
                        self.merged_shards.insert((query, shard)),
                        "shard {shard} of query {query} merged twice"
                    );
                    *self.merged.entry(query).or_default() += documents;
                }
                FanoutAction::Cancel { call, .. } => {
                    let (_, query, _) = self.open.remove(&call).unwrap();
                    self.may_have_run.insert(query);
                }
                FanoutAction::Finish { query, result } => {
                    assert!(self.finished.insert(query), "query {query} finished twice");
                    assert!(
                        self.now <= self.deadlines[&query],
                        "query {query} finished past its deadline"
                    );
                    let merged = self.merged.get(&query).copied().unwrap_or(0);
                    assert_eq!(result.documents_covered, merged);
                    let is_refused = !self.may_have_run.contains(&query);
                    assert_eq!(result.ran == RunState::No, is_refused);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn engine_keeps_its_invariants_in_any_order_of_events(
        seed in any::<u64>(),
        steps in prop::collection::vec(any_step(), 1..250),
    ) {
        let mut model = DriverModel::new(seed);
        for step in steps {
            model.step(step);
        }
        model.wait(1_000);
        prop_assert_eq!(model.finished.len(), model.deadlines.len());
        prop_assert!(model.open.is_empty());
        prop_assert_eq!(model.fleet.engine.next_wake(), None);
    }
}
