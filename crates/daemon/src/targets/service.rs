//! Calls to targets as the other services make them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use oleanderwind_http::ClientError;
use oleanderwind_http::ClientExchange;
use oleanderwind_http::ClientReply;
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
use tokio::time::timeout;

use crate::targets::CallOutcome;
use crate::targets::ExecuteDeadline;
use crate::targets::pool::LaneLoan;
use crate::targets::pool::TargetPool;

/// Longest time for a cancel call.
const CANCEL_TIME: Duration = Duration::from_millis(50);
/// Longest time to prove a connection live.
const PROBE_TIME: Duration = Duration::from_millis(50);
/// A connection that brought a reply this recently is taken for live.
const PROVEN_TIME: Duration = Duration::from_millis(500);
/// Least time between two probes of all idle connections.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Pools of every target that has been called.
#[derive(Default)]
pub(crate) struct TargetService {
    pools: RefCell<HashMap<TargetId, ProcessPool>>,
    connects: Rc<Cell<u64>>,
    /// When idle lanes were last probed.
    probed_at: Cell<Option<Instant>>,
}

/// The pool of one process of a target.
struct ProcessPool {
    incarnation: u64,
    pool: Rc<TargetPool>,
}

/// What came of passing a request on.
#[derive(Debug)]
pub(crate) enum ForwardOutcome {
    /// Nothing was sent.
    Unsent,
    /// A whole reply to this request.
    Replied(ClientReply),
    /// No reply, or one that belongs to another request.
    Failed,
}

impl TargetService {
    /// Connections to targets made so far.
    pub(crate) fn connects(&self) -> u64 {
        self.connects.get()
    }

