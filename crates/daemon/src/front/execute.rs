//! Serving requests that must not be executed twice.

use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::LedgerCause;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::RefusalReport;

use crate::front::answer::RefusalKind;
use crate::front::answer::empty_answer;
use crate::front::request::CallerRequest;
use crate::front::request::RequestKey;
use crate::front::service::FrontService;
use crate::front::service::RequestResult;
use crate::ledger::LedgerCall;
use crate::ledger::LedgerReply;
use crate::time::milliseconds;

/// Reason given when a request ran but its result was too long to keep.
const RESULT_NOT_KEPT: &str = "result_not_kept";

impl FrontService {
    /// Executes a request at most once for its idempotency key.
    pub(crate) async fn execute(
        &self,
        request_id: &str,
        contract: &Rc<CustomerContract>,
        request: &CallerRequest,
        key: &RequestKey,
        arrived: Instant,
    ) -> RequestResult {
        let call = LedgerCall {
            customer: contract.customer.clone(),
            service: request.terms.service.clone(),
            key: key.key.clone(),
            attempt: key.attempt,
            body: Rc::from(request.text.as_str()),
            arrived,
            timeout: request.deadline,
        };
        let Some(reply) = self.ledger.execute(call).await else {
            // The ledger answers every attempt unless this VM is shutting down.
            return RequestResult::without_calls(unknown_answer(request_id));
        };
        let primary_calls = u32::from(reply.is_dispatched);
        RequestResult { answer: execute_answer(request_id, reply), primary_calls, extra_calls: 0 }
    }
}

fn unknown_answer(request_id: &str) -> CallerAnswer {
    let mut answer = empty_answer(request_id, RequestOutcome::Unknown, RunState::Unknown);
    answer.refusal = Some(refusal_report(RefusalKind::NotReady.reason()));
    answer
}

fn execute_answer(request_id: &str, reply: LedgerReply) -> CallerAnswer {
    let mut answer = empty_answer(request_id, reply.outcome, reply.ran);
    answer.refusal = missing_result_reason(&reply).map(refusal_report);
    answer.retry_after_ms = reply.retry_after.map(milliseconds);
    answer.result = reply.result;
    if answer.outcome == RequestOutcome::Answered {
        answer.digest = answer.content_digest();
    }
    answer
}

/// Returns why there is no result, or `None` if there is one.
fn missing_result_reason(reply: &LedgerReply) -> Option<&'static str> {
    match reply.cause {
        LedgerCause::Ran | LedgerCause::RanBefore if reply.result.is_none() => {
            Some(RESULT_NOT_KEPT)
        }
        LedgerCause::Ran | LedgerCause::RanBefore => None,
        cause => Some(cause.as_str()),
    }
}

fn refusal_report(reason: &str) -> RefusalReport {
    RefusalReport { reason: reason.to_owned(), findings: Vec::new() }
}
