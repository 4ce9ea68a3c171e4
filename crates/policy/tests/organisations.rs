//! Organisations: validation, lookup by key, and the encoding that builds without them read.
#![allow(clippy::unwrap_used)]

use expect_test::expect;
use oleanderwind_policy::CallerIdentity;
use oleanderwind_policy::KeyDigest;
use oleanderwind_policy::OrganisationId;
use oleanderwind_policy::OrganisationTable;
use oleanderwind_policy::RawOrganisation;
use oleanderwind_policy::RawRouteConfiguration;
use oleanderwind_policy::RouteConfiguration;
use serde_json::json;

/// Encoding of routes by the builds before there were organisations.
const KEPT_ENCODING: &str = concat!(
    r#"{"version":7,"routes":[{"name":"all","host":"a.example","prefix":"/all/","operation":"search","#,
    r#""objective_ms":80,"time_limit_ms":800,"attempts":2,"rank":1,"service":"records","shares":null,"shards":null}],"#,
    r#""services":[{"service":"records","connection_limit":20,"health_path":"/healthz"}],"#,
    r#""limits":{"head_bytes":16384,"body_bytes":4096,"head_ms":3000,"idle_ms":15000}}"#
);

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn organisation(name: &str, keys: &[&str]) -> RawOrganisation {
    let raw = json!({"name": name, "keys": keys.iter().map(|key| digest(key)).collect::<Vec<_>>()});
    serde_json::from_value(raw).unwrap()
}

fn raw(organisations: Option<Vec<RawOrganisation>>, is_public: bool) -> RawRouteConfiguration {
    let mut raw: RawRouteConfiguration = serde_json::from_str(KEPT_ENCODING).unwrap();
    raw.organisations = organisations;
    raw.routes[0].is_public = is_public;
    raw
}

/// Returns the name of the organisation for which a request with `key` is served, or what else becomes of it.
fn identify(raw: &RawRouteConfiguration, key: Option<&str>) -> String {
    let configuration = RouteConfiguration::try_from(raw).unwrap();
    let table = OrganisationTable::new(&configuration);
    let key = key.map(digest);
    match table.identify(&configuration.routes[0], key.as_ref()) {
        CallerIdentity::Anonymous => "-".to_owned(),
        CallerIdentity::Organisation(contract) => contract.organisation.to_string(),
        CallerIdentity::Unknown => "401".to_owned(),
    }
}

#[test]
fn identify_tells_organisations_by_their_keys() {
    let two = vec![organisation("library", &["a", "b"]), organisation("clinic", &["c"])];
    let cases = [
        (raw(Some(two.clone()), false), [("a", "library"), ("b", "library"), ("c", "clinic")]),
        (raw(Some(two), true), [("a", "library"), ("", "-"), ("x", "-")]),
        (raw(Some(Vec::new()), false), [("a", "401"), ("", "401"), ("x", "401")]),
        (raw(None, false), [("a", "-"), ("", "-"), ("x", "-")]),
    ];
    for (raw, expected) in cases {
        for (key, identity) in expected {
            let key = Some(key).filter(|key| !key.is_empty());
            assert_eq!(identify(&raw, key), identity, "{key:?} of {:?}", raw.organisations);
        }
    }
    let one = raw(Some(vec![organisation("library", &["a"])]), false);
    assert_eq!((identify(&one, None), identify(&one, Some("A"))), ("401".into(), "401".into()));
}

#[test]
fn still_admits_ends_with_the_key_and_with_another_holder() {
    let admits = |organisations: Option<Vec<RawOrganisation>>| {
        let configuration = RouteConfiguration::try_from(&raw(organisations, false)).unwrap();
        let library: OrganisationId = "library".into();
        OrganisationTable::new(&configuration).still_admits(Some(&library), Some(&digest("a")))
    };
    assert!(admits(Some(vec![organisation("library", &["b", "a"])])));
    assert!(admits(None), "no key is needed any more");
    assert!(!admits(Some(vec![organisation("library", &["b"])])));
    assert!(!admits(Some(vec![organisation("clinic", &["a"])])));
    let configuration = RouteConfiguration::try_from(&raw(Some(Vec::new()), false)).unwrap();
    assert!(OrganisationTable::new(&configuration).still_admits(None, None), "it needed no key");
}

#[test]
fn try_from_reports_ambiguous_organisations_without_their_keys() {
    let organisations = [
        organisation("library", &["a", "a"]),
        organisation("clinic", &["b", "a"]),
        organisation("clinic", &[]),
        organisation("line\nbreak", &[]),
    ];
    let two = RouteConfiguration::try_from(&raw(Some(organisations[..3].to_vec()), false));
    expect![[r#"
        organisations: "library" and "clinic" share a key
        organisations: "clinic" is given more than once"#]]
    .assert_eq(&two.unwrap_err().to_string());
    let odd = RouteConfiguration::try_from(&raw(Some(organisations[3..].to_vec()), false));
    expect!["organisations[0].name: contains a control character; targets are told it in a header"]
        .assert_eq(&odd.unwrap_err().to_string());
}

/// Guards against an encoding that earlier builds, which reject fields that they don't know, can't read.
#[test]
fn configuration_without_organisations_keeps_its_encoding() {
    assert_eq!(serde_json::to_string(&raw(None, false)).unwrap(), KEPT_ENCODING);
    let with = serde_json::to_value(raw(Some(Vec::new()), false)).unwrap();
    assert_eq!(with["organisations"], json!([]), "an empty list admits nobody and is kept");
}

#[test]
fn fields_of_later_builds_are_ignored() {
    let mut later: serde_json::Value = serde_json::from_str(KEPT_ENCODING).unwrap();
    later["later"] = json!(1);
    later["routes"][0]["later"] = json!(1);
    let read: RawRouteConfiguration = serde_json::from_value(later).unwrap();
    assert_eq!(read, raw(None, false));
}

#[test]
fn debug_output_of_a_key_admits_nobody() {
    let text = format!("{:?}", organisation("library", &["secret"]));
    assert!(!text.contains("secret") && !text.contains(&digest("secret").to_string()), "{text}");
}
