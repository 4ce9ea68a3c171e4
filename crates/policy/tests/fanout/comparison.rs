//! Compares hedge and routing policies on the same seeds. Prints a table with `--nocapture`.

use std::time::Duration;

use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::HedgePolicy;
use oleanderwind_policy::RoutingPolicy;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;

/// Number of queries run with each variant.
const QUERIES: u64 = 2_000;

/// Results of one variant.
struct VariantStats {
    p99: Duration,
    coverage: f64,
    extra_permille: u64,
}

/// Fault that is applied to the targets.
#[derive(Clone, Copy, Debug)]
enum FaultScenario {
    /// One target in ten is three times as slow.
    SlowTargets,
    /// One call in a hundred takes ten times as long.
    RareStragglers,
}

/// Runs 100 queries a second against 20 shards with 2 replicas.
fn run_variant(
    scenario: FaultScenario,
    hedge: HedgePolicy,
    routing: RoutingPolicy,
) -> VariantStats {
    let mut settings = FanoutSettings::default();
    settings.hedge = hedge;
    settings.routing = routing;
    let mut fleet = FakeFleet::new(settings, 20, 2);
    match scenario {
        FaultScenario::SlowTargets => {
            fleet.targets.values_mut().step_by(10).for_each(|target| target.base_time = ms(30));
        }
        FaultScenario::RareStragglers => {
            fleet.targets.values_mut().for_each(|target| target.straggler_permille = 10);
        }
    }
    fleet.submit_every(1, QUERIES, ms(10));
    let mut latencies: Vec<_> = (1..=QUERIES).map(|query| fleet.latency(query)).collect();
    latencies.sort();
    let at = |permille: u64| latencies[(QUERIES * permille / 1_000) as usize - 1];
    let covered: u64 = fleet.finished.values().map(|(_, result)| result.documents_covered).sum();
    let total: u64 = fleet.finished.values().map(|(_, result)| result.documents_total).sum();
    let figures = VariantStats {
        p99: at(990),
        coverage: covered as f64 / total as f64,
        extra_permille: fleet.extra_calls * 1_000 / fleet.primary_calls,
    };
    println!(
        "{:<14} {:<28} {:<17} p50 {:>6.1?} p99 {:>6.1?} p99.9 {:>6.1?} coverage {:.5} extra {:>3} permille",
        format!("{scenario:?}"),
        format!("{hedge:?}"),
        format!("{routing:?}"),
        at(500),
        at(990),
        at(999),
        figures.coverage,
        figures.extra_permille,
    );
    figures
}

#[test]
fn variants_compare_on_the_same_seeds() {
    let hedges = [
        HedgePolicy::None,
        HedgePolicy::FixedDelay(ms(20)),
        HedgePolicy::Quantile { permille: 900 },
        HedgePolicy::Quantile { permille: 950 },
    ];
    let routings =
        [RoutingPolicy::RoundRobin, RoutingPolicy::LeastOutstanding, RoutingPolicy::ExpectedWait];
    for scenario in [FaultScenario::SlowTargets, FaultScenario::RareStragglers] {
        let figures =
            routings.map(|routing| hedges.map(|hedge| run_variant(scenario, hedge, routing)));
        assert!(figures.iter().flatten().all(|variant| variant.extra_permille <= 100));
        let product = &figures[2][3];
        assert!(
            product.p99 <= figures[0][0].p99,
            "p99 must not exceed that of round robin without hedging"
        );
        assert!(product.p99 <= ms(200) && product.coverage >= 0.999);
    }
}
