//! Parsing of keys and segments, and the size of a segment.

#![allow(clippy::unwrap_used)]

mod ledger_simulation;

use std::collections::BTreeMap;

use ledger_simulation::InjectedBug;
use ledger_simulation::START_MS;
use ledger_simulation::Simulation;
use ledger_simulation::Step;
use ledger_simulation::settings;
use oleanderwind_policy::EntryState;
use oleanderwind_policy::LedgerEntry;
use oleanderwind_policy::LedgerKey;
use oleanderwind_policy::LedgerKeyError;
use oleanderwind_policy::LedgerSegment;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn state() -> impl Strategy<Value = EntryState> {
    prop_oneof![
        any::<u64>().prop_map(EntryState::Claimed),
        any::<u32>().prop_map(EntryState::NotRun),
        (any::<String>(), any::<Option<String>>()).prop_map(|(provider, result)| {
            EntryState::Done { provider: provider.into(), result }
        }),
    ]
}

fn segment() -> impl Strategy<Value = LedgerSegment> {
    let entry =
        (any::<u64>(), state()).prop_map(|(issued_ms, state)| LedgerEntry { issued_ms, state });
    prop::collection::btree_map("[0-9a-f]{32}", entry, 0..5)
        .prop_map(|entries| LedgerSegment { entries })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn segment_survives_json(body in segment()) {
        let text = serde_json::to_string(&body).unwrap();
        prop_assert_eq!(serde_json::from_str::<LedgerSegment>(&text).unwrap(), body);
    }

    #[test]
    fn segment_garbage_never_panics(bytes in any::<Vec<u8>>()) {
        let _ = serde_json::from_slice::<LedgerSegment>(&bytes);
    }

    /// A corrupted body either fails to parse or yields a segment that can be written again.
    #[test]
    fn segment_corruption_never_panics(
        body in segment(),
        corruption in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = serde_json::to_vec(&body).unwrap();
        for (place, byte) in corruption {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        if let Ok(parsed) = serde_json::from_slice::<LedgerSegment>(&bytes) {
            serde_json::to_vec(&parsed).unwrap();
        }
    }

    #[test]
    fn key_garbage_never_panics(text in any::<String>()) {
        let _ = LedgerKey::try_from(text.as_str());
    }
}

#[test]
fn key_try_from_reports_the_fault() {
    let fault = |text: &str| LedgerKey::try_from(text).unwrap_err();
    assert_eq!(fault(""), LedgerKeyError::Length);
    assert_eq!(fault(&format!("1-{}", "a".repeat(200))), LedgerKeyError::Length);
    assert_eq!(fault("abc"), LedgerKeyError::IssueTime);
    assert_eq!(fault("-1-a"), LedgerKeyError::IssueTime);
    assert_eq!(fault("99999999999999999-a"), LedgerKeyError::IssueTime);
    assert_eq!(fault("1800000000000-"), LedgerKeyError::RandomPart);
    assert_eq!(fault("1800000000000-a b"), LedgerKeyError::RandomPart);
}

#[test]
fn segment_entry_bytes() {
    let bytes = |state: EntryState| {
        let entry = LedgerEntry { issued_ms: START_MS, state };
        let entries: BTreeMap<String, LedgerEntry> =
            (0..1_000).map(|number| (format!("{number:032x}"), entry.clone())).collect();
        serde_json::to_string(&LedgerSegment { entries }).unwrap().len() / 1_000
    };
    let result = Some("r".repeat(40));
    let claimed = bytes(EntryState::Claimed(u64::MAX));
    let done = bytes(EntryState::Done { provider: "east".into(), result });
    let not_run = bytes(EntryState::NotRun(1));
    println!("bytes per entry: claimed {claimed}, done with 40 bytes {done}, not run {not_run}");
    let reserve = 96;
    assert!(claimed.max(not_run) <= reserve, "an entry exceeds its reserved bytes");
    assert!(done <= reserve + "\"east\"".len() + 42, "an outcome exceeds its reserved bytes");
}

/// Submits more keys than fit, each with a result of the maximum kept size.
#[test]
fn segment_full_stays_within_its_limit() {
    let keys: Vec<String> = (0..2_300).map(|number| format!("{START_MS}-{number}")).collect();
    let attempts: Vec<(&str, u32)> = keys.iter().map(|key| (key.as_str(), 1)).collect();
    let limits = settings();
    let max_bytes = limits.max_segment_bytes;
    let mut simulation = Simulation::new(&attempts, limits, InjectedBug::None);
    simulation.result_bytes = simulation.settings.max_result_bytes - 2;
    for _ in 0..attempts.len() {
        simulation.apply(Step::Submit { vm: 0 });
    }
    while !simulation.vms[0].messages.is_empty() {
        simulation.apply(Step::Serve { vm: 0, index: 0 });
        simulation.apply(Step::Deliver { vm: 0, index: 0 });
    }
    let body = &simulation.store[&0].1;
    let bytes = serde_json::to_string(body).unwrap().len();
    let claim_bytes = 96 + 64 + simulation.settings.max_result_bytes;
    println!("{} entries of {} in {bytes} bytes", body.entries.len(), attempts.len());
    assert_eq!(body.entries.len(), max_bytes / claim_bytes);
    assert_eq!(simulation.executed.len(), body.entries.len());
    assert_eq!(simulation.answers.len(), attempts.len());
    assert!(bytes <= max_bytes);
}
