//! Tests of who gets memory, and who goes for it. Nothing here needs a network.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use oleanderwind_http::MemoryDecision;
use oleanderwind_http::MemoryLedger;
use oleanderwind_http::MemoryPurpose;

/// Memory of the machine, in bytes; a twelfth of it is for bodies.
const MACHINE_BYTES: usize = 12 * 1_000_000;
/// Length of a body, in bytes.
const BODY_BYTES: usize = 250_000;

/// A ledger with four bodies that take all its memory, begun one after the other.
fn full_ledger(start: Instant) -> (MemoryLedger, Vec<u64>) {
    let mut ledger = MemoryLedger::new(MACHINE_BYTES);
    let ids: Vec<u64> = (0..4)
        .map(|number| {
            let id = ledger.open(MemoryPurpose::Bodies, start + Duration::from_millis(number));
            assert_eq!(ledger.grow(id, BODY_BYTES), MemoryDecision::Granted);
            id
        })
        .collect();
    (ledger, ids)
}

#[test]
fn grow_closes_the_one_whose_progress_lies_furthest_back() {
    let start = Instant::now();
    let (mut ledger, ids) = full_ledger(start);
    ledger.mark(ids[0], start + Duration::from_millis(9));
    let new = ledger.open(MemoryPurpose::Bodies, start + Duration::from_millis(10));
    assert_eq!(ledger.grow(new, BODY_BYTES), MemoryDecision::Close(ids[1]));
    // Its memory is free once the connection is closed, and nobody else goes until then.
    assert_eq!(ledger.grow(new, BODY_BYTES), MemoryDecision::Wait);
    ledger.close(ids[1]);
    assert_eq!(ledger.grow(new, BODY_BYTES), MemoryDecision::Granted);
    assert_eq!(ledger.used(MemoryPurpose::Bodies), 4 * BODY_BYTES);
}

#[test]
fn grow_never_closes_a_request_that_has_arrived_in_full() {
    let start = Instant::now();
    let (mut ledger, ids) = full_ledger(start);
    for id in &ids {
        ledger.complete(*id);
    }
    let new = ledger.open(MemoryPurpose::Bodies, start);
    assert_eq!(ledger.grow(new, BODY_BYTES), MemoryDecision::Refused);
    ledger.close(ids[2]);
    assert_eq!(ledger.grow(new, BODY_BYTES), MemoryDecision::Granted);
}

#[test]
fn grow_keeps_each_purpose_to_its_part() {
    let start = Instant::now();
    let (mut ledger, _) = full_ledger(start);
    let answer = ledger.open(MemoryPurpose::Answers, start);
    assert_eq!(ledger.grow(answer, MACHINE_BYTES / 16), MemoryDecision::Granted);
    assert_eq!(ledger.grow(answer, MACHINE_BYTES / 16 + 1), MemoryDecision::Refused);
    assert_eq!(ledger.used(MemoryPurpose::Bodies), 4 * BODY_BYTES);
}

/// An answer is in memory already, so it counts at once, and slow readers go until the rest is within
/// the part.
#[test]
fn charge_counts_answers_and_closes_the_slowest_readers() {
    let start = Instant::now();
    let mut ledger = MemoryLedger::new(MACHINE_BYTES);
    let part = MACHINE_BYTES / 16;
    let mut ids = Vec::new();
    for number in 0..8 {
        let id = ledger.open(MemoryPurpose::Answers, start + Duration::from_millis(number));
        ledger.charge(id, part / 4);
        ids.push(id);
    }
    assert_eq!(ledger.used(MemoryPurpose::Answers), 2 * part);
    let closing = std::iter::from_fn(|| ledger.next_over_limit(MemoryPurpose::Answers));
    assert_eq!(closing.collect::<Vec<u64>>(), ids[..4]);
    ids.iter().for_each(|id| ledger.close(*id));
    assert_eq!(ledger.used(MemoryPurpose::Answers), 0);
}

/// No history takes more than the part of a purpose, and nothing is left when all are closed.
#[test]
fn used_stays_within_the_part_in_every_history() {
    let start = Instant::now();
    let mut ledger = MemoryLedger::new(MACHINE_BYTES);
    let mut open = Vec::new();
    let mut draw = 7_u64;
    for step in 0..20_000_u64 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let now = start + Duration::from_millis(step);
        let pick = (draw >> 33) as usize;
        if open.is_empty() || pick.is_multiple_of(5) {
            open.push(ledger.open(MemoryPurpose::Bodies, now));
            continue;
        }
        let position = pick % open.len();
        match pick % 7 {
            0 => ledger.close(open.swap_remove(position)),
            1 => ledger.complete(open[position]),
            2 => ledger.mark(open[position], now),
            _ => {
                if let MemoryDecision::Close(id) = ledger.grow(open[position], pick % BODY_BYTES) {
                    ledger.close(id);
                    open.retain(|other| *other != id);
                }
            }
        }
        assert!(ledger.used(MemoryPurpose::Bodies) <= MACHINE_BYTES / 12, "step {step}");
    }
    for id in open {
        ledger.close(id);
    }
    assert_eq!(ledger.used(MemoryPurpose::Bodies), 0);
}
