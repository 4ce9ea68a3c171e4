//! Queries of routes: objectives, attempt policies, service budgets and the choice of targets.

use std::collections::HashSet;
use std::time::Duration;

use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::BudgetOwner;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetPhase;
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

/// Latency objective of each query.
const OBJECTIVE: Duration = ms(80);
/// Answer margin of the engine.
const MARGIN: Duration = ms(15);

fn settings() -> FanoutSettings {
    let mut settings = FanoutSettings::default();
    settings.answer_margin = MARGIN;
    settings.own_domain = Some("a".into());
    settings
}

/// Returns a route's plan: a floor of half of the shards, extra calls charged to each shard's
/// service.
fn route_plan(fleet: &FakeFleet) -> FanoutPlan {
    let services: Vec<ServiceId> =
        (0..fleet.manifest.shards.len()).map(|shard| format!("s{shard}").into()).collect();
    FanoutPlan {
        objective: Some(fleet.now + OBJECTIVE),
        attempt_policy: AttemptPolicy {
            is_idempotent: true,
            attempt_limit: 2,
            budget: BudgetOwner::Services(services.into()),
        },
        ..fleet.plan()
    }
}

/// Submits `count` route plans, one every `gap`, then lets all queries finish.
fn submit_routes(fleet: &mut FakeFleet, first: QueryId, count: u64, gap: Duration) {
    for query in first..first + count {
        let plan = route_plan(fleet);
        fleet.submit(query, plan);
        fleet.advance(gap);
    }
    fleet.advance(ms(400));
}

fn warm_routes(settings: FanoutSettings, shards: u32) -> FakeFleet {
    let mut fleet = FakeFleet::new(settings, shards, 2);
    fleet.extra_permille = 200;
    submit_routes(&mut fleet, 1_000, 200, ms(10));
    fleet
}

fn targets_of(fleet: &FakeFleet, query: QueryId, shard: u32) -> Vec<String> {
    let sent = fleet.sent.iter().filter(|sent| sent.query == query && sent.shard == shard);
    sent.map(|sent| sent.target.to_string()).collect()
}

/// Pattern: a fan-out over hundreds of shards on a fraction of a core. Calls wait for the VM's own
/// processor, and a hedge would only make them wait longer.
#[test]
fn hedge_is_not_sent_for_a_call_that_waits_for_the_processor() {
    let mut fleet = warm_routes(settings(), 4);
    fleet.send_backlog = ms(30);
    let extra_calls = fleet.extra_calls;
    submit_routes(&mut fleet, 1, 40, ms(100));
    assert_eq!(fleet.extra_calls, extra_calls, "targets answer as fast as before");
    let whole = (1..41).filter(|query| fleet.result(*query).reason == FinishReason::Complete);
    assert_eq!(whole.count(), 40);
}

/// All targets of one shard are silent. The query must not wait for them past its objective.
#[test]
fn query_at_its_floor_finishes_a_margin_before_the_objective() {
    let mut fleet = warm_routes(settings(), 20);
    fleet.target("s3r0").behaviour = Behaviour::Silent;
    fleet.target("s3r1").behaviour = Behaviour::Silent;
    submit_routes(&mut fleet, 1, 1, ms(0));
    assert_eq!(fleet.latency(1), OBJECTIVE - MARGIN);
    assert_eq!(fleet.result(1).reason, FinishReason::FloorMet);
    assert_eq!(fleet.result(1).shards_answered, 19);
}

/// More shards are late than the floor allows. The query must wait past its objective rather than
/// answer below the floor.
#[test]
fn query_below_its_floor_waits_past_the_objective() {
    let mut fleet = warm_routes(settings(), 20);
    fleet.targets.values_mut().for_each(|target| target.base_time = ms(100));
    submit_routes(&mut fleet, 1, 1, ms(0));
    assert!(fleet.latency(1) > OBJECTIVE - MARGIN);
    assert!(fleet.result(1).shards_answered >= 10, "{:?}", fleet.result(1));
}

/// The expected latency is far above the objective and one target of each shard is silent. A hedge
/// sent at the latency quantile would come too late for the objective.
#[test]
fn hedge_is_sent_in_time_for_the_objective() {
    let mut settings = settings();
    settings.cold_latency = ms(150);
    let mut fleet = FakeFleet::new(settings, 4, 2);
    fleet.extra_permille = 1_000;
    submit_routes(&mut fleet, 1_000, 12, ms(10));
    for shard in 0..4 {
        fleet.target(&format!("s{shard}r0")).behaviour = Behaviour::Silent;
    }
    submit_routes(&mut fleet, 1, 1, ms(0));
    assert_eq!(fleet.result(1).outcome, RequestOutcome::Answered, "{:?}", fleet.result(1));
    let hedged = (0..4).filter(|shard| targets_of(&fleet, 1, *shard).len() == 2).count();
    assert!(hedged > 0, "no first call went to a silent target");
    assert!(fleet.latency(1) < OBJECTIVE - MARGIN);
}

