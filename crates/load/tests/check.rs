//! Tests that each fault of an answer is found and that a correct answer has none.
#![allow(clippy::unwrap_used)]

mod support;

use oleanderwind_load::AnswerCheck;
use oleanderwind_load::AnswerFault;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::CoverageReport;
use support::execute_answer;
use support::full_coverage;
use support::refusal;
use support::search_answer;

/// Returns the faults of a correct answer to the search `a` after `change` was applied to it.
fn search_faults(status: u16, change: impl FnOnce(&mut CallerAnswer)) -> Vec<AnswerFault> {
    let mut answer = search_answer("a");
    change(&mut answer);
    faults(OperationKind::Search, status, &answer)
}

/// Returns the faults of an answer to the request `a`.
fn faults(operation: OperationKind, status: u16, answer: &CallerAnswer) -> Vec<AnswerFault> {
    AnswerCheck { request_id: "a".to_string(), operation }.faults(status, answer)
}

#[test]
fn faults_correct_answers() {
    assert_eq!(search_faults(200, |_| {}), []);
    assert_eq!(faults(OperationKind::Execute, 200, &execute_answer("a")), []);
    assert_eq!(faults(OperationKind::Execute, 503, &refusal("a")), []);
    let partial = search_faults(200, |answer| {
        answer.outcome = RequestOutcome::Partial;
        answer.coverage =
            Some(CoverageReport { documents_covered: 5, shards_answered: 1, ..full_coverage() });
    });
    assert_eq!(partial, []);
}

#[test]
fn faults_wrong_id_and_digest() {
    let id = search_faults(200, |answer| answer.request_id = "b".to_string());
    assert_eq!(id, [AnswerFault::RequestId]);
    let lost_hit = search_faults(200, |answer| {
        answer.hits.pop();
    });
    assert_eq!(lost_hit, [AnswerFault::Digest]);
    let mut result = execute_answer("a");
    result.result = Some("other".to_string());
    assert_eq!(faults(OperationKind::Execute, 200, &result), [AnswerFault::Digest]);
}

#[test]
fn faults_wrong_coverage() {
    let reports = [
        CoverageReport { documents_covered: 11, ..full_coverage() },
        CoverageReport { shards_answered: 3, ..full_coverage() },
        CoverageReport { shards_answered: 0, ..full_coverage() },
        CoverageReport { documents_covered: 9, ..full_coverage() },
    ];
    for report in reports {
        let found = search_faults(200, |answer| answer.coverage = Some(report));
        assert_eq!(found, [AnswerFault::Coverage], "{report:?}");
    }
    let complete_as_partial = search_faults(200, |answer| answer.outcome = RequestOutcome::Partial);
    assert_eq!(complete_as_partial, [AnswerFault::Coverage]);
}

#[test]
fn faults_inconsistent_answers() {
    assert_eq!(search_faults(200, |answer| answer.ran = RunState::No), [AnswerFault::RunState]);
    assert_eq!(search_faults(503, |_| {}), [AnswerFault::Status]);
    assert_eq!(search_faults(200, |answer| answer.snapshot = None), [AnswerFault::Incomplete]);
    let mut refused = refusal("a");
    refused.ran = RunState::Yes;
    assert_eq!(faults(OperationKind::Search, 503, &refused), [AnswerFault::RunState]);
    let order = search_faults(200, |answer| {
        answer.hits.reverse();
        answer.digest = answer.content_digest();
    });
    assert_eq!(order, [AnswerFault::Order]);
}
