//! Checks that an answer is complete, belongs to its request and is consistent.

use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::CoverageReport;

/// HTTP status of a complete or partial answer.
const STATUS_OK: u16 = 200;

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerFault {
    /// The answer has the id of another request.
    RequestId,
    /// The digest does not match the content of the answer.
    Digest,
    /// The coverage counts are inconsistent with each other or with the outcome.
    Coverage,
    /// The outcome is inconsistent with `ran`.
    RunState,
    /// The outcome is inconsistent with the HTTP status.
    Status,
    /// A search answer has no snapshot or no coverage, or the answer to an operation has no result.
    Incomplete,
    /// The hits are not in descending order of score.
    Order,
}

/// Properties of a request that its answer is checked against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerCheck {
    /// Id of the request.
    pub request_id: String,
    /// Kind of the request.
    pub operation: OperationKind,
}

impl AnswerCheck {
    /// Returns all faults of `answer`, which was received with HTTP status `status`.
    pub fn faults(&self, status: u16, answer: &CallerAnswer) -> Vec<AnswerFault> {
        let answered = matches!(answer.outcome, RequestOutcome::Answered | RequestOutcome::Partial);
        let ran_matches = match answer.outcome {
            RequestOutcome::Answered | RequestOutcome::Partial => answer.ran == RunState::Yes,
            RequestOutcome::NotRun => answer.ran == RunState::No,
            RequestOutcome::Unknown => answer.ran != RunState::No,
        };
        let in_order = answer.hits.windows(2).all(|pair| pair[0].score >= pair[1].score);
        let checks = [
            (AnswerFault::RequestId, answer.request_id == self.request_id),
            (AnswerFault::Digest, !answered || answer.digest == answer.content_digest()),
            (AnswerFault::Coverage, self.coverage_is_consistent(answer)),
            (AnswerFault::RunState, ran_matches),
            (AnswerFault::Status, answered == (status == STATUS_OK)),
            (AnswerFault::Incomplete, !answered || self.is_complete(answer)),
            (AnswerFault::Order, in_order),
        ];
        checks.into_iter().filter(|(_, passes)| !passes).map(|(fault, _)| fault).collect()
    }

    /// Returns whether an answer has all parts that its operation requires.
    fn is_complete(&self, answer: &CallerAnswer) -> bool {
        match self.operation {
            OperationKind::Search => answer.snapshot.is_some() && answer.coverage.is_some(),
            OperationKind::Execute => answer.result.is_some(),
        }
    }

    /// Returns whether the coverage is consistent in itself and with the outcome.
    fn coverage_is_consistent(&self, answer: &CallerAnswer) -> bool {
        let Some(report) = answer.coverage else {
            return true;
        };
        let is_full = report.documents_covered == report.documents_total
            && report.shards_answered == report.shards_total;
        counts_are_consistent(&report)
            && match answer.outcome {
                RequestOutcome::Answered => is_full,
                RequestOutcome::Partial => !is_full,
                RequestOutcome::NotRun | RequestOutcome::Unknown => true,
            }
    }
}

/// Returns whether no covered count exceeds its total and documents are covered only if a shard
/// answered.
fn counts_are_consistent(report: &CoverageReport) -> bool {
    report.documents_covered <= report.documents_total
        && report.shards_answered <= report.shards_total
        && (report.shards_answered > 0 || report.documents_covered == 0)
}
