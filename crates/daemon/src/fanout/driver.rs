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
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::TargetId;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;

use crate::fanout::FanoutReply;
use crate::fanout::FanoutService;
use crate::targets::CallOutcome;

/// VMs that may hold connections to a target beyond those in view, during a replacement.
const SPARE_HOLDERS: usize = 1;
/// Fewest connections to a target that are worth holding.
const WANTED_CONNECTIONS: u32 = 2;

/// This VM's share of the connections that a target accepts, in a fleet of `fleet` VMs.
pub(crate) fn connection_share(limit: u32, fleet: usize) -> ConnectionShare {
    ConnectionBudget::new(limit, fleet, SPARE_HOLDERS, WANTED_CONNECTIONS).into()
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
    fn handle(self: &Rc<Self>, event: FanoutEvent) {
        let call = event.call();
        let mut actions = Vec::new();
        self.engine.borrow_mut().handle(event, Instant::now(), &mut actions);
        self.carry_out(actions);
        self.answers.borrow_mut().remove(&call);
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { query, call, target, shard, index_version, deadline } => {
                    let Some(shard_call) =
                        self.shard_call(query, call, shard, index_version, deadline)
                    else {
                        continue;
                    };
                    actix_rt::spawn(make_call(self.clone(), target, shard_call, deadline));
                }
                FanoutAction::Merge { query, call } => self.merge(query, call),
                FanoutAction::Cancel { call, target } => {
                    let targets = self.targets.clone();
                    actix_rt::spawn(async move { targets.cancel(&target, call).await });
                }
                FanoutAction::Finish { query, result } => self.finish(query, result),
            }
        }
        self.timer_changes.notify_one();
    }

    fn shard_call(
        &self,
        query: QueryId,
        call_id: CallId,
        shard: u32,
        index_version: u64,
        deadline: Instant,
    ) -> Option<ShardCall> {
        let queries = self.queries.borrow();
        let driven = queries.get(&query)?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        Some(ShardCall {
            call_id,
            customer: driven.plan.customer.clone(),
            shard,
            index_version,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            query: driven.text.to_string(),
        })
    }

    fn merge(&self, query: QueryId, call: CallId) {
        let Some(hits) = self.answers.borrow_mut().remove(&call) else { return };
        if let Some(driven) = self.queries.borrow_mut().get_mut(&query) {
            driven.hits.extend(hits);
        }
    }

    fn finish(&self, query: QueryId, result: FanoutResult) {
        let Some(driven) = self.queries.borrow_mut().remove(&query) else { return };
        // A receiver that is gone is a caller that went away.
        let _ = driven.reply.send(FanoutReply { result, hits: driven.hits });
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
        fanout.peers.target_draining(&target);
    }
    let event = match outcome {
        CallOutcome::Answered(answer) => take_answer(&fanout, answer),
        CallOutcome::Refused(refusal) => FanoutEvent::Refused {
            call: call.call_id,
            cause: refusal.cause,
            load: refusal.load,
            draining: refusal.draining,
        },
        CallOutcome::NotSent | CallOutcome::Failed => FanoutEvent::Failed { call: call.call_id },
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
    fanout.answers.borrow_mut().insert(answer.call_id, answer.hits);
    event
}
