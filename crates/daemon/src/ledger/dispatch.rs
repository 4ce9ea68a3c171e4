//! Dispatch of claimed requests to targets, at most once.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::ExecuteOutcome;
use oleanderwind_policy::ExecutorOutcome;
use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerRequestId;
use oleanderwind_policy::ProviderId;
use oleanderwind_wire::ExecuteAnswer;
use oleanderwind_wire::ExecuteCall;

use crate::fanout::CallWitness;
use crate::fanout::QueryWork;
use crate::ledger::LedgerCall;
use crate::ledger::LedgerService;
use crate::targets::CallOutcome;
use crate::targets::ExecuteDeadline;
use crate::time::milliseconds;

/// Time after the deadline for which a reply is still accepted, so that its result is recorded for
/// later attempts.
const REPLY_GRACE: Duration = Duration::from_secs(5);

impl LedgerService {
    /// Marks an attempt as dispatched and returns its call, or `None` if it was answered already.
    pub(crate) fn start_dispatch(&self, request: LedgerRequestId) -> Option<LedgerCall> {
        let mut pending = self.pending.borrow_mut();
        let pending_call = pending.get_mut(&request)?;
        pending_call.is_dispatched = true;
        self.instruments.record_claim(pending_call.call.arrived.elapsed());
        Some(pending_call.call.clone())
    }

    /// Selects the provider by the contract that is in force now.
    fn provider(&self, call: &LedgerCall, provider_hash: u64) -> Option<ProviderId> {
        let entry = self.directory.contract(&call.customer)?;
        entry.contract.provider_for(provider_hash).cloned()
    }
}

/// Sends one attempt to a target and reports the outcome to the engine.
pub(crate) async fn dispatch(
    ledger: Rc<LedgerService>,
    request: LedgerRequestId,
    call: LedgerCall,
    provider_hash: u64,
    instant: Instant,
    wall: SystemTime,
) {
    let started = Instant::now();
    let deadline = ExecuteDeadline { instant, wall, reply_grace: REPLY_GRACE };
    let outcome = match ledger.provider(&call, provider_hash) {
        Some(provider) => send_once(&ledger, &call, provider, deadline).await,
        None => ExecuteOutcome::NotSent,
    };
    ledger.instruments.record_dispatch(started.elapsed());
    ledger.handle(LedgerEvent::ExecuteFinished { request, outcome });
}

async fn send_once(
    ledger: &LedgerService,
    call: &LedgerCall,
    provider: ProviderId,
    deadline: ExecuteDeadline,
) -> ExecuteOutcome {
    let Some(target) = ledger.fanout.pick_executor(&call.service, &provider) else {
        return ExecuteOutcome::NotSent;
    };
    let work = QueryWork::of_own_request(&call.customer, &call.service, &call.body);
    let witness = CallWitness::new(None, work, call.service.clone(), target.clone());
    if ledger.fanout.pass_gate(&witness, deadline.instant).await.is_err() {
        ledger.fanout.release_executor(&target, ExecutorOutcome::NotSent);
        return ExecuteOutcome::NotSent;
    }
    let remaining = deadline.instant.saturating_duration_since(Instant::now());
    let message = ExecuteCall {
        call_id: ledger.fanout.next_call_id(),
        customer: call.customer.clone(),
        idempotency_key: call.key.text().to_string(),
        deadline_ms: milliseconds(remaining),
        body: call.body.to_string(),
    };
    let sent_at = Instant::now();
    let may_send = || ledger.fanout.may_leave(&witness) && ledger.fanout.permit_executor(&target);
    let outcome = ledger.targets.execute(&target, &message, deadline, may_send).await;
    let release_outcome = executor_outcome(&outcome, sent_at.elapsed(), deadline);
    ledger.fanout.release_executor(&target, release_outcome);
    match &outcome {
        CallOutcome::Answered(_) => ledger.fanout.record_survived(&witness),
        CallOutcome::Failed => {
            ledger.fanout.examine_end(&witness).await;
        }
        CallOutcome::Refused(_) | CallOutcome::NotSent | CallOutcome::Withdrawn => {}
    }
    match outcome {
        CallOutcome::Answered(answer) => ExecuteOutcome::Done { provider, result: answer.result },
        CallOutcome::Refused(_) => ExecuteOutcome::RefusedNotRun,
        CallOutcome::NotSent | CallOutcome::Withdrawn => ExecuteOutcome::NotSent,
        CallOutcome::Failed => ExecuteOutcome::Uncertain,
    }
}

/// Converts the outcome of a call for target selection.
fn executor_outcome(
    outcome: &CallOutcome<ExecuteAnswer>,
    latency: Duration,
    deadline: ExecuteDeadline,
) -> ExecutorOutcome {
    match outcome {
        CallOutcome::Answered(answer) => {
            ExecutorOutcome::Answered { latency, load: answer.load, draining: answer.draining }
        }
        CallOutcome::Refused(refusal) => ExecutorOutcome::Refused {
            cause: refusal.cause,
            load: refusal.load,
            draining: refusal.draining,
        },
        CallOutcome::Withdrawn => ExecutorOutcome::NotSent,
        CallOutcome::NotSent if deadline.has_passed() => ExecutorOutcome::NotSent,
        // No connection could be made or verified to be alive, so later requests should go to another
        // target.
        CallOutcome::NotSent | CallOutcome::Failed => ExecutorOutcome::Failed,
    }
}
