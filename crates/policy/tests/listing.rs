//! A list that brings news: who hears of it, and who holds the watches that bring lists.
#![allow(clippy::unwrap_used)]

use std::time::Instant;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::GossipAction;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::VmId;
use oleanderwind_policy::watch_holders;

fn object(name: &str, revision: u64) -> ConfigurationObject {
    let key = ObjectKey { kind: ObjectKind::Routes, name: name.into() };
    ConfigurationObject { key, revision, body: Some("{}".into()) }
}

fn vm(name: &str) -> PlatformVm {
    PlatformVm {
        vm: name.into(),
        failure_domain: "a".into(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        caller_address: "127.0.0.1:2".parse().unwrap(),
        processor_millicores: 0,
        leaving: false,
    }
}

fn members() -> MembershipEngine {
    let mut own = MemberRecord::from(&vm("own"));
    own.incarnation = 1;
    own.phase = MemberPhase::Serving;
    let mut members = MembershipEngine::new(MembershipSettings::default(), own, Instant::now());
    members.apply_platform_list(&[vm("own"), vm("b"), vm("c")]);
    members
}

/// Pattern: a watch broke off and a list shows what it kept back; peers had no watch at all.
#[test]
fn listed_passes_on_what_was_news() {
    let mut members = members();
    let mut spread = GossipEngine::default();
    let first = ObjectListing::from_platform(&[object("main", 8)], 8);
    assert_eq!(spread.handle_listing(&first, &mut members), [], "a first list is no news to peers");
    let second = ObjectListing::from_platform(&[object("main", 300)], 300);
    let actions = spread.handle_listing(&second, &mut members);
    assert_eq!(actions.len(), 2, "{actions:?}");
    let is_push = |action: &GossipAction| matches!(action, GossipAction::Push { objects, .. } if objects[0].revision == 300);
    assert!(actions.iter().all(is_push), "{actions:?}");
    assert_eq!(spread.handle_listing(&second, &mut members), [], "the same list again is none");
}

#[test]
fn watch_holders_are_all_vms_of_a_small_domain_and_two_of_a_large_one() {
    let names =
        |count: usize| -> Vec<VmId> { (0..count).map(|n| format!("vm-{n}").into()).collect() };
    for (count, wanted) in [(1, 1), (3, 3), (4, 2), (137, 2)] {
        assert_eq!(watch_holders(&"a".into(), &names(count)).len(), wanted, "{count} VMs");
    }
}
