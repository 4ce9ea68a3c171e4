//! Gossip of drain notices between VMs.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::DrainRecord;
use oleanderwind_policy::DrainTable;

/// Wall-clock time of the first notice, in milliseconds since the Unix epoch.
const FIRST_NOTICE_MS: u64 = 1_800_000_000_000;

fn record(target: &str, after_ms: u64) -> DrainRecord {
    DrainRecord { target: target.into(), incarnation: 0, sequence: FIRST_NOTICE_MS + after_ms }
}

#[test]
fn observe_reports_each_departure_once() {
    let now = Instant::now();
    let mut table = DrainTable::default();
    assert!(table.observe(&record("a", 500), now));
    assert!(!table.observe(&record("a", 0), now), "an earlier notice that arrives later");
    assert!(!table.observe(&record("a", 500), now), "a duplicate");
    assert!(!table.observe(&record("a", 2_000), now), "a later notice of the same departure");
    assert!(table.observe(&record("b", 0), now), "another target");
    assert!(table.observe(&record("a", 120_000), now), "a second departure of the same target");
}

#[test]
fn observe_tells_the_processes_of_a_target_apart() {
    let now = Instant::now();
    let mut table = DrainTable::default();
    let of_process = |incarnation| DrainRecord { incarnation, ..record("a", 0) };
    assert!(table.observe(&of_process(7), now));
    assert!(!table.observe(&of_process(7), now), "a duplicate");
    assert!(!table.observe(&of_process(6), now), "an earlier process");
    assert!(table.observe(&of_process(8), now), "a later process that leaves too");
    assert_eq!(table.recent_records(now), [of_process(8)]);
}

#[test]
fn recent_records_are_bounded_newest_first_and_expire() {
    let start = Instant::now();
    let mut table = DrainTable::default();
    for number in 0..20 {
        let received_at = start + Duration::from_millis(number);
        assert!(table.observe(&record(&format!("target-{number}"), number), received_at));
    }
    let soon = start + Duration::from_secs(1);
    let carried: Vec<String> =
        table.recent_records(soon).iter().map(|record| record.target.to_string()).collect();
    assert_eq!(carried.len(), 8);
    assert_eq!(carried.first().unwrap(), "target-19");
    assert!(
        table.recent_records(start + Duration::from_secs(60)).is_empty(),
        "no records after a minute"
    );
    assert!(!table.observe(&record("target-0", 0), soon), "an old duplicate is still recognised");
}
