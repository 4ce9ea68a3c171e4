//! Driver of the fan-out engine: executes its actions and passes events to it.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::CallId;
use oleanderwind_policy::ConnectionBudget;
use oleanderwind_policy::ConnectionShare;
use oleanderwind_policy::FanoutAction;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::SPARE_VMS;
use oleanderwind_policy::ShardId;
use oleanderwind_policy::TargetId;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;

use crate::fanout::FanoutReply;
use crate::fanout::FanoutService;
use crate::fanout::QueryPayload;
use crate::fanout::forward::ForwardCall;
use crate::fanout::forward::send_forward_call;
use crate::fanout::payload::CallAnswer;
use crate::fanout::quarantine::CallWitness;
use crate::fanout::service::ForwardTask;
use crate::fanout::service::RunningQuery;
use crate::targets::CallOutcome;
use crate::time::milliseconds;

/// Minimum connections to a target for each VM that holds its service.
const MIN_CONNECTIONS_PER_VM: u32 = 2;

/// Returns this VM's share of the `limit` connections that a target accepts, in a fleet of `fleet`
/// VMs.
pub(crate) fn connection_share(limit: u32, fleet: usize) -> ConnectionShare {
    ConnectionBudget::new(limit, fleet, SPARE_VMS, MIN_CONNECTIONS_PER_VM).into()
}

/// Wakes the engine whenever one of its timers is due. Never returns.
pub(crate) async fn run_timers(fanout: Rc<FanoutService>) {
    loop {
        let next = fanout.engine.borrow().next_wake();
        match next {
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => fanout.wake(),
                    () = fanout.timer_changes.notified() => {}
                }
            }
            None => fanout.timer_changes.notified().await,
        }
    }
}

impl FanoutService {
    /// Submits a query to the engine and executes the resulting actions.
    pub(crate) fn submit(self: &Rc<Self>, query: QueryId, plan: FanoutPlan) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().submit(query, plan, Instant::now(), &mut actions);
        self.execute_actions(actions);
    }

    /// Ends a query whose caller disconnected, and cancels its calls.
    pub(crate) fn abandon(self: &Rc<Self>, query: QueryId) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().abandon(query, Instant::now(), &mut actions);
        self.execute_actions(actions);
    }

    /// Fires the engine's due timers.
    fn wake(self: &Rc<Self>) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().wake(Instant::now(), &mut actions);
        self.execute_actions(actions);
    }

    /// Ends what a query would still send.
    pub(crate) fn withdraw(self: &Rc<Self>, query: QueryId) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().withdraw(query, Instant::now(), &mut actions);
        self.execute_actions(actions);
    }

    /// Passes an event to the engine, then drops what the driver still holds for its call.
    pub(crate) fn handle(self: &Rc<Self>, event: FanoutEvent) {
        let call = event.call();
        let mut actions = Vec::new();
        self.engine.borrow_mut().handle(event, Instant::now(), &mut actions);
        self.execute_actions(actions);
        self.pending_answers.borrow_mut().remove(&call);
        self.forward_tasks.borrow_mut().remove(&call);
    }

    fn execute_actions(self: &Rc<Self>, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { query, call, target, shard, index_version, deadline } => {
                    let outgoing = OutgoingCall { query, call, target, deadline };
                    self.send(outgoing, shard, index_version);
                }
                FanoutAction::Merge { query, call } => self.merge(query, call),
                FanoutAction::Cancel { call, target } => self.cancel(call, target),
                FanoutAction::Finish { query, result } => self.finish(query, result),
            }
        }
        self.request_permits();
        self.timer_changes.notify_one();
    }

    /// Starts a call in the protocol of its query.
    fn send(self: &Rc<Self>, outgoing: OutgoingCall, shard: ShardId, index_version: IndexVersion) {
        let queries = self.queries.borrow();
        let Some(running) = queries.get(&outgoing.query) else { return };
        let witness = Rc::new(running.witness(outgoing.call, &outgoing.target));
        match &running.payload {
            QueryPayload::Search { text, .. } => {
                let call = shard_call(running, text, &outgoing, shard, index_version);
                actix_rt::spawn(send_call(self.clone(), witness, call, outgoing.deadline));
            }
            QueryPayload::Forward { request, is_gathered, .. } => {
                let Some(dialect) = self.dialect.clone() else { return };
                let call = ForwardCall {
                    query: outgoing.query,
                    call: outgoing.call,
                    target: outgoing.target,
                    deadline: outgoing.deadline,
                    is_idempotent: running.plan.attempt_policy.is_idempotent,
                    is_gathered: *is_gathered,
                };
                let id = call.call;
                let sending = send_forward_call(
                    self.clone(),
                    dialect,
                    call,
                    witness.clone(),
                    request.clone(),
                );
                let task = actix_rt::spawn(sending);
                self.forward_tasks
                    .borrow_mut()
                    .insert(id, ForwardTask { task, witness, begun_at: Instant::now() });
            }
        }
    }

    /// Cancels a call: closes a forwarded call's connection, or asks the target to drop a search.
    fn cancel(self: &Rc<Self>, call: CallId, target: TargetId) {
        let forward = self.forward_tasks.borrow_mut().remove(&call);
        if let Some(ForwardTask { task, witness, begun_at }) = forward {
            task.abort();
            self.record_cancelled_call(&witness, begun_at);
            return self.examine_cancelled(witness);
        }
        let targets = self.targets.clone();
        actix_rt::spawn(async move { targets.cancel(&target, call).await });
    }

    /// Finds out in the background whether a call that got no reply for long met a silent host.
    pub(crate) fn examine_cancelled(self: &Rc<Self>, witness: Rc<CallWitness>) {
        if witness.may_be_silent() {
            let fanout = self.clone();
            actix_rt::spawn(async move { fanout.examine_end(&witness).await });
        }
    }

    fn merge(&self, query: QueryId, call: CallId) {
        let Some(answer) = self.pending_answers.borrow_mut().remove(&call) else { return };
        if let Some(running) = self.queries.borrow_mut().get_mut(&query) {
            running.payload.merge(answer);
        }
    }

    fn finish(&self, query: QueryId, result: FanoutResult) {
        let Some(running) = self.queries.borrow_mut().remove(&query) else { return };
        if result.shards_answered > 0 {
            self.record_answered_work(&running.work);
        }
        // Sending fails only if the caller disconnected and dropped the receiver.
        let _ = running.reply.send(FanoutReply { result, payload: running.payload });
    }
}

