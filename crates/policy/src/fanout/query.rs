//! State of a running query.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::AnswerPreference;
use crate::CallId;
use crate::FanoutPlan;
use crate::FanoutResult;
use crate::FinishReason;
use crate::RequestOutcome;
use crate::RunState;
use crate::budget::BudgetIndex;
use crate::fanout::manifest::ResolvedManifest;

/// Thousandths in one.
const PERMILLE_SCALE: u64 = 1_000;

/// Progress of one shard of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardState {
    /// Not dispatched yet, or about to be dispatched again.
    Undispatched,
    /// Queued until a replica has a free slot.
    Queued,
    /// Has a call in flight.
    InFlight,
    /// Waiting for a retry.
    Backoff,
    /// Answered, and the answer merged.
    Answered,
    /// Given up without an answer.
    Lost,
}

/// Why a shard is given up. If shards differ, the first in this order decides the finish reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LossCause {
    /// The query may send nothing more.
    Withdrawn,
    SnapshotUnknown,
    /// A replica no longer holds the snapshot, and the budget or the limits on sends and attempts
    /// allow no call to another.
    SnapshotUnknownNoRetry,
    NoTarget,
    /// Every replica that serves asked for a pause.
    Paused,
    Busy,
    TooLate,
}

/// State of one shard of a query.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub(crate) state: ShardState,
    /// Calls in flight: at most one and its hedge.
    pub(crate) open: [Option<CallId>; 2],
    /// Bit set of the replicas tried since the last retry delay.
    pub(crate) tried_replicas: u64,
    /// Bit set of the replicas that can't serve this query, as they refused it for good.
    pub(crate) excluded_replicas: u64,
    /// Calls handed to the driver, less those of which nothing was sent.
    pub(crate) sends: u8,
    /// Calls among `sends` that a target may have run.
    pub(crate) attempts: u8,
    /// Calls of which nothing was sent.
    pub(crate) unsent: u8,
    /// Incremented on each change of state. Timers and queue entries of an earlier version are
    /// stale.
    pub(crate) state_version: u32,
    /// End of the floor wait: from then on a query at its floor does not wait for this shard.
    pub(crate) floor_wait_ends_at: Instant,
    /// Cause to report if the shard is given up now, set by its last call.
    pub(crate) last_cause: LossCause,
}

impl ShardProgress {
    /// Returns the state of a shard that has not been dispatched.
    pub(crate) fn new(floor_wait_ends_at: Instant) -> ShardProgress {
        ShardProgress {
            state: ShardState::Undispatched,
            open: [None; 2],
            tried_replicas: 0,
            excluded_replicas: 0,
            sends: 0,
            attempts: 0,
            unsent: 0,
            state_version: 0,
            floor_wait_ends_at,
            last_cause: LossCause::NoTarget,
        }
    }

    /// Returns whether the shard is neither answered nor lost.
    pub(crate) fn is_pending(&self) -> bool {
        !matches!(self.state, ShardState::Answered | ShardState::Lost)
    }

    /// Returns whether a call is in flight.
    pub(crate) fn has_open_call(&self) -> bool {
        self.open.iter().any(Option::is_some)
    }

    /// Changes the state and makes earlier timers and queue entries stale.
    pub(crate) fn set_state(&mut self, state: ShardState) {
        self.state = state;
        self.state_version += 1;
    }

    /// Removes a call from the calls in flight.
    pub(crate) fn remove_call(&mut self, call: CallId) {
        for open in &mut self.open {
            if *open == Some(call) {
                *open = None;
            }
        }
    }
}

/// Returns the bit of a replica in the bit sets of [`ShardProgress`].
///
/// Replicas from the 64th on share the last bit.
pub(crate) fn replica_bit(replica: usize) -> u64 {
    1 << replica.min(63)
}

/// A running query.
#[derive(Debug)]
pub(crate) struct RunningQuery {
    pub(crate) plan: FanoutPlan,
    pub(crate) resolved: Arc<ResolvedManifest>,
    pub(crate) shards: Vec<ShardProgress>,
    /// One budget for all shards, or one for each shard.
    budgets: Vec<BudgetIndex>,
    /// Deadline minus the answer margin.
    pub(crate) answer_by: Instant,
    /// Objective minus the answer margin.
    pub(crate) objective_at: Option<Instant>,
    pub(crate) calls_sent: u32,
    pub(crate) extra_calls: u32,
    /// Refused calls that a target certainly did not run.
    pub(crate) calls_not_run: u32,
    pub(crate) cross_domain_calls: u32,
    /// Time at which a timer has to check again whether the floor wait is over.
    pub(crate) floor_timer_at: Option<Instant>,
    documents_covered: u64,
    documents_pending: u64,
    /// Documents that the coverage floor requires.
    documents_floor: u64,
    shards_answered: u32,
    shards_pending: u32,
    /// First cause, in the order of [`LossCause`], of the shards given up so far.
    pub(crate) loss: Option<LossCause>,
    /// Set once the query's work must not reach a target: time after which the caller may return.
    pub(crate) quarantine: Option<Duration>,
    /// Whether the query may send nothing more, as what admitted it was taken back.
    pub(crate) is_withdrawn: bool,
}

