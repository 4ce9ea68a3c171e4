//! Checks that every answer is whole, the caller's own and free of contradictions.

use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::CoverageReport;

/// HTTP status of an answer.
const STATUS_OK: u16 = 200;

/// Something wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerFault {
    /// The answer names another request.
    RequestId,
    /// The digest does not match the hits or the result.
    Digest,
    /// The coverage numbers contradict each other or the outcome.
    Coverage,
    /// The outcome contradicts `ran`.
    RunState,
    /// The outcome contradicts the HTTP status.
    Status,
    /// A search answer without its snapshot, or an operation's answer without its result.
    Incomplete,
    /// The hits are not in the order of their scores.
    Order,
}

/// What one answer is checked against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerCheck {
    /// The id that the request carried.
    pub request_id: String,
    /// Search or operation.
    pub operation: OperationKind,
}

impl AnswerCheck {
    /// Every fault of `answer`, which came with HTTP status `status`.
    pub fn faults(&self, status: u16, answer: &CallerAnswer) -> Vec<AnswerFault> {
        let answered = matches!(answer.outcome, RequestOutcome::Answered | RequestOutcome::Partial);
        let ran_fits = match answer.outcome {
            RequestOutcome::Answered | RequestOutcome::Partial => answer.ran == RunState::Yes,
            RequestOutcome::NotRun => answer.ran == RunState::No,
            RequestOutcome::Unknown => answer.ran != RunState::No,
        };
        let in_order = answer.hits.windows(2).all(|pair| pair[0].score >= pair[1].score);
        let checks = [
            (AnswerFault::RequestId, answer.request_id == self.request_id),
            (AnswerFault::Digest, !answered || answer.digest == answer.content_digest()),
            (AnswerFault::Coverage, self.coverage_fits(answer)),
            (AnswerFault::RunState, ran_fits),
            (AnswerFault::Status, answered == (status == STATUS_OK)),
            (AnswerFault::Incomplete, !answered || self.is_complete(answer)),
            (AnswerFault::Order, in_order),
        ];
        checks.into_iter().filter(|(_, fits)| !fits).map(|(fault, _)| fault).collect()
    }

    /// Whether an answer has the parts that its operation asks for.
    fn is_complete(&self, answer: &CallerAnswer) -> bool {
        match self.operation {
            OperationKind::Search => answer.snapshot.is_some() && answer.coverage.is_some(),
            OperationKind::Execute => answer.result.is_some(),
        }
    }

    /// Whether the coverage fits itself and the outcome.
    fn coverage_fits(&self, answer: &CallerAnswer) -> bool {
        let Some(report) = answer.coverage else {
            return true;
        };
        let whole = report.documents_covered == report.documents_total
            && report.shards_answered == report.shards_total;
        numbers_fit(&report)
            && match answer.outcome {
                RequestOutcome::Answered => whole,
                RequestOutcome::Partial => !whole,
                RequestOutcome::NotRun | RequestOutcome::Unknown => true,
            }
    }
}

/// Whether the parts are no greater than the wholes and documents come from shards.
fn numbers_fit(report: &CoverageReport) -> bool {
    report.documents_covered <= report.documents_total
        && report.shards_answered <= report.shards_total
        && (report.shards_answered > 0 || report.documents_covered == 0)
}