impl RunningQuery {
    /// Returns the witness of a call of the query.
    fn witness(&self, call: CallId, target: &TargetId) -> CallWitness {
        let service = self.plan.manifest.service.clone();
        let query_call = Some((call, self.plan.manifest.shards.len()));
        CallWitness::new(query_call, self.work.clone(), service, target.clone())
    }
}

/// A call that the engine asked the driver to send.
struct OutgoingCall {
    query: QueryId,
    call: CallId,
    target: TargetId,
    deadline: Instant,
}

fn shard_call(
    running: &RunningQuery,
    text: &str,
    outgoing: &OutgoingCall,
    shard: ShardId,
    index_version: IndexVersion,
) -> ShardCall {
    let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
    ShardCall {
        call_id: outgoing.call,
        customer: running.plan.customer.clone(),
        shard,
        index_version,
        deadline_ms: milliseconds(remaining),
        query: text.to_owned(),
    }
}

/// Sends a search call and reports its outcome to the engine.
async fn send_call(
    fanout: Rc<FanoutService>,
    witness: Rc<CallWitness>,
    call: ShardCall,
    deadline: Instant,
) {
    if let Err(retry_after) = fanout.pass_gate(&witness, deadline).await {
        return fanout.handle(quarantined(call.call_id, false, retry_after));
    }
    let target = witness.target.clone();
    let begun_at = Instant::now();
    fanout.mark_sent(call.call_id);
    let may_send = || fanout.may_send(call.call_id) && fanout.may_leave(&witness);
    let outcome = fanout.targets.search(&target, &call, deadline, may_send).await;
    match &outcome {
        CallOutcome::Answered(_) => fanout.record_survived(&witness),
        CallOutcome::Failed => {
            if let Some(retry_after) = fanout.examine_end(&witness).await {
                return fanout.handle(quarantined(call.call_id, true, retry_after));
            }
        }
        CallOutcome::Refused(_) | CallOutcome::NotSent | CallOutcome::Withdrawn => {}
    }
    if matches!(outcome, CallOutcome::NotSent | CallOutcome::Failed) {
        fanout.record_silence(&witness, begun_at);
    }
    if is_draining(&outcome) {
        // Targets of searches have no incarnation.
        fanout.peers.handle_target_drain(&target, 0);
    }
    let event = match outcome {
        CallOutcome::Answered(answer) => store_answer(&fanout, answer),
        CallOutcome::Refused(refusal) => FanoutEvent::Refused {
            call: call.call_id,
            cause: refusal.cause,
            load: refusal.load,
            draining: refusal.draining,
        },
        CallOutcome::NotSent => FanoutEvent::Unsent { call: call.call_id },
        CallOutcome::Withdrawn => FanoutEvent::Withdrawn { call: call.call_id },
        CallOutcome::Failed => FanoutEvent::Failed { call: call.call_id },
    };
    fanout.handle(event);
}

/// Returns the event of a call that ends its query, as its work may end targets.
pub(crate) fn quarantined(
    call: CallId,
    has_ended_target: bool,
    retry_after: Duration,
) -> FanoutEvent {
    FanoutEvent::Quarantined { call, has_ended_target, retry_after }
}

/// Returns whether the target's reply reports that it is draining.
fn is_draining(outcome: &CallOutcome<ShardAnswer>) -> bool {
    match outcome {
        CallOutcome::Answered(answer) => answer.draining,
        CallOutcome::Refused(refusal) => {
            refusal.draining || refusal.cause == RefusalCause::Draining
        }
        CallOutcome::NotSent | CallOutcome::Withdrawn | CallOutcome::Failed => false,
    }
}

/// Stores an answer's hits until the engine merges or ignores them, and returns the event.
fn store_answer(fanout: &FanoutService, answer: ShardAnswer) -> FanoutEvent {
    let event = FanoutEvent::Answered {
        call: answer.call_id,
        documents: answer.documents,
        load: answer.load,
        draining: answer.draining,
    };
    fanout.pending_answers.borrow_mut().insert(answer.call_id, CallAnswer::Hits(answer.hits));
    event
}
