//! Carries out the engine's actions.

use std::rc::Rc;
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
use crate::fanout::forward::make_forward_call;
use crate::fanout::payload::CallAnswer;
use crate::fanout::service::DrivenQuery;
use crate::targets::CallOutcome;
use crate::time::milliseconds;

/// Fewest connections to a target that are worth holding.
const WANTED_CONNECTIONS: u32 = 2;

/// This VM's share of the connections that a target accepts, in a fleet of `fleet` VMs.
pub(crate) fn connection_share(limit: u32, fleet: usize) -> ConnectionShare {
    ConnectionBudget::new(limit, fleet, SPARE_VMS, WANTED_CONNECTIONS).into()
}

/// Wakes the engine whenever one of its timers is due.
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
    /// Submits a query to the engine.
    pub(crate) fn submit(self: &Rc<Self>, query: QueryId, plan: FanoutPlan) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().submit(query, plan, Instant::now(), &mut actions);
        self.carry_out(actions);
    }

    /// Abandons a query.
    pub(crate) fn abandon(self: &Rc<Self>, query: QueryId) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().abandon(query, Instant::now(), &mut actions);
        self.carry_out(actions);
    }

    /// Wakes the engine.
    fn wake(self: &Rc<Self>) {
        let mut actions = Vec::new();
        self.engine.borrow_mut().wake(Instant::now(), &mut actions);
        self.carry_out(actions);
    }

    /// Feeds the engine an event.
    pub(crate) fn handle(self: &Rc<Self>, event: FanoutEvent) {
        let call = event.call();
        let mut actions = Vec::new();
        self.engine.borrow_mut().handle(event, Instant::now(), &mut actions);
        self.carry_out(actions);
        self.answers.borrow_mut().remove(&call);
        self.forwards.borrow_mut().remove(&call);
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { query, call, target, shard, index_version, deadline } => {
                    let order = CallOrder { query, call, target, deadline };
                    self.send(order, shard, index_version);
                }
                FanoutAction::Merge { query, call } => self.merge(query, call),
                FanoutAction::Cancel { call, target } => self.cancel(call, target),
                FanoutAction::Finish { query, result } => self.finish(query, result),
            }
        }
        self.timer_changes.notify_one();
    }

    /// Starts one call in the query's own protocol.
    fn send(self: &Rc<Self>, order: CallOrder, shard: ShardId, index_version: IndexVersion) {
        let queries = self.queries.borrow();
        let Some(driven) = queries.get(&order.query) else { return };
        match &driven.payload {
            QueryPayload::Search { text, .. } => {
                let call = shard_call(driven, text, &order, shard, index_version);
                actix_rt::spawn(make_call(self.clone(), order.target, call, order.deadline));
            }
            QueryPayload::Forward { request, .. } => {
                let Some(dialect) = self.dialect.clone() else { return };
                let call = ForwardCall {
                    query: order.query,
                    call: order.call,
                    target: order.target,
                    deadline: order.deadline,
                    may_repeat: driven.plan.attempt_policy.is_idempotent,
                    takes_failures: driven.plan.manifest.shards.len() == 1,
                };
                let id = call.call;
                let making = make_forward_call(self.clone(), dialect, call, request.clone());
                let task = actix_rt::spawn(making);
                self.forwards.borrow_mut().insert(id, task);
            }
        }
    }

    /// Ends one call: a forwarded one by closing its connection, others by asking the target.
    fn cancel(self: &Rc<Self>, call: CallId, target: TargetId) {
        if let Some(task) = self.forwards.borrow_mut().remove(&call) {
            return task.abort();
        }
        let targets = self.targets.clone();
        actix_rt::spawn(async move { targets.cancel(&target, call).await });
    }

    fn merge(&self, query: QueryId, call: CallId) {
        let Some(answer) = self.answers.borrow_mut().remove(&call) else { return };
        if let Some(driven) = self.queries.borrow_mut().get_mut(&query) {
            driven.payload.merge(answer);
        }
    }

    fn finish(&self, query: QueryId, result: FanoutResult) {
        let Some(driven) = self.queries.borrow_mut().remove(&query) else { return };
        // A receiver that is gone is a caller that went away.
        let _ = driven.reply.send(FanoutReply { result, payload: driven.payload });
    }
}

/// A call that the engine wants sent.
struct CallOrder {
    query: QueryId,
    call: CallId,
    target: TargetId,
    deadline: Instant,
}

fn shard_call(
    driven: &DrivenQuery,
    text: &str,
    order: &CallOrder,
    shard: ShardId,
    index_version: IndexVersion,
) -> ShardCall {
    let remaining = order.deadline.saturating_duration_since(Instant::now());
    ShardCall {
        call_id: order.call,
        customer: driven.plan.customer.clone(),
        shard,
        index_version,
        deadline_ms: milliseconds(remaining),
        query: text.to_owned(),
    }
}

/// Makes one call and feeds the engine what came of it.
async fn make_call(
    fanout: Rc<FanoutService>,
    target: TargetId,
    call: ShardCall,
    deadline: Instant,
) {
    let outcome = fanout.targets.search(&target, &call, deadline).await;
    if is_draining(&outcome) {
        fanout.peers.handle_target_drain(&target);
    }
    let event = match outcome {
        CallOutcome::Answered(answer) => take_answer(&fanout, answer),
        CallOutcome::Refused(refusal) => FanoutEvent::Refused {
            call: call.call_id,
            cause: refusal.cause,
            load: refusal.load,
            draining: refusal.draining,
        },
        CallOutcome::NotSent => FanoutEvent::Unsent { call: call.call_id },
        CallOutcome::Failed => FanoutEvent::Failed { call: call.call_id },
    };
    fanout.handle(event);
}

/// Whether a target said with its reply that it is leaving.
fn is_draining(outcome: &CallOutcome<ShardAnswer>) -> bool {
    match outcome {
        CallOutcome::Answered(answer) => answer.draining,
        CallOutcome::Refused(refusal) => {
            refusal.draining || refusal.cause == RefusalCause::Draining
        }
        CallOutcome::NotSent | CallOutcome::Failed => false,
    }
}

/// Keeps an answer's hits until the engine decides on them.
fn take_answer(fanout: &FanoutService, answer: ShardAnswer) -> FanoutEvent {
    let event = FanoutEvent::Answered {
        call: answer.call_id,
        documents: answer.documents,
        load: answer.load,
        draining: answer.draining,
    };
    fanout.answers.borrow_mut().insert(answer.call_id, CallAnswer::Hits(answer.hits));
    event
}
