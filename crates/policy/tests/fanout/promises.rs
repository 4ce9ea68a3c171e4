//! What callers and targets are promised, over seeded series of faults on several VMs.

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

use crate::budget_window::CALL;
use crate::budget_window::worst_excess;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::SentCall;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

/// VMs that send to the same targets.
const VMS: u32 = 3;
/// Shards of each query.
const SHARDS: u32 = 2;
/// Extra calls of a service for each first one, in thousandths.
const EXTRA_PERMILLE: u32 = 200;
/// Extra calls of a service beyond that, of all VMs in any window.
const SLACK: u32 = 40;

/// What one VM promised with a query.
struct Promise {
    asked_at: Instant,
    plan: FanoutPlan,
    abandoned_at: Option<Instant>,
}

/// Several VMs on targets of their own that fail alike.
struct PromiseWorld {
    vms: Vec<FakeFleet>,
    promises: Vec<BTreeMap<QueryId, Promise>>,
    generator: Pcg64Mcg,
}

impl PromiseWorld {
    fn new(seed: u64) -> PromiseWorld {
        let mut settings = FanoutSettings::default();
        settings.service_burst = SLACK / (VMS + 1);
        let fleet = || {
            let mut fleet = FakeFleet::new(settings.clone(), SHARDS, 3);
            fleet.extra_permille = EXTRA_PERMILLE;
            fleet.targets.values_mut().for_each(|target| target.queue_limit = usize::MAX);
            fleet
        };
        PromiseWorld {
            vms: (0..VMS).map(|_| fleet()).collect(),
            promises: (0..VMS).map(|_| BTreeMap::new()).collect(),
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A fault of one target or of all, for every VM alike, then requests at each VM.
    fn step(&mut self, step: u64) {
        let names: Vec<String> = self.vms[0].targets.keys().map(|name| name.to_string()).collect();
        let name = &names[self.generator.random_range(0..names.len())];
        let behaviour = match self.generator.random_range(0..7) {
            0 => Behaviour::Fail,
            1 => Behaviour::Silent,
            2 => Behaviour::Refuse(RefusalCause::Shedding),
            3 => Behaviour::Unreachable,
            _ => Behaviour::Serve,
        };
        let base = ms(self.generator.random_range(5..120));
        let is_for_all = self.generator.random_range(0..6) == 0;
        for vm in &mut self.vms {
            let hit = vm.targets.iter_mut().filter(|(target, _)| is_for_all || &***target == name);
            for (_, target) in hit {
                target.behaviour = behaviour;
                target.base = base;
            }
        }
        for request in 0..20 {
            for vm in 0..VMS as usize {
                self.request(vm, step * 100 + request);
            }
        }
    }

    /// Every target refuses the last requests.
    fn refuse_all(&mut self) {
        for vm in &mut self.vms {
            for target in vm.targets.values_mut() {
                target.behaviour = Behaviour::Refuse(RefusalCause::Shedding);
            }
            vm.advance(ms(1_000));
        }
        (0..VMS as usize).for_each(|vm| self.request(vm, QueryId::MAX - 1));
    }

    /// One request, which its caller may abandon, and some time.
    fn request(&mut self, vm: usize, query: QueryId) {
        let plan = self.plan(vm);
        let gap = ms(self.generator.random_range(1..40));
        let is_abandoned = self.generator.random_range(0..10) == 0;
        let fleet = &mut self.vms[vm];
        let asked_at = fleet.now;
        fleet.submit(query, plan.clone());
        let mut promise = Promise { asked_at, plan, abandoned_at: None };
        fleet.advance(gap);
        if is_abandoned && !fleet.finished.contains_key(&query) {
            promise.abandoned_at = Some(fleet.now);
            fleet.abandon(query);
            assert_eq!(fleet.open_calls(query), 0, "calls of an abandoned query go on");
        }
        self.promises[vm].insert(query, promise);
    }

    fn plan(&mut self, vm: usize) -> FanoutPlan {
        let services: Vec<ServiceId> =
            (0..SHARDS).map(|shard| format!("s{shard}").into()).collect();
        let fleet = &self.vms[vm];
        FanoutPlan {
            deadline: fleet.now + ms(self.generator.random_range(20..400)),
            objective: Some(fleet.now + ms(self.generator.random_range(20..200))),
            attempt_policy: AttemptPolicy {
                is_idempotent: self.generator.random_range(0..4) > 0,
                max_attempts: self.generator.random_range(1..4),
                budget: BudgetOwner::Services(services.into()),
            },
            ..fleet.plan()
        }
    }

    /// Runs a series of faults to the end of every request.
    fn play(seed: u64) -> PromiseWorld {
        let mut world = PromiseWorld::new(seed);
        (0..30).for_each(|step| world.step(step));
        world.refuse_all();
        world.vms.iter_mut().for_each(|vm| vm.advance(ms(1_000)));
        world
    }

    /// Every request with its VM and the calls that arrived for it.
    fn each(&self, mut check: impl FnMut(&FakeFleet, QueryId, &Promise, &[&SentCall])) {
        for (vm, promises) in self.vms.iter().zip(&self.promises) {
            let mut calls: BTreeMap<QueryId, Vec<&SentCall>> = BTreeMap::new();
            vm.sent.iter().for_each(|sent| calls.entry(sent.query).or_default().push(sent));
            for (query, promise) in promises {
                check(vm, *query, promise, calls.get(query).map_or(&[][..], Vec::as_slice));
            }
        }
    }
}

/// Calls of a shard that may have run.
fn count_runs(calls: &[&SentCall], shard: u32) -> usize {
    calls.iter().filter(|call| call.shard == shard && may_have_run(call)).count()
}

/// Whether a call may have run: a target that refused it has not.
fn may_have_run(call: &SentCall) -> bool {
    !matches!(call.behaviour, Behaviour::Refuse(_))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn query_runs_on_no_more_targets_of_a_shard_than_its_attempts(seed in any::<u64>()) {
        PromiseWorld::play(seed).each(|_, query, promise, calls| {
            for shard in 0..SHARDS {
                let runs = count_runs(calls, shard);
                let attempts = promise.plan.attempt_policy.max_attempts as usize;
                assert!(runs <= attempts, "query {query}: {runs} of {attempts} attempts");
            }
        });
    }

    #[test]
    fn query_that_may_not_be_repeated_runs_once_at_most(seed in any::<u64>()) {
        PromiseWorld::play(seed).each(|_, query, promise, calls| {
            for shard in 0..SHARDS {
                let runs = count_runs(calls, shard);
                assert!(promise.plan.attempt_policy.is_idempotent || runs <= 1, "query {query}: {runs}");
            }
        });
    }

    #[test]
    fn query_ends_in_time_and_leaves_no_call(seed in any::<u64>()) {
        PromiseWorld::play(seed).each(|vm, query, promise, calls| {
            assert_eq!(vm.open_calls(query), 0, "query {query} has left calls");
            let Some(abandoned_at) = promise.abandoned_at else {
                let (at, _) = vm.finished[&query];
                assert!(at <= promise.plan.deadline, "query {query} ended late");
                return;
            };
            assert!(calls.iter().all(|call| call.at <= abandoned_at), "query {query} went on");
        });
    }

    #[test]
    fn query_that_is_said_not_to_have_run_has_not(seed in any::<u64>()) {
        let mut refused = 0;
        PromiseWorld::play(seed).each(|vm, query, _, calls| {
            let Some((_, result)) = vm.finished.get(&query) else { return };
            if result.ran == RunState::No {
                refused += 1;
                assert!(!calls.iter().any(|call| may_have_run(call)), "query {query} has run");
            }
        });
        prop_assert!(refused > 0, "no query was refused");
    }

    #[test]
    fn extra_calls_of_all_vms_stay_within_the_budget_in_every_window(seed in any::<u64>()) {
        let world = PromiseWorld::play(seed);
        for shard in 0..SHARDS {
            let excess = worst_excess(budget_events(&world, shard));
            // An empty budget may hold a part of a call at each VM.
            prop_assert!(excess <= i64::from(SLACK + VMS), "shard {shard}: {excess} beyond");
        }
    }
}

/// Extra arrivals of a shard and the requests that earn their share, of all VMs.
fn budget_events(world: &PromiseWorld, shard: u32) -> Vec<(Duration, i64)> {
    let mut events = Vec::new();
    for (vm, promises) in world.vms.iter().zip(&world.promises) {
        let asked = promises.values().map(|promise| promise.asked_at - vm.start);
        events.extend(asked.map(|at| (at, -i64::from(EXTRA_PERMILLE))));
        let mut begun = BTreeSet::new();
        let calls = vm.sent.iter().filter(|call| call.shard == shard);
        let extra = calls.filter(|call| !begun.insert(call.query));
        events.extend(extra.map(|call| (call.at - vm.start, CALL)));
    }
    events
}
