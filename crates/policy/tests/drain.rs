//! Departures of targets as VMs tell each other of them.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::DrainRecord;
use oleanderwind_policy::DrainTable;

/// Wall clock of the first sign, in milliseconds since the epoch.
const FIRST_SIGN_MS: u64 = 1_800_000_000_000;

fn record(target: &str, after_ms: u64) -> DrainRecord {
    DrainRecord { target: target.into(), sequence: FIRST_SIGN_MS + after_ms }
}

#[test]
fn heard_is_news_once_for_all_signs_of_one_departure() {
    let now = Instant::now();
    let mut book = DrainTable::default();
    assert!(book.observe(&record("a", 500), now));
    assert!(!book.observe(&record("a", 0), now), "an earlier hearer's word comes later");
    assert!(!book.observe(&record("a", 500), now), "an echo");
    assert!(!book.observe(&record("a", 2_000), now), "a later hearer of the same departure");
    assert!(book.observe(&record("b", 0), now), "another target");
    assert!(book.observe(&record("a", 120_000), now), "the target came back and leaves again");
}

#[test]
fn records_are_bounded_newest_first_and_carried_for_a_while() {
    let start = Instant::now();
    let mut book = DrainTable::default();
    for number in 0..20 {
        let heard_at = start + Duration::from_millis(number);
        assert!(book.observe(&record(&format!("target-{number}"), number), heard_at));
    }
    let soon = start + Duration::from_secs(1);
    let carried: Vec<String> =
        book.recent_records(soon).iter().map(|record| record.target.to_string()).collect();
    assert_eq!(carried.len(), 8);
    assert_eq!(carried.first().unwrap(), "target-19");
    assert!(
        book.recent_records(start + Duration::from_secs(60)).is_empty(),
        "no news after a minute"
    );
    assert!(!book.observe(&record("target-0", 0), soon), "an old echo is still known");
}
