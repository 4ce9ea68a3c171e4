//! Propagation of changes found by a listing, and the choice of the watch holders.
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
    ConfigurationObject { key, revision, version: 0, body: Some("{}".into()) }
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

/// Guards against changes that reach only the VM that lists: its watch broke off and missed a
/// change, and its peers hold no watch.
#[test]
fn handle_listing_pushes_changed_objects() {
    let mut members = members();
    let mut gossip = GossipEngine::default();
    let first = ObjectListing::from_platform(&[object("main", 8)], 8);
    assert_eq!(gossip.handle_listing(&first, &mut members), [], "the first listing is not pushed");
    let second = ObjectListing::from_platform(&[object("main", 300)], 300);
    let actions = gossip.handle_listing(&second, &mut members);
    assert_eq!(actions.len(), 2, "{actions:?}");
    let is_push = |action: &GossipAction| matches!(action, GossipAction::Push { objects, .. } if objects[0].revision == 300);
    assert!(actions.iter().all(is_push), "{actions:?}");
    assert_eq!(
        gossip.handle_listing(&second, &mut members),
        [],
        "an unchanged listing is not pushed"
    );
}

/// Guards against calls to a target that left while watches heard nothing: only a list shows that its
/// entry is gone, and VMs that hold no watch do not list.
#[test]
fn handle_listing_pushes_removals() {
    let mut members = members();
    let mut gossip = GossipEngine::default();
    let objects = [object("main", 8), object("t-1", 9), object("t-2", 10)];
    gossip.handle_listing(&ObjectListing::from_platform(&objects, 10), &mut members);
    let listing = ObjectListing::from_platform(&[object("main", 8), object("t-2", 10)], 12);
    let actions = gossip.handle_listing(&listing, &mut members);
    assert_eq!(actions.len(), 2, "one push to each peer: {actions:?}");
    for action in actions {
        let GossipAction::Push { objects, .. } = action else { panic!("{action:?}") };
        let names: Vec<&str> = objects.iter().map(|object| &*object.key.name).collect();
        assert_eq!(names, ["t-1"]);
        assert!(objects[0].body.is_none() && objects[0].revision > 9, "{objects:?}");
        // A peer that still holds the target removes it.
        let mut peer = GossipEngine::default();
        let held = [object("main", 8), object("t-1", 9), object("t-2", 10)];
        peer.apply_listing(&ObjectListing::from_platform(&held, 10));
        peer.handle_changes(&objects, &mut members);
        assert!(peer.store().get(&object("t-1", 9).key).is_none());
        assert!(peer.store().get(&object("t-2", 10).key).is_some());
    }
}

/// Guards against targets that stay known to a VM which lost the push of their removal: the peer has
/// no tombstone after the revision up to which both are complete.
#[test]
fn handle_pull_page_pulls_a_full_listing_after_fruitless_pulls() {
    const MAX_HEARTBEATS: usize = 5;
    let mut members = members();
    let held = [object("main", 8), object("t-1", 9), object("t-2", 10)];
    let listing = ObjectListing::from_platform(&held, 10);
    let (mut peer, mut own) = (GossipEngine::default(), GossipEngine::default());
    peer.handle_listing(&listing, &mut members);
    own.handle_listing(&listing, &mut members);
    let listing = ObjectListing::from_platform(&[object("main", 8), object("t-2", 10)], 10);
    peer.handle_listing(&listing, &mut members);
    let key = object("t-1", 9).key;
    let now = Instant::now();
    let mut heartbeats = 0;
    while own.store().get(&key).is_some() && heartbeats < MAX_HEARTBEATS {
        heartbeats += 1;
        let summary = peer.store().summary();
        let action = own.handle_summary(&"b".into(), true, summary, now);
        let Some(GossipAction::Pull(pull)) = action else { panic!("{action:?}") };
        let delta = peer.handle_pull(pull.after, pull.full);
        own.handle_pull_page(&pull, &delta, &mut members, now);
    }
    assert!(own.store().get(&key).is_none(), "still held after {heartbeats} heartbeats");
}

#[test]
fn watch_holders_are_all_vms_of_a_small_domain_and_two_of_a_large_one() {
    let names =
        |count: usize| -> Vec<VmId> { (0..count).map(|n| format!("vm-{n}").into()).collect() };
    for (count, expected) in [(1, 1), (3, 3), (4, 2), (137, 2)] {
        assert_eq!(watch_holders(&"a".into(), &names(count)).len(), expected, "{count} VMs");
    }
}
