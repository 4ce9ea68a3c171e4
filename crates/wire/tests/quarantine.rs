//! Records of suspect work that peers send, checked before they are used.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use oleanderwind_policy::TargetEnd;
use oleanderwind_policy::TrialDecision;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_policy::WorkRecord;
use oleanderwind_wire::peer;

#[test]
fn work_record_survives_the_wire() {
    let mut record = WorkRecord::new(WorkFingerprint::of(&[b"a"]), "searches".into());
    record.generation = 3;
    record.ends = vec![TargetEnd { process: u64::MAX, in_trial: true }];
    record.age = Duration::from_millis(1_500);
    let message = peer::WorkRecord::from(&record);
    assert_eq!(WorkRecord::try_from(&message).unwrap(), record);
}

/// Guards against a malformed message that ends a process, or counts against work.
#[test]
fn work_record_of_any_other_length_is_rejected() {
    for length in [0, 15, 17, 1_000] {
        let message = peer::WorkRecord { work: vec![1; length], ..peer::WorkRecord::default() };
        let findings = WorkRecord::try_from(&message).unwrap_err();
        assert!(findings.to_string().contains("give 16"), "{findings}");
    }
    let message = peer::WorkRecord {
        work: vec![1; 16],
        age_ms: u64::MAX,
        generation: u64::MAX,
        ..peer::WorkRecord::default()
    };
    assert!(WorkRecord::try_from(&message).is_ok());
}

#[test]
fn trial_decision_that_is_not_known_is_rejected() {
    for (raw, is_known) in [(0, false), (1, true), (4, true), (99, false)] {
        let reply = peer::TrialReply { decision: raw, record: None };
        assert_eq!(TrialDecision::try_from(reply.decision()).is_ok(), is_known, "{raw}");
    }
}
