//! Memory of one VM's state at the target fleet size, measured in a separate process.

#![allow(dead_code, clippy::unwrap_used)]

#[path = "../benches/control_fleet/mod.rs"]
mod control_fleet;
#[path = "../benches/large_fleet/mod.rs"]
mod large_fleet;

use std::time::Instant;

use control_fleet::contract;
use control_fleet::contract_object;
use control_fleet::membership;
use control_fleet::resident_bytes;
use control_fleet::snapshot_object;
use control_fleet::target_object;
use control_fleet::vm_object;
use large_fleet::LargeFleet;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::CustomerLimiter;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::ObjectListing;

/// Memory budget of a VM's control state, in bytes.
const CONTROL_BUDGET_BYTES: usize = 64 << 20;
const VMS: usize = 2_200;
const TARGETS: usize = 9_500;
const CONTRACTS: usize = 2_500;
/// Index versions: two for each of 66 services, as during a version switch.
const SNAPSHOTS: usize = 132;
/// Concurrent queries of a VM: 420,000 / 2,200 per second, 210 ms each.
const OPEN_QUERIES: u64 = 41;

/// Builds a part, prints the growth of the process and adds it to `sum`.
fn measure_growth<Part>(title: &str, sum: &mut usize, build: impl FnOnce() -> Part) -> Part {
    let before = resident_bytes();
    let part = build();
    let bytes = resident_bytes().saturating_sub(before);
    println!("{title:<36} {:>8} KB", bytes >> 10);
    *sum += bytes;
    part
}

fn objects() -> Vec<ConfigurationObject> {
    let contracts = (0..CONTRACTS).map(|number| contract_object(number, number as u64 + 1));
    let targets = (0..TARGETS).map(|number| target_object(number, number as u64 + 10_000));
    let snapshots = (0..SNAPSHOTS).map(|number| snapshot_object(number, number as u64 + 20_000));
    let vms = (0..VMS).map(|number| vm_object(number, number as u64 + 30_000));
    contracts.chain(targets).chain(snapshots).chain(vms).collect()
}

fn gossip() -> GossipEngine {
    let mut gossip = GossipEngine::default();
    gossip.apply_listing(&ObjectListing::from_platform(&objects(), 40_000));
    gossip
}

#[test]
fn control_state_fits_its_memory_at_the_target_size() {
    let now = Instant::now();
    let (mut control, mut data) = (0, 0);
    let membership =
        measure_growth("control: view of 2,200 VMs", &mut control, || membership(VMS, now));
    let gossip = measure_growth("control: 14,332 objects", &mut control, gossip);
    let contracts = measure_growth("control: 2,500 checked contracts", &mut control, || {
        let checked = (0..CONTRACTS).map(|number| CustomerContract::try_from(&contract(number)));
        checked.map(Result::unwrap).collect::<Vec<_>>()
    });
    let limiters = measure_growth("control: 2,500 customers' limits", &mut control, || {
        (0..CONTRACTS).map(|_| CustomerLimiter::new(168.0, 21, now)).collect::<Vec<_>>()
    });
    let mut fleet = measure_growth("data: 9,504 targets, 66 manifests", &mut data, LargeFleet::new);
    measure_growth("data: 41 open queries of 72", &mut data, || fleet.submit(OPEN_QUERIES));
    let pull_bytes: usize = objects().iter().map(ConfigurationObject::max_encoded_len).sum();
    println!("all objects as messages of an initial pull: {} KB at most", pull_bytes >> 10);
    println!(
        "control {} KB of {} KB, data {} KB",
        control >> 10,
        CONTROL_BUDGET_BYTES >> 10,
        data >> 10
    );
    // These assertions also keep all parts alive until here.
    assert_eq!(membership.table().len(), VMS - 1);
    assert_eq!(gossip.store().iter_kind(oleanderwind_policy::ObjectKind::Targets).count(), TARGETS);
    assert_eq!((contracts.len(), limiters.len()), (CONTRACTS, CONTRACTS));
    assert_eq!(fleet.engine.counts().running_queries, OPEN_QUERIES as usize);
    assert!(control <= CONTROL_BUDGET_BYTES, "control state takes {control} bytes");
}
