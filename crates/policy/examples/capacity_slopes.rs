//! Prints the memory of each part of a VM's state at several sizes, from the process's resident set.
//!
//! Small parts are built many times, so that they stand out from the allocator's overhead.

#![allow(clippy::unwrap_used)]

#[path = "../benches/control_fleet/mod.rs"]
mod control_fleet;
#[allow(dead_code)]
#[path = "../benches/large_fleet/mod.rs"]
mod large_fleet;

use std::time::Instant;

use control_fleet::contract;
use control_fleet::contract_object;
use control_fleet::membership;
use control_fleet::resident_bytes;
use control_fleet::target_object;
use large_fleet::LargeFleet;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::CustomerLimiter;
use oleanderwind_policy::EntryState;
use oleanderwind_policy::LedgerEntry;
use oleanderwind_policy::LedgerSegment;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectStore;

/// Approximate number of units to build for each size, in several copies of the part.
const TOTAL_UNITS: usize = 40_000;
/// Targets per service: 72 shards with two replicas each.
const TARGETS_PER_SERVICE: usize = 144;

fn main() {
    let now = Instant::now();
    print_slope("VMs in a view", &[7, 70, 700, 2_200], |vms| membership(vms, now));
    print_slope("objects of targets", &[95, 950, 9_500], |targets| {
        store((1..=targets).map(|number| target_object(number, number as u64)).collect())
    });
    print_slope("objects of contracts", &[10, 100, 1_000, 2_500], |contracts| {
        store((1..=contracts).map(|number| contract_object(number, number as u64)).collect())
    });
    print_slope("checked contracts", &[10, 100, 1_000, 2_500], |contracts| {
        let checked = (0..contracts).map(|number| CustomerContract::try_from(&contract(number)));
        checked.map(Result::unwrap).collect::<Vec<_>>()
    });
    print_slope("customers' limits", &[10, 100, 1_000, 2_500], |customers| {
        let limiter = |_| CustomerLimiter::new(168.0, 21, now);
        (0..customers).map(limiter).collect::<Vec<_>>()
    });
    print_slope("targets of the fan-out", &[144, 1_008, 9_504], |targets| {
        LargeFleet::with_services(targets / TARGETS_PER_SERVICE)
    });
    print_open_queries();
    print_slope("ledger entries", &[10, 100, 1_000, 6_250], segment);
    print_segment_bytes();
}

/// Builds a part in each size and prints its bytes and the bytes per unit.
fn print_slope<Part>(title: &str, sizes: &[usize], build: impl Fn(usize) -> Part) {
    println!("{title:<24} {:>10} {:>12} {:>8}", "count", "bytes", "each");
    for size in sizes {
        let copies = (TOTAL_UNITS / size).max(4);
        let before = resident_bytes();
        let parts: Vec<Part> = (0..copies).map(|_| build(*size)).collect();
        let bytes = resident_bytes().saturating_sub(before) / parts.len();
        println!("{:<24} {size:>10} {bytes:>12} {:>8}", "", bytes / size);
        // Leaked, so that the next size does not reuse this memory.
        std::mem::forget(parts);
    }
}

fn store(objects: Vec<ConfigurationObject>) -> ObjectStore {
    let mut store = ObjectStore::default();
    let highest = objects.len() as u64;
    store.apply_listing(&ObjectListing::from_platform(&objects, highest));
    store
}

/// Prints the memory of open queries, each waiting for 72 sub-queries, over all services.
fn print_open_queries() {
    println!("{:<24} {:>10} {:>12} {:>8}", "open queries", "count", "bytes", "each");
    for queries in [40, 160, 640] {
        let copies = (640 / queries).max(4);
        let mut fleets: Vec<_> = (0..copies).map(|_| LargeFleet::new()).collect();
        let before = resident_bytes();
        fleets.iter_mut().for_each(|fleet| fleet.submit(queries as u64));
        let bytes = resident_bytes().saturating_sub(before) / fleets.len();
        println!("{:<24} {queries:>10} {bytes:>12} {:>8}", "", bytes / queries);
        assert_eq!(
            fleets[0].engine.counts().running_queries,
            queries,
            "the fleet refused some queries"
        );
        std::mem::forget(fleets);
    }
}

/// Returns a segment of completed entries with results of 40 bytes.
fn segment(entries: usize) -> LedgerSegment {
    let done = || EntryState::Done { provider: "east".into(), result: Some("r".repeat(40)) };
    let entry = |number: usize| {
        (format!("{number:032x}"), LedgerEntry { issued_ms: 1_796_000_000_000, state: done() })
    };
    LedgerSegment { entries: (0..entries).map(entry).collect() }
}

/// Prints the size of the object that each write of a segment sends.
fn print_segment_bytes() {
    println!("{:<24} {:>10} {:>12} {:>8}", "a segment's write", "entries", "bytes", "each");
    for entries in [10, 100, 1_000, 6_250] {
        let bytes = serde_json::to_vec(&segment(entries)).unwrap().len();
        println!("{:<24} {entries:>10} {bytes:>12} {:>8}", "", bytes / entries);
    }
}
