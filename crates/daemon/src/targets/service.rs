//! Calls to targets as the other services make them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::http::StatusCode;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ConnectionShare;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::CancelCall;
use oleanderwind_wire::ExecuteAnswer;
use oleanderwind_wire::ExecuteCall;
use oleanderwind_wire::SearcherRefusal;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::targets::CallOutcome;
use crate::targets::ExecuteDeadline;
use crate::targets::lane::LaneError;
use crate::targets::lane::LaneReply;
use crate::targets::pool::LaneLoan;
use crate::targets::pool::TargetPool;

/// Longest time for a cancel call.
const CANCEL_TIME: Duration = Duration::from_millis(50);
/// Longest time to prove a connection live.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// Pools of every target that has been called.
#[derive(Default)]
pub(crate) struct TargetService {
    pools: RefCell<HashMap<TargetId, Rc<TargetPool>>>,
}

impl TargetService {
    /// Makes pools for new and moved targets and drops those of targets that are gone.
    pub(crate) fn apply_targets(
        &self,
        specs: &[TargetSpec],
        share: impl Fn(&TargetSpec) -> ConnectionShare,
    ) {
        let mut pools = self.pools.borrow_mut();
        let mut kept = HashMap::with_capacity(specs.len());
        for spec in specs {
            let pool = match pools.remove(&spec.target) {
                Some(pool) if pool.address() == spec.address => {
                    pool.set_share(share(spec));
                    pool
                }
                _ => TargetPool::new(spec.address, share(spec)),
            };
            kept.insert(spec.target.clone(), pool);
        }
        *pools = kept;
    }

    /// Searches one shard.
    pub(crate) async fn search(
        &self,
        target: &TargetId,
        call: &ShardCall,
        deadline: Instant,
    ) -> CallOutcome<ShardAnswer> {
        let Some(mut loan) = self.borrow(target, deadline).await else {
            return CallOutcome::NotSent;
        };
        let reply = loan.lane().post("/v1/search", call, time_until(deadline)).await;
        let is_own = |answer: &ShardAnswer| {
            answer.call_id == call.call_id
                && answer.shard == call.shard
                && answer.index_version == call.index_version
        };
        self.settle(loan, reply, call.call_id, is_own)
    }

    /// Runs a call that may not be repeated, over a connection that has just answered.
    pub(crate) async fn execute(
        &self,
        target: &TargetId,
        call: &ExecuteCall,
        deadline: ExecuteDeadline,
    ) -> CallOutcome<ExecuteAnswer> {
        let Some(mut loan) = self.borrow(target, deadline.instant).await else {
            return CallOutcome::NotSent;
        };
        let patience = PROBE_TIME.min(time_until(deadline.instant));
        match loan.lane().get("/v1/health", patience).await {
            Err(LaneError::Silent) => {
                loan.close_silent();
                return CallOutcome::NotSent;
            }
            Err(_) => return CallOutcome::NotSent,
            Ok(_) if deadline.has_passed() => {
                loan.give_back();
                return CallOutcome::NotSent;
            }
            Ok(_) => {}
        }
        let patience = time_until(deadline.instant) + deadline.reply_grace;
        let reply = loan.lane().post("/v1/execute", call, patience).await;
        let is_own = |answer: &ExecuteAnswer| answer.call_id == call.call_id;
        self.settle(loan, reply, call.call_id, is_own)
    }

    /// Asks a target to drop a call, if a lane is free right now.
    pub(crate) async fn cancel(&self, target: &TargetId, call: CallId) {
        let pool = self.pools.borrow().get(target).cloned();
        let Some(mut loan) = pool.and_then(|pool| pool.try_borrow()) else { return };
        let reply =
            loan.lane().post("/v1/cancel", &CancelCall { call_id: call }, CANCEL_TIME).await;
        match reply {
            Ok(_) => loan.give_back(),
            Err(LaneError::Silent) => loan.close_silent(),
            Err(_) => {}
        }
    }

    async fn borrow(&self, target: &TargetId, deadline: Instant) -> Option<LaneLoan> {
        let pool = self.pools.borrow().get(target).cloned()?;
        pool.borrow(time_until(deadline)).await
    }

    /// Reads a reply; a lane that brought anything but the call's own reply is closed.
    fn settle<A: DeserializeOwned + Serialize>(
        &self,
        loan: LaneLoan,
        reply: Result<LaneReply, LaneError>,
        call: CallId,
        is_own: impl Fn(&A) -> bool,
    ) -> CallOutcome<A> {
        let reply = match reply {
            Ok(reply) => reply,
            Err(LaneError::NotConnected) => return CallOutcome::NotSent,
            Err(LaneError::Broken) => return CallOutcome::Failed,
            Err(LaneError::Silent) => {
                loan.close_silent();
                return CallOutcome::Failed;
            }
        };
        let outcome = match reply.status {
            StatusCode::OK => match serde_json::from_slice::<A>(&reply.body) {
                Ok(answer) if is_own(&answer) => CallOutcome::Answered(answer),
                _ => CallOutcome::Failed,
            },
            _ => match serde_json::from_slice::<SearcherRefusal>(&reply.body) {
                Ok(refusal) if refusal.call_id == call => CallOutcome::Refused(refusal),
                _ => CallOutcome::Failed,
            },
        };
        match outcome {
            CallOutcome::Failed => log::debug!("call {call}: a reply that is not its own"),
            _ => loan.give_back(),
        }
        outcome
    }
}

fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