    /// Makes pools for new and moved targets and drops those of targets that are gone.
    pub(crate) fn apply_targets(
        &self,
        specs: &[TargetSpec],
        share: impl Fn(&TargetSpec) -> ConnectionShare,
    ) {
        let mut pools = self.pools.borrow_mut();
        let mut kept = HashMap::with_capacity(specs.len());
        for spec in specs {
            let held = pools.remove(&spec.target).filter(|held| {
                held.incarnation == spec.incarnation && held.pool.address() == spec.address
            });
            let pool = match held {
                Some(held) => {
                    held.pool.set_share(share(spec));
                    held.pool
                }
                None => TargetPool::new(spec.address, share(spec), self.connects.clone()),
            };
            kept.insert(spec.target.clone(), ProcessPool { incarnation: spec.incarnation, pool });
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
        let Some(loan) = self.borrow(target, deadline).await else {
            return CallOutcome::NotSent;
        };
        let exchange = loan.lane().post("/v1/search", call);
        let Some((loan, reply)) = self.finish(loan, exchange, time_until(deadline)).await else {
            return CallOutcome::Failed;
        };
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
        let Some(loan) = self.borrow(target, deadline.instant).await else {
            return CallOutcome::NotSent;
        };
        let patience = PROBE_TIME.min(time_until(deadline.instant));
        let probe = loan.lane().get("/v1/health");
        let loan = match self.finish(loan, probe, patience).await {
            Some((loan, Ok(_))) if deadline.has_passed() => {
                loan.give_back();
                return CallOutcome::NotSent;
            }
            Some((loan, Ok(_))) => loan,
            _ => return CallOutcome::NotSent,
        };
        let patience = time_until(deadline.instant) + deadline.reply_grace;
        let exchange = loan.lane().post("/v1/execute", call);
        let Some((loan, reply)) = self.finish(loan, exchange, patience).await else {
            return CallOutcome::Failed;
        };
        let is_own = |answer: &ExecuteAnswer| answer.call_id == call.call_id;
        self.settle(loan, reply, call.call_id, is_own)
    }

    /// Passes a request on; its connection is kept only when the reply is `is_own`.
    ///
    /// One that may not be repeated goes over a connection that has answered lately or is new.
    /// Dropping the future closes the connection, which tells the target to drop the request.
    pub(crate) async fn forward(
        &self,
        target: &TargetId,
        request: Request<Full<Bytes>>,
        may_repeat: bool,
        deadline: Instant,
        is_own: impl Fn(&ClientReply) -> bool,
    ) -> ForwardOutcome {
        let Some(pool) = self.pool(target) else { return ForwardOutcome::Unsent };
        if !may_repeat && let Some(since) = Instant::now().checked_sub(PROVEN_TIME) {
            pool.close_idle(since);
        }
        let Some(loan) = pool.borrow(time_until(deadline)).await else {
            return ForwardOutcome::Unsent;
        };
        let sent_at = Instant::now();
        match timeout(time_until(deadline), loan.lane().send(request)).await {
            Ok(Ok(reply)) if is_own(&reply) => {
                loan.give_back();
                ForwardOutcome::Replied(reply)
            }
            Ok(Err(ClientError::NotConnected)) => ForwardOutcome::Unsent,
            Ok(Ok(_)) => {
                log::warn!(target = target.as_ref(); "a reply belongs to another request");
                ForwardOutcome::Failed
            }
            Ok(Err(ClientError::Broken)) => ForwardOutcome::Failed,
            Err(_) => {
                // What made this connection silent has often made others silent.
                pool.close_idle(sent_at);
                ForwardOutcome::Failed
            }
        }
    }

    /// Asks a target to drop a call, if a lane is free right now.
    pub(crate) async fn cancel(&self, target: &TargetId, call: CallId) {
        let pool = self.pool(target);
        let Some(loan) = pool.and_then(|pool| pool.try_borrow()) else { return };
        let exchange = loan.lane().post("/v1/cancel", &CancelCall { call_id: call });
        if let Some((loan, Ok(_))) = self.finish(loan, exchange, CANCEL_TIME).await {
            loan.give_back();
        }
    }

    /// Waits for a reply; `None` when it did not come in time and the lane was given up.
    async fn finish(
        &self,
        loan: LaneLoan,
        mut exchange: ClientExchange,
        patience: Duration,
    ) -> Option<(LaneLoan, Result<ClientReply, ClientError>)> {
        let sent_at = Instant::now();
        match timeout(patience, &mut exchange).await {
            Ok(reply) => Some((loan, reply)),
            Err(_) => {
                loan.give_up(exchange);
                self.probe_idle(sent_at);
                None
            }
        }
    }

    /// Doubts every lane that has brought nothing since a call that got no reply was sent.
    ///
    /// What made one connection silent has often made many silent.
    fn probe_idle(&self, since: Instant) {
        let now = Instant::now();
        let is_too_soon = |at: Instant| now.duration_since(at) < PROBE_PAUSE;
        if self.probed_at.get().is_some_and(is_too_soon) {
            return;
        }
        self.probed_at.set(Some(now));
        self.pools.borrow().values().for_each(|held| held.pool.probe_idle(since));
    }

    async fn borrow(&self, target: &TargetId, deadline: Instant) -> Option<LaneLoan> {
        let pool = self.pool(target)?;
        pool.borrow(time_until(deadline)).await
    }

    fn pool(&self, target: &TargetId) -> Option<Rc<TargetPool>> {
        self.pools.borrow().get(target).map(|held| held.pool.clone())
    }

    /// Reads a reply; a lane that brought anything but the call's own reply is closed.
    fn settle<A: DeserializeOwned + Serialize>(
        &self,
        loan: LaneLoan,
        reply: Result<ClientReply, ClientError>,
        call: CallId,
        is_own: impl Fn(&A) -> bool,
    ) -> CallOutcome<A> {
        let reply = match reply {
            Ok(reply) => reply,
            Err(ClientError::NotConnected) => return CallOutcome::NotSent,
            Err(ClientError::Broken) => return CallOutcome::Failed,
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