/// Targets pause for a quarter of a second, each at a different time. Until an answer or a deadline
/// reports the pause, only the age of the open call shows it.
#[test]
fn paused_target_is_avoided_as_soon_as_a_call_is_overdue() {
    let mut fleet = FakeFleet::new(settings(), 1, 2);
    fleet.extra_permille = 200;
    // The other target is slower, so that only the pause is a reason to choose it.
    fleet.target("s0r1").base_time = ms(16);
    submit_routes(&mut fleet, 1_000, 200, ms(40));
    fleet.target("s0r0").behaviour = Behaviour::Silent;
    let mut query = 0;
    while targets_of(&fleet, query, 0).first().is_none_or(|target| target != "s0r0") {
        query += 1;
        let plan = route_plan(&fleet);
        fleet.submit(query, plan);
        fleet.advance(ms(1));
    }
    // The call is overdue, but no answer and no deadline has reported it.
    fleet.advance(ms(30));
    let received = fleet.target("s0r0").received;
    for later in 500..504 {
        let plan = route_plan(&fleet);
        fleet.submit(later, plan);
        fleet.advance(ms(20));
    }
    let after = fleet.target("s0r0").received - received;
    assert_eq!(after, 0, "{after} calls went to the paused target");
}

/// All targets of a shard refuse connections. The query must end instead of retrying until its
/// deadline.
#[test]
fn shard_is_given_up_after_repeated_unsent_calls() {
    let mut fleet = warm_routes(settings(), 1);
    fleet.targets.values_mut().for_each(|target| target.behaviour = Behaviour::Unreachable);
    submit_routes(&mut fleet, 1, 1, ms(0));
    let result = fleet.result(1);
    assert_eq!((result.reason, result.ran), (FinishReason::ShardLost, RunState::No));
    assert_eq!(result.calls_sent, 0, "calls of which nothing was sent must not be counted");
    assert!(fleet.latency(1) < ms(60), "{:?}", fleet.latency(1));
}

#[test]
fn call_that_is_not_idempotent_is_sent_again_only_if_it_did_not_run() {
    let behaviours = [
        (Behaviour::Fail, 1, RunState::Unknown),
        (Behaviour::Silent, 1, RunState::Unknown),
        (Behaviour::Refuse(RefusalCause::Shedding), 2, RunState::No),
    ];
    for (behaviour, least, ran) in behaviours {
        let mut fleet = warm_routes(settings(), 1);
        fleet.targets.values_mut().for_each(|target| target.behaviour = behaviour);
        let mut plan = route_plan(&fleet);
        plan.attempt_policy.is_idempotent = false;
        fleet.submit(1, plan);
        fleet.advance(ms(400));
        let sent = targets_of(&fleet, 1, 0).len();
        assert!(if least == 1 { sent == 1 } else { sent >= least }, "{behaviour:?}: {sent} sent");
        assert_eq!(fleet.result(1).ran, ran, "{behaviour:?}");
    }
}

#[test]
fn local_target_is_preferred_unless_a_remote_one_saves_the_crossing_cost() {
    let mut settings = settings();
    settings.crossing_cost = ms(30);
    let mut fleet = FakeFleet::new(settings, 1, 2);
    fleet.specs[1].failure_domain = "b".into();
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    submit_routes(&mut fleet, 1_000, 100, ms(20));
    let far = fleet.target("s0r1").received;
    assert!(far <= 10, "{far} of 100 calls went to the other failure domain");
    fleet.target("s0r0").base_time = ms(100);
    submit_routes(&mut fleet, 2_000, 100, ms(20));
    assert!(
        fleet.target("s0r1").received - far >= 50,
        "a slow local target must lose calls to the remote one"
    );
}

#[test]
fn lapsed_target_is_used_only_if_no_other_is_usable() {
    let mut fleet = warm_routes(settings(), 1);
    fleet.specs[0].phase = TargetPhase::Lapsed;
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    let received = fleet.target("s0r0").received;
    submit_routes(&mut fleet, 1, 20, ms(30));
    assert_eq!(fleet.target("s0r0").received, received);
    fleet.specs[1].phase = TargetPhase::Draining;
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    submit_routes(&mut fleet, 100, 20, ms(30));
    assert_eq!(fleet.target("s0r0").received, received + 20);
}

