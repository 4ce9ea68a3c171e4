//! Property tests: guarantees to callers and targets hold on several VMs under random faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::BudgetOwner;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RunState;
use oleanderwind_policy::ServiceId;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::budget_window::CALL_PERMILLE;
use crate::budget_window::max_window_excess;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::SentCall;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

/// Number of VMs.
const VMS: u32 = 3;
/// Number of shards of each query.
const SHARDS: u32 = 2;
/// Extra calls that a service allows, in thousandths of its first calls.
const EXTRA_PERMILLE: u32 = 200;
/// Extra calls to a service allowed beyond that share, for all VMs together in any window.
const EXTRA_CALL_SLACK: u32 = 40;

/// Cases of each property in an ordinary run; `PROPTEST_CASES` sets another number.
const DEFAULT_CASES: u32 = 12;

/// A query submitted to one VM.
struct SubmittedQuery {
    submitted_at: Instant,
    plan: FanoutPlan,
    abandoned_at: Option<Instant>,
}

/// Several VMs, each with its own simulated targets, to which the same faults are applied.
struct FaultSimulation {
    vms: Vec<FakeFleet>,
    submitted: Vec<BTreeMap<QueryId, SubmittedQuery>>,
    rng: Pcg64Mcg,
}

impl FaultSimulation {
    fn new(seed: u64) -> FaultSimulation {
        let mut settings = FanoutSettings::default();
        settings.service_share = EXTRA_CALL_SLACK / (VMS + 1);
        let fleet = || {
            let mut fleet = FakeFleet::new(settings.clone(), SHARDS, 3);
            fleet.extra_permille = EXTRA_PERMILLE;
            fleet.targets.values_mut().for_each(|target| target.queue_limit = usize::MAX);
            fleet
        };
        FaultSimulation {
            vms: (0..VMS).map(|_| fleet()).collect(),
            submitted: (0..VMS).map(|_| BTreeMap::new()).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Applies a random behaviour to one target or to all, equally for every VM, then submits
    /// queries at each VM.
    fn step(&mut self, step: u64) {
        let names: Vec<String> = self.vms[0].targets.keys().map(|name| name.to_string()).collect();
        let name = &names[self.rng.random_range(0..names.len())];
        let behaviour = match self.rng.random_range(0..7) {
            0 => Behaviour::Fail,
            1 => Behaviour::Silent,
            2 => Behaviour::Refuse(RefusalCause::Shedding),
            3 => Behaviour::Unreachable,
            _ => Behaviour::Serve,
        };
        let base_time = ms(self.rng.random_range(5..120));
        let hits_all_targets = self.rng.random_range(0..6) == 0;
        for vm in &mut self.vms {
            let hit =
                vm.targets.iter_mut().filter(|(target, _)| hits_all_targets || &***target == name);
            for (_, target) in hit {
                target.behaviour = behaviour;
                target.base_time = base_time;
            }
        }
        for request in 0..20 {
            for vm in 0..VMS as usize {
                self.request(vm, step * 100 + request);
            }
        }
    }

    /// Makes every target shed load and submits a last query at each VM.
    fn refuse_all(&mut self) {
        for vm in &mut self.vms {
            for target in vm.targets.values_mut() {
                target.behaviour = Behaviour::Refuse(RefusalCause::Shedding);
            }
            vm.advance(ms(1_000));
        }
        (0..VMS as usize).for_each(|vm| self.request(vm, QueryId::MAX - 1));
    }

    /// Submits a query, advances time, and in some cases abandons the query.
    fn request(&mut self, vm: usize, query: QueryId) {
        let plan = self.plan(vm);
        let gap = ms(self.rng.random_range(1..40));
        let is_abandoned = self.rng.random_range(0..10) == 0;
        let fleet = &mut self.vms[vm];
        let submitted_at = fleet.now;
        fleet.submit(query, plan.clone());
        let mut record = SubmittedQuery { submitted_at, plan, abandoned_at: None };
        fleet.advance(gap);
        if is_abandoned && !fleet.finished.contains_key(&query) {
            record.abandoned_at = Some(fleet.now);
            fleet.abandon(query);
            assert_eq!(fleet.open_calls(query), 0, "an abandoned query has open calls");
        }
        self.submitted[vm].insert(query, record);
    }

    fn plan(&mut self, vm: usize) -> FanoutPlan {
        let services: Vec<ServiceId> =
            (0..SHARDS).map(|shard| format!("s{shard}").into()).collect();
        let fleet = &self.vms[vm];
        FanoutPlan {
            deadline: fleet.now + ms(self.rng.random_range(20..400)),
            objective: Some(fleet.now + ms(self.rng.random_range(20..200))),
            attempt_policy: AttemptPolicy {
                is_idempotent: self.rng.random_range(0..4) > 0,
                attempt_limit: self.rng.random_range(1..4),
                budget: BudgetOwner::Services(services.into()),
            },
            ..fleet.plan()
        }
    }

    /// Runs a simulation until every query has ended.
    fn run(seed: u64) -> FaultSimulation {
        let mut simulation = FaultSimulation::new(seed);
        (0..30).for_each(|step| simulation.step(step));
        simulation.refuse_all();
        simulation.vms.iter_mut().for_each(|vm| vm.advance(ms(1_000)));
        simulation
    }

    /// Calls `check` with each query, its VM and the calls that reached targets.
    fn for_each_query(
        &self,
        mut check: impl FnMut(&FakeFleet, QueryId, &SubmittedQuery, &[&SentCall]),
    ) {
        for (vm, submitted) in self.vms.iter().zip(&self.submitted) {
            let mut calls: BTreeMap<QueryId, Vec<&SentCall>> = BTreeMap::new();
            vm.sent.iter().for_each(|sent| calls.entry(sent.query).or_default().push(sent));
            for (query, record) in submitted {
                check(vm, *query, record, calls.get(query).map_or(&[][..], Vec::as_slice));
            }
        }
    }
}

/// Returns the number of calls of a shard that may have run.
fn count_runs(calls: &[&SentCall], shard: u32) -> usize {
    calls.iter().filter(|call| call.shard == shard && may_have_run(call)).count()
}

/// Returns whether a call may have run. Refused calls have not.
fn may_have_run(call: &SentCall) -> bool {
    !matches!(call.behaviour, Behaviour::Refuse(_))
}

fn config() -> ProptestConfig {
    match std::env::var_os("PROPTEST_CASES") {
        Some(_) => ProptestConfig::default(),
        None => ProptestConfig::with_cases(DEFAULT_CASES),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn query_runs_on_at_most_attempt_limit_targets_of_a_shard(seed in any::<u64>()) {
        FaultSimulation::run(seed).for_each_query(|_, query, record, calls| {
            for shard in 0..SHARDS {
                let runs = count_runs(calls, shard);
                let attempts = record.plan.attempt_policy.attempt_limit as usize;
                assert!(runs <= attempts, "query {query}: {runs} runs of {attempts} allowed");
            }
        });
    }

    #[test]
    fn query_that_is_not_idempotent_runs_at_most_once_on_each_shard(seed in any::<u64>()) {
        FaultSimulation::run(seed).for_each_query(|_, query, record, calls| {
            for shard in 0..SHARDS {
                let runs = count_runs(calls, shard);
                assert!(
                    record.plan.attempt_policy.is_idempotent || runs <= 1,
                    "query {query}: {runs} runs"
                );
            }
        });
    }

    #[test]
    fn query_finishes_by_its_deadline_and_leaves_no_open_call(seed in any::<u64>()) {
        FaultSimulation::run(seed).for_each_query(|vm, query, record, calls| {
            assert_eq!(vm.open_calls(query), 0, "query {query} left calls open");
            let Some(abandoned_at) = record.abandoned_at else {
                let (at, _) = vm.finished[&query];
                assert!(at <= record.plan.deadline, "query {query} finished after its deadline");
                return;
            };
            assert!(
                calls.iter().all(|call| call.at <= abandoned_at),
                "query {query} sent a call after it was abandoned"
            );
        });
    }

    #[test]
    fn query_reported_as_not_run_has_not_run(seed in any::<u64>()) {
        let mut refused = 0;
        FaultSimulation::run(seed).for_each_query(|vm, query, _, calls| {
            let Some((_, result)) = vm.finished.get(&query) else { return };
            if result.ran == RunState::No {
                refused += 1;
                assert!(!calls.iter().any(|call| may_have_run(call)), "query {query} may have run");
            }
        });
        prop_assert!(refused > 0, "no query was refused");
    }

    #[test]
    fn extra_calls_of_all_vms_stay_within_the_budget_in_every_window(seed in any::<u64>()) {
        let simulation = FaultSimulation::run(seed);
        for shard in 0..SHARDS {
            let excess = max_window_excess(budget_events(&simulation, shard));
            // One more call per VM for rounding: an empty budget may hold a fraction of a call.
            prop_assert!(
                excess <= i64::from(EXTRA_CALL_SLACK + VMS),
                "shard {shard}: {excess} extra calls beyond the budget"
            );
        }
    }
}

/// Returns a shard's budget events on all VMs: queries earn credit, extra calls that reach a target
/// spend it.
fn budget_events(simulation: &FaultSimulation, shard: u32) -> Vec<(Duration, i64)> {
    let mut events = Vec::new();
    for (vm, submitted) in simulation.vms.iter().zip(&simulation.submitted) {
        let earned = submitted.values().map(|record| record.submitted_at - vm.start);
        events.extend(earned.map(|at| (at, -i64::from(EXTRA_PERMILLE))));
        let mut started = BTreeSet::new();
        let calls = vm.sent.iter().filter(|call| call.shard == shard);
        let extra = calls.filter(|call| !started.insert(call.query));
        events.extend(extra.map(|call| (call.at - vm.start, CALL_PERMILLE)));
    }
    events
}
