//! Routes: validation, lookup, weighted round robin and merging.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use expect_test::expect;
use oleanderwind_policy::HomeRegions;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RawCallerLimits;
use oleanderwind_policy::RawOrganisation;
use oleanderwind_policy::RawRoute;
use oleanderwind_policy::RawRouteConfiguration;
use oleanderwind_policy::RawShardSet;
use oleanderwind_policy::RawWeightedService;
use oleanderwind_policy::RouteConfiguration;
use oleanderwind_policy::RouteDestination;
use oleanderwind_policy::RouteTable;
use oleanderwind_policy::WeightedRoundRobin;
use oleanderwind_policy::WeightedService;
use oleanderwind_policy::merge_records;
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        operation: OperationKind::Search,
        objective_ms: 80,
        time_limit_ms: 800,
        attempts: 2,
        rank: 1,
        service: Some("records".to_owned()),
        shares: None,
        shards: None,
        is_public: false,
        regions: Vec::new(),
    }
}

fn configuration(routes: Vec<RawRoute>) -> RawRouteConfiguration {
    RawRouteConfiguration {
        version: 7,
        routes,
        services: Vec::new(),
        limits: RawCallerLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head_ms: 3_000,
            idle_ms: 15_000,
        },
        organisations: None,
    }
}

fn shard_set(count: usize, floor: f64) -> RawShardSet {
    let services = (0..count).map(|shard| format!("shard-{shard}")).collect();
    RawShardSet { services, top: 20, floor }
}

#[test]
fn try_from_reports_all_findings_with_their_places() {
    let mut first = route("first", "a.example", "no-slash");
    first.attempts = 0;
    let mut second = route("second", "a.example", "/b/");
    second.shards = Some(shard_set(2, 0.5));
    let mut third = route("third", "a.example", "/c/");
    third.service = None;
    third.shards = Some(shard_set(2, 1.5));
    let mut fourth = route("fourth", "a.example", "/d/");
    fourth.service = None;
    fourth.shares = Some(vec![RawWeightedService { service: "x".to_owned(), weight: 0 }]);
    let raw = configuration(vec![first, second, third, fourth]);
    let findings = RouteConfiguration::try_from(&raw).unwrap_err();
    expect![[r#"
        routes[0].prefix: is "no-slash"; begin and end it with a slash
        routes[0].attempts: is 0; give at least 1
        routes[1]: needs exactly one of service, shares and shards
        routes[2].shards.floor: is 1.5; give 0 to 1
        routes[3].shares: have no weight; give one of them at least 1"#]]
    .assert_eq(&findings.to_string());
}

#[test]
fn try_from_rounds_the_coverage_floor_up_to_whole_shards() {
    for (count, floor, min_shards) in [(20, 0.89, 18), (20, 0.35, 7), (90, 0.95, 86), (4, 0.0, 1)] {
        let mut raw = route("r", "a.example", "/a/");
        raw.service = None;
        raw.shards = Some(shard_set(count, floor));
        let configuration = RouteConfiguration::try_from(&configuration(vec![raw])).unwrap();
        let RouteDestination::Sharded(set) = &configuration.routes[0].destination else { panic!() };
        assert_eq!(set.min_shards, min_shards, "{count} shards at a floor of {floor}");
    }
}

#[test]
fn find_returns_the_route_with_the_longest_matching_prefix() {
    let raw = configuration(vec![
        route("short", "a.example", "/a/"),
        route("long", "a.example", "/a/b/"),
        route("other", "b.example", "/a/b/"),
    ]);
    let table = RouteTable::new(&RouteConfiguration::try_from(&raw).unwrap());
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(find("a.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find("A.Example:8080", "/a/b/").as_deref(), Some("long"));
    assert_eq!(find("a.example", "/a/bc").as_deref(), Some("short"));
    assert_eq!(find("b.example", "/a/b/c").as_deref(), Some("other"));
    assert_eq!(find("a.example", "/ab/c"), None);
    assert_eq!(find("c.example", "/a/b/c"), None);
}

proptest! {
    #[test]
    fn next_chooses_each_service_as_often_as_its_weight(
        weights in prop::collection::vec(1_u32..20, 1..6),
    ) {
        let services: Vec<WeightedService> = weights
            .iter()
            .map(|weight| WeightedService { service: "s".into(), weight: *weight })
            .collect();
        let mut round_robin = WeightedRoundRobin::default();
        let mut counts = vec![0; services.len()];
        for _ in 0..weights.iter().sum::<u32>() {
            counts[round_robin.next(&services).unwrap()] += 1;
        }
        prop_assert_eq!(counts, weights);
    }

    #[test]
    fn merge_records_returns_the_greatest_records_in_descending_order(
        parts in prop::collection::vec(prop::collection::vec(0_u8..4, 0..100), 0..6),
        record_limit in 0_usize..8,
    ) {
        let mut records: Vec<Vec<u8>> = parts
            .iter()
            .flat_map(|part| part.chunks_exact(16).map(<[u8]>::to_vec))
            .collect();
        records.sort_by(|left, right| right.cmp(left));
        records.truncate(record_limit);
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        prop_assert_eq!(merge_records(&parts, record_limit), records.concat());
    }
}

#[test]
fn home_regions_bind_those_of_the_route_and_of_the_organisation() {
    let regions = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let admitted = |route_regions: &[&str], own_regions: &[&str]| {
        let mut raw = configuration(vec![route("one", "a.example", "/a/")]);
        raw.routes[0].regions = regions(route_regions);
        raw.organisations = Some(vec![RawOrganisation {
            name: "library".to_owned(),
            keys: Vec::new(),
            rank: None,
            requests_per_second: 0.0,
            burst: 0.0,
            regions: regions(own_regions),
        }]);
        let checked = RouteConfiguration::try_from(&raw).unwrap();
        let organisations = checked.organisations.unwrap();
        let homes = HomeRegions::of(&checked.routes[0], organisations.first());
        let known = [Some("east"), Some("west"), None];
        known.map(|region| homes.admits(region.map(Into::into).as_ref()))
    };
    assert_eq!(admitted(&[], &[]), [true, true, true]);
    assert_eq!(admitted(&["east"], &[]), [true, false, false]);
    assert_eq!(admitted(&[], &["west"]), [false, true, false]);
    assert_eq!(admitted(&["east", "west"], &["west"]), [false, true, false]);
    assert_eq!(admitted(&["east"], &["west"]), [false, false, false]);
}
