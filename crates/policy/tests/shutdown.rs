//! Tests of the requests that a VM begins in a planned stop.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::RouteDestination;
use oleanderwind_policy::ShutdownGate;
use oleanderwind_policy::ShutdownSchedule;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Longest time that a request of the tests may take.
const TIME_LIMIT: Duration = Duration::from_secs(4);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn route(operation: OperationKind) -> RouteContract {
    RouteContract {
        name: "route".into(),
        host: "site.example".into(),
        prefix: "/".into(),
        operation,
        latency_objective: ms(400),
        time_limit: TIME_LIMIT,
        attempt_limit: 2,
        priority: 0,
        destination: RouteDestination::Single("service".into()),
        is_public: false,
        regions: Vec::new(),
    }
}

/// Returns a gate that has seen requests of these times, in milliseconds, and whose stop cuts what runs at `cut_at`.
fn stopping_gate(times: &[u64], cut_at: Instant) -> ShutdownGate {
    let mut gate = ShutdownGate::default();
    times.iter().for_each(|time| gate.record(&route(OperationKind::Search).name, ms(*time)));
    gate.begin_stop(cut_at);
    gate
}

#[test]
fn admits_everything_before_the_stop() {
    let mut gate = ShutdownGate::default();
    gate.record(&"route".into(), TIME_LIMIT);
    assert!(gate.admits(&route(OperationKind::Execute), TIME_LIMIT, Instant::now()));
}

/// Guards against requests that are begun although the stop will cut them.
#[test]
fn admits_what_recent_requests_had_time_for() {
    let now = Instant::now();
    let gate = stopping_gate(&[300; 64], now + ms(1_000));
    for operation in [OperationKind::Search, OperationKind::Execute] {
        assert!(gate.admits(&route(operation), TIME_LIMIT, now));
        assert!(gate.admits(&route(operation), TIME_LIMIT, now + ms(699)));
        assert!(!gate.admits(&route(operation), TIME_LIMIT, now + ms(700)));
        // A request that has less time itself takes no longer.
        assert!(gate.admits(&route(operation), ms(200), now + ms(700)));
    }
}

/// Guards against routes with long time limits that get no service in any stop.
#[test]
fn admits_unknown_work_by_its_objective_only_if_it_may_be_repeated() {
    let now = Instant::now();
    let gate = stopping_gate(&[], now + ms(1_000));
    assert!(gate.admits(&route(OperationKind::Search), TIME_LIMIT, now));
    assert!(!gate.admits(&route(OperationKind::Search), TIME_LIMIT, now + ms(600)));
    assert!(!gate.admits(&route(OperationKind::Execute), TIME_LIMIT, now));
    assert!(gate.admits(&route(OperationKind::Execute), ms(900), now));
}

/// Guards against a single slow request that takes all later ones their service, where they may be repeated.
#[test]
fn admits_beside_a_single_slow_request_what_may_be_repeated() {
    let now = Instant::now();
    let mut times = [100; 64];
    times[7] = 3_000;
    let gate = stopping_gate(&times, now + ms(1_000));
    assert!(gate.admits(&route(OperationKind::Search), TIME_LIMIT, now));
    assert!(!gate.admits(&route(OperationKind::Execute), TIME_LIMIT, now));
}

/// Guards against work times of routes that are gone, and are kept for good.
#[test]
fn retain_routes_forgets_the_others() {
    let now = Instant::now();
    let mut gate = stopping_gate(&[3_000; 64], now + ms(1_000));
    assert!(!gate.admits(&route(OperationKind::Search), TIME_LIMIT, now));
    gate.retain_routes(|name| name == "another");
    assert!(gate.admits(&route(OperationKind::Search), TIME_LIMIT, now));
}

/// Requests of a stop that were begun, and those of them that were cut.
fn play_stop(grace: Duration, work_ms: (u64, u64), seed: u64) -> (usize, usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut work = || ms(rng.random_range(work_ms.0..work_ms.1));
    let schedule = ShutdownSchedule::of_grace(grace);
    let start = Instant::now();
    let cut_at = start + schedule.run_time();
    let mut gate = ShutdownGate::default();
    let route = route(OperationKind::Search);
    (0..64).for_each(|_| gate.record(&route.name, work()));
    gate.begin_stop(cut_at);
    let (mut begun, mut cut) = (0, 0);
    let mut now = start;
    while now < start + schedule.notice + schedule.patience {
        if gate.admits(&route, TIME_LIMIT, now) {
            begun += 1;
            cut += usize::from(now + work() > cut_at);
        }
        now += ms(5);
    }
    (begun, cut)
}

/// Guards against stops in which more than one in ten of the requests that were begun are cut.
#[test]
fn admits_few_requests_that_are_cut() {
    let mut sums = (0, 0);
    for (seed, grace_ms) in (0..).zip([1_200, 2_000, 3_000, 6_000, 20_000].repeat(20)) {
        for work_ms in [(100, 900), (100, 1_300), (100, 2_200), (1, 4_000), (50, 60)] {
            let (begun, cut) = play_stop(ms(grace_ms), work_ms, seed);
            sums = (sums.0 + begun, sums.1 + cut);
        }
    }
    assert!(sums.0 > 0 && sums.1 * 10 <= sums.0, "{} of {} requests are cut", sums.1, sums.0);
}

proptest! {
    /// Guards against a division that leaves the process no time to reply or to exit, or adds up to more than the grace.
    #[test]
    fn of_grace_leaves_time_to_reply_and_to_exit(grace_ms in 0..60_000_u64) {
        let schedule = ShutdownSchedule::of_grace(ms(grace_ms));
        let end = schedule.notice + schedule.patience;
        prop_assert!(end + ms(450) <= ms(grace_ms).max(ms(450)));
        prop_assert!(schedule.run_time() + schedule.reply_time() == end);
        prop_assert!(schedule.notice <= schedule.run_time());
    }

    /// Guards against requests whose time has room before the stop and that are refused, or that have none and are begun.
    #[test]
    fn admits_by_the_time_left(
        times in prop::collection::vec(1..4_000_u64, 20..64),
        left_ms in 0..5_000_u64,
    ) {
        let now = Instant::now();
        let gate = stopping_gate(&times, now + ms(left_ms));
        let (most, least) = (times.iter().max().unwrap(), times.iter().min().unwrap());
        let admits = |operation| gate.admits(&route(operation), TIME_LIMIT, now);
        prop_assert_eq!(admits(OperationKind::Execute), *most < left_ms);
        prop_assert!(admits(OperationKind::Search) || *most >= left_ms);
        prop_assert!(!admits(OperationKind::Search) || *least < left_ms);
    }
}
