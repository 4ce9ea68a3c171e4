//! Prints the memory that a member and a configuration object take, from the process's resident set.

use std::time::Instant;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectStore;
use oleanderwind_policy::PlatformVm;

const FLEET: usize = 2_200;
const TARGETS: u64 = 9_500;
/// Bytes of a target's object.
const BODY_BYTES: usize = 300;
/// Copies that are built, to be seen above the allocator's own needs.
const COPIES: usize = 20;
const PAGE_BYTES: usize = 4_096;

/// Bytes of the process that are in memory.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

/// A view of the whole fleet that shares nothing with another one.
fn members() -> MembershipEngine {
    let listed = |number: usize| PlatformVm {
        vm: format!("vm-{number:04}").into(),
        failure_domain: format!("r{}-d{:02}", number % 6, number % 16).into(),
        peer_address: ([10, 1, 1, 1], 7_402).into(),
        caller_address: ([10, 1, 1, 1], 7_400).into(),
        leaving: false,
    };
    let fleet: Vec<PlatformVm> = (0..FLEET).map(listed).collect();
    let own = MemberRecord::from(&fleet[0]);
    let mut members = MembershipEngine::new(MembershipSettings::default(), own, Instant::now());
    members.apply_list(&fleet);
    members
}

/// A store of every target's object.
fn store() -> ObjectStore {
    let target = |number: u64| ConfigurationObject {
        key: ObjectKey { kind: ObjectKind::Targets, name: format!("t-{number:05}").into() },
        revision: number,
        body: Some(vec![b'x'; BODY_BYTES].into()),
    };
    let objects: Vec<ConfigurationObject> = (1..=TARGETS).map(target).collect();
    let mut store = ObjectStore::default();
    store.apply_listing(&ObjectListing::from_platform(&objects, TARGETS));
    store
}

fn main() {
    let before = resident_bytes();
    let views: Vec<MembershipEngine> = (0..COPIES).map(|_| members()).collect();
    let view = resident_bytes().saturating_sub(before) / views.len();
    println!("view of {FLEET} VMs: {view} bytes, {} a VM", view / FLEET);
    let before = resident_bytes();
    let stores: Vec<ObjectStore> = (0..COPIES).map(|_| store()).collect();
    let store = resident_bytes().saturating_sub(before) / stores.len();
    let each = store as u64 / TARGETS;
    println!("store of {TARGETS} objects of {BODY_BYTES} bytes: {store} bytes, {each} an object");
}