impl RunningQuery {
    /// Returns a query that has not sent any call.
    pub(crate) fn new(
        plan: FanoutPlan,
        resolved: Arc<ResolvedManifest>,
        shards: Vec<ShardProgress>,
        budgets: Vec<BudgetIndex>,
        answer_by: Instant,
        objective_at: Option<Instant>,
    ) -> RunningQuery {
        let documents = resolved.documents;
        let permille = u64::from(plan.coverage_floor_permille);
        RunningQuery {
            documents_covered: 0,
            documents_pending: documents,
            documents_floor: documents.saturating_mul(permille).div_ceil(PERMILLE_SCALE),
            shards_answered: 0,
            shards_pending: u32::try_from(shards.len()).unwrap_or(u32::MAX),
            loss: None,
            quarantine: None,
            is_withdrawn: false,
            plan,
            resolved,
            shards,
            budgets,
            answer_by,
            objective_at,
            calls_sent: 0,
            extra_calls: 0,
            calls_not_run: 0,
            cross_domain_calls: 0,
            floor_timer_at: None,
        }
    }

    /// Returns the budget that a shard's extra calls are charged to.
    pub(crate) fn budget(&self, position: usize) -> BudgetIndex {
        *self.budgets.get(position).unwrap_or(&self.budgets[0])
    }

    /// Records a shard's answer. Coverage counts at most the documents of the shard.
    pub(crate) fn record_answer(&mut self, position: usize, documents: u64) {
        let shard_documents = self.close_shard(position, ShardState::Answered);
        self.documents_covered += documents.min(shard_documents);
        self.shards_answered += 1;
    }

    /// Marks a shard as lost.
    pub(crate) fn give_up_shard(&mut self, position: usize, cause: LossCause) {
        self.close_shard(position, ShardState::Lost);
        self.loss = Some(self.loss.map_or(cause, |loss| loss.min(cause)));
    }

    /// Returns the reason if the query has to finish now, otherwise `None`.
    ///
    /// Sets `floor_timer_at` if the query could finish once its floor wait is over.
    pub(crate) fn finish_reason(&mut self, now: Instant) -> Option<FinishReason> {
        let loss = self.loss.unwrap_or(LossCause::TooLate);
        if loss == LossCause::SnapshotUnknown {
            return Some(FinishReason::SnapshotRetired);
        }
        if self.shards_answered as usize == self.shards.len() {
            return Some(FinishReason::Complete);
        }
        let is_floor_out_of_reach =
            self.documents_covered + self.documents_pending < self.documents_floor;
        if self.shards_pending == 0 || is_floor_out_of_reach {
            return Some(loss.reason());
        }
        if now >= self.answer_by {
            return Some(FinishReason::DeadlineNear);
        }
        let is_objective_past = self.objective_at.is_some_and(|at| now >= at);
        let is_due = is_objective_past && self.is_floor_met();
        (is_due || self.check_floor_wait(now)).then_some(FinishReason::FloorMet)
    }

    /// Returns the result of a query that finishes for `reason`.
    pub(crate) fn result(&self, reason: FinishReason, retry_after: Duration) -> FanoutResult {
        let documents_total = self.resolved.documents;
        let ran = self.run_state();
        let outcome = match (reason, self.shards_answered, ran) {
            (FinishReason::Complete, ..) if self.documents_covered == documents_total => {
                RequestOutcome::Answered
            }
            (_, 0, RunState::No) => RequestOutcome::NotRun,
            (_, 0, _) => RequestOutcome::Unknown,
            _ => RequestOutcome::Partial,
        };
        let is_below_floor = self.documents_covered < self.documents_floor;
        FanoutResult {
            outcome,
            ran,
            documents_covered: self.documents_covered,
            documents_total,
            shards_answered: self.shards_answered,
            shards_total: u32::try_from(self.shards.len()).unwrap_or(u32::MAX),
            calls_sent: self.calls_sent,
            extra_calls: self.extra_calls,
            cross_domain_calls: self.cross_domain_calls,
            reason,
            retry_after: is_below_floor.then_some(retry_after),
        }
    }

    /// Returns `No` only if every call that was sent is proven not to have run.
    fn run_state(&self) -> RunState {
        if self.shards_answered > 0 {
            return RunState::Yes;
        }
        match self.calls_not_run == self.calls_sent {
            true => RunState::No,
            false => RunState::Unknown,
        }
    }

    fn is_floor_met(&self) -> bool {
        self.shards_answered > 0 && self.documents_covered >= self.documents_floor
    }

    /// Returns whether a query that prefers latency has met its floor and waited long enough for
    /// every pending shard. Sets `floor_timer_at` to the end of the wait once the floor is met.
    fn check_floor_wait(&mut self, now: Instant) -> bool {
        if self.plan.preference != AnswerPreference::Latency || !self.is_floor_met() {
            return false;
        }
        let pending = self.shards.iter().filter(|shard| shard.is_pending());
        self.floor_timer_at = pending.map(|shard| shard.floor_wait_ends_at).max();
        self.floor_timer_at.is_some_and(|at| now >= at)
    }

    /// Moves a pending shard to a final state and returns its documents.
    fn close_shard(&mut self, position: usize, state: ShardState) -> u64 {
        let documents = self.plan.manifest.shards[position].documents;
        self.shards[position].set_state(state);
        self.documents_pending -= documents;
        self.shards_pending -= 1;
        documents
    }
}

impl LossCause {
    fn reason(self) -> FinishReason {
        match self {
            LossCause::Withdrawn => FinishReason::Abandoned,
            LossCause::SnapshotUnknown | LossCause::SnapshotUnknownNoRetry => {
                FinishReason::SnapshotRetired
            }
            LossCause::NoTarget => FinishReason::ShardLost,
            LossCause::Paused | LossCause::Busy => FinishReason::TargetsBusy,
            LossCause::TooLate => FinishReason::DeadlineNear,
        }
    }
}
