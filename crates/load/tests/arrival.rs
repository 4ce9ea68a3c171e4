//! Tests that arrivals are reproducible from their seed and match the rate and the class mix.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use oleanderwind_load::ArrivalPlan;
use oleanderwind_load::ArrivalSettings;
use oleanderwind_load::DeploymentName;
use oleanderwind_load::PlannedRequest;
use oleanderwind_policy::OperationKind;

/// Returns settings with both deployments at 100 requests per second each.
fn settings(seed: u64) -> ArrivalSettings {
    ArrivalSettings {
        deployments: vec![DeploymentName::Tsagaan, DeploymentName::Haneul],
        rate: 100.0,
        rate_factors: BTreeMap::new(),
        duration: Duration::from_secs(100),
        count: 1_000_000,
        seed,
        repeat_permille: 500,
    }
}

/// Returns all requests of a plan.
fn plan(seed: u64) -> Vec<PlannedRequest> {
    ArrivalPlan::new(settings(seed)).collect()
}

#[test]
fn arrival_plan_is_reproducible_from_its_seed() {
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
}

#[test]
fn arrival_plan_matches_rate_and_class_mix() {
    let requests = plan(3);
    // The expected count is 20,000. The tolerance is five standard deviations of a Poisson count.
    assert!(requests.len().abs_diff(20_000) < 707, "{}", requests.len());
    assert!(requests.is_sorted_by_key(|request| request.at));
    for deployment in [DeploymentName::Tsagaan, DeploymentName::Haneul] {
        let own: Vec<_> =
            requests.iter().filter(|request| request.deployment == deployment).collect();
        assert_eq!(deployment.classes().iter().map(|share| share.percent).sum::<u32>(), 100);
        for share in deployment.classes() {
            let count = own.iter().filter(|request| request.share == *share).count();
            let fraction = count as f64 / own.len() as f64;
            assert!((fraction - f64::from(share.percent) / 100.0).abs() < 0.025, "{share:?}");
        }
    }
}

#[test]
fn arrival_plan_repeats_keyed_requests_only() {
    let requests = plan(3);
    let keyed = |request: &&PlannedRequest| request.share.operation == OperationKind::Execute;
    let repeated = requests.iter().filter(|request| request.repeats).count();
    assert!(repeated > 0 && repeated < requests.iter().filter(keyed).count());
    assert!(requests.iter().filter(|request| request.repeats).all(|request| keyed(&request)));
}

#[test]
fn arrival_plan_ends_at_its_count() {
    let plan = ArrivalPlan::new(ArrivalSettings { count: 17, ..settings(3) });
    assert_eq!(plan.count(), 17);
}

#[test]
fn arrival_plan_matches_rate_factors() {
    let mut settings = settings(5);
    settings.rate_factors = BTreeMap::from([(DeploymentName::Haneul, 10.0)]);
    let haneul = ArrivalPlan::new(settings.clone())
        .filter(|request| request.deployment == DeploymentName::Haneul)
        .count();
    let all = ArrivalPlan::new(settings).count();
    // The rates are 1,000 and 100 requests per second for 100 s. Each tolerance is about five
    // standard deviations of a Poisson count.
    assert!(haneul.abs_diff(100_000) < 1_600, "{haneul}");
    assert!((all - haneul).abs_diff(10_000) < 500, "{all}");
}