/// A failing target restarts under the same id. The backoff of its earlier process must not apply.
#[test]
fn restarted_target_starts_with_a_clean_record() {
    const SEEDS: u64 = 10;
    let mut total = 0;
    // A slow first answer makes the other replica more likely for some time, so that a single draw
    // of the service times shows little.
    for seed in 0..SEEDS {
        let mut fleet = warm_routes(settings(), 1);
        fleet.target("s0r0").behaviour = Behaviour::Fail;
        submit_routes(&mut fleet, 1, 20, ms(10));
        fleet.target("s0r0").behaviour = Behaviour::Serve;
        fleet.set_seed(seed);
        fleet.specs[0].incarnation = 7;
        fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
        assert!(!fleet.engine.target_view(&"s0r0".into(), fleet.now).is_failing);
        let received = fleet.target("s0r0").received;
        submit_routes(&mut fleet, 100, 20, ms(30));
        assert!(targets_of(&fleet, 100, 0).contains(&"s0r0".to_owned()), "seed {seed}");
        total += u64::from(fleet.target("s0r0").received - received);
    }
    assert!(total > SEEDS * 4, "{total} of {} calls", SEEDS * 20);
}

/// Returns a shard's calls as budget events: first calls earn credit, extra calls spend it.
fn budget_events(fleet: &FakeFleet, shard: u32, permille: i64) -> Vec<(Duration, i64)> {
    let mut seen = HashSet::new();
    let calls = fleet.sent.iter().filter(|sent| sent.shard == shard);
    let mut delta =
        |sent: &SentCall| if seen.insert(sent.query) { -permille } else { CALL_PERMILLE };
    calls.map(|sent| (sent.at - fleet.start, delta(sent))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Targets slow down, fail, refuse, pause and recover in random order. The extra calls must
    /// stay within the service's share and burst in every window all the same.
    #[test]
    fn extra_calls_of_a_service_stay_within_its_budget_in_every_window(
        seed in any::<u64>(),
    ) {
        const BURST: u32 = 6;
        let mut settings = settings();
        settings.service_share = BURST;
        let mut fleet = FakeFleet::new(settings, 2, 2);
        fleet.extra_permille = 200;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<String> = fleet.targets.keys().map(|name| name.to_string()).collect();
        for step in 0..40 {
            let name = &names[rng.random_range(0..names.len())];
            let behaviour = match rng.random_range(0..6) {
                0 => Behaviour::Fail,
                1 => Behaviour::Silent,
                2 => Behaviour::Refuse(RefusalCause::Shedding),
                3 => Behaviour::Unreachable,
                _ => Behaviour::Serve,
            };
            fleet.target(name).behaviour = behaviour;
            fleet.target(name).base_time = ms(rng.random_range(5..120));
            submit_routes(&mut fleet, step * 100, 20, ms(rng.random_range(2..40)));
        }
        for shard in 0..2 {
            let excess = max_window_excess(budget_events(&fleet, shard, 200));
            // One more call for rounding: an empty budget may hold a fraction of a call.
            prop_assert!(
                excess <= i64::from(BURST) + 1,
                "shard {shard}: {excess} extra calls beyond the budget"
            );
        }
    }
}

/// Each shard has a healthy replica in each of three failure domains.
#[test]
fn calls_stay_in_the_local_failure_domain_while_its_replica_is_healthy() {
    let mut settings = settings();
    settings.crossing_cost = ms(50);
    let mut fleet = FakeFleet::new(settings, 4, 3);
    for (spec, domain) in fleet.specs.iter_mut().zip(["a", "b", "c"].into_iter().cycle()) {
        spec.failure_domain = domain.into();
    }
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    submit_routes(&mut fleet, 1, 200, ms(20));
    let far = fleet.sent.iter().filter(|call| !call.target.ends_with("r0")).count();
    assert!(
        far * 20 < fleet.sent.len(),
        "{far} of {} calls left the failure domain",
        fleet.sent.len()
    );
}

/// Two of three targets shed almost half of their calls although they have room. Calls must go to
/// the third one although it is in another failure domain.
#[test]
fn calls_avoid_replicas_that_shed_load() {
    let mut settings = settings();
    settings.crossing_cost = ms(50);
    let mut fleet = FakeFleet::new(settings, 1, 3);
    fleet.extra_permille = 200;
    for (spec, domain) in fleet.specs.iter_mut().zip(["a", "b", "c"]) {
        spec.failure_domain = domain.into();
    }
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    submit_routes(&mut fleet, 1, 50, ms(20));
    fleet.target("s0r0").shed_permille = 450;
    fleet.target("s0r1").shed_permille = 450;
    submit_routes(&mut fleet, 1_000, 400, ms(20));
    let answered =
        (1_000..1_400).filter(|query| fleet.result(*query).outcome == RequestOutcome::Answered);
    let answered = answered.count();
    assert!(answered >= 380, "{answered} of 400 answered");
    let sent = fleet.sent.iter().filter(|call| call.query >= 1_000);
    let refused = sent.filter(|call| matches!(call.behaviour, Behaviour::Refuse(_))).count();
    assert!(refused <= 40, "{refused} of 400 calls were refused");
}
