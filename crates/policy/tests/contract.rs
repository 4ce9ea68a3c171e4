//! Contracts: validation and placement.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::RawContract;

fn raw_contract() -> RawContract {
    serde_json::from_str(
        r#"{
            "customer": "library", "preference": "coverage",
            "requests_per_second": 50, "extra_load_permille": 100,
            "placement": [{"provider": "east", "share_permille": 400},
                          {"provider": "west", "share_permille": 600}],
            "classes": {"finder": {"service": "courses", "operation": "search",
                                   "deadline_ms": 200, "coverage_floor_permille": 990}}
        }"#,
    )
    .unwrap()
}

#[test]
fn try_from_reports_all_findings_together() {
    let mut raw = raw_contract();
    raw.customer = "Not A Name".into();
    raw.requests_per_second = f64::NAN;
    raw.extra_load_permille = 2_000;
    raw.placement[0].share_permille = 1;
    raw.placement[1].provider.clear();
    let class = raw.classes.get_mut("finder").unwrap();
    class.service.clear();
    class.deadline_ms = 0;
    class.coverage_floor_permille = 1_001;
    let findings = CustomerContract::try_from(&raw).unwrap_err();
    expect![[r#"
        customer: give 1 to 63 of a-z, 0-9 and -
        requests_per_second: is NaN; give more than 0 and at most 1000000
        extra_load_permille: is 2000; give 0 to 1000
        placement[1].provider: is empty; name the provider
        placement: shares add up to 601; give 1000
        classes.finder.service: is empty; name the service
        classes.finder.deadline_ms: is 0; give 5 to 60000 milliseconds
        classes.finder.coverage_floor_permille: is 1001; give 0 to 1000"#]]
    .assert_eq(&findings.to_string());
}

#[test]
fn provider_for_distributes_hashes_by_share() {
    let contract = CustomerContract::try_from(&raw_contract()).unwrap();
    let east = (0..1_000)
        .filter(|hash| contract.provider_for(*hash).map(|name| &**name) == Some("east"))
        .count();
    assert_eq!(east, 400);
}
