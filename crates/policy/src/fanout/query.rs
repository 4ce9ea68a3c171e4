//! A query under way.

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

/// A whole, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;

/// How far a shard is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardState {
    /// Not yet dispatched, or about to be again.
    Fresh,
    /// Waits for room at a replica.
    Waiting,
    /// Has an open call.
    Open,
    /// Waits before another try.
    Paused,
    /// Merged.
    Answered,
    /// Given up.
    Lost,
}

/// Why a shard is given up; the first that applies names the query's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LossCause {
    SnapshotUnknown,
    /// A replica no longer holds the snapshot and the budget can't pay for asking another.
    SnapshotUnpaid,
    NoTarget,
    Busy,
    TooLate,
}

/// One shard of a query.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub(crate) state: ShardState,
    /// The open calls: the first and its hedge.
    pub(crate) open: [Option<CallId>; 2],
    /// Bit set of replicas that were tried.
    pub(crate) tried: u64,
    /// Bit set of replicas that are of no use to the query.
    pub(crate) excluded: u64,
    /// Calls sent so far.
    pub(crate) sends: u8,
    /// Of these, calls that a target may have run.
    pub(crate) attempts: u8,
    /// Calls of which nothing left this VM; they are not in `sends`.
    pub(crate) unsent: u8,
    /// Grows with each change; timers and waiting copies of an earlier step are stale.
    pub(crate) step: u32,
    /// From here on the shard is late by its own expected latency.
    pub(crate) late_at: Instant,
    /// What the last call came to.
    pub(crate) last_cause: LossCause,
}

impl ShardProgress {
    /// A shard that counts as late from `late_at` on.
    pub(crate) fn new(late_at: Instant) -> ShardProgress {
        ShardProgress {
            state: ShardState::Fresh,
            open: [None; 2],
            tried: 0,
            excluded: 0,
            sends: 0,
            attempts: 0,
            unsent: 0,
            step: 0,
            late_at,
            last_cause: LossCause::NoTarget,
        }
    }

    /// Whether an answer may still come.
    pub(crate) fn is_pending(&self) -> bool {
        !matches!(self.state, ShardState::Answered | ShardState::Lost)
    }

    /// Whether a call is open.
    pub(crate) fn has_open(&self) -> bool {
        self.open.iter().any(Option::is_some)
    }

    /// Moves on; earlier timers and waiting copies become stale.
    pub(crate) fn enter(&mut self, state: ShardState) {
        self.state = state;
        self.step += 1;
    }

    /// Forgets an open call.
    pub(crate) fn close(&mut self, call: CallId) {
        for open in &mut self.open {
            if *open == Some(call) {
                *open = None;
            }
        }
    }
}

/// The bit of a replica in a [`ShardProgress`]'s sets; replicas past the 64th share the last.
pub(crate) fn replica_bit(replica: usize) -> u64 {
    1 << replica.min(63)
}

/// One query under way.
#[derive(Debug)]
pub(crate) struct RunningQuery {
    pub(crate) plan: FanoutPlan,
    pub(crate) resolved: Arc<ResolvedManifest>,
    pub(crate) shards: Vec<ShardProgress>,
    /// One budget for all shards, or one a shard.
    budgets: Vec<BudgetIndex>,
    /// The deadline less the margin.
    pub(crate) answer_by: Instant,
    /// The objective less the margin.
    pub(crate) objective_at: Option<Instant>,
    pub(crate) calls_sent: u32,
    pub(crate) extra_calls: u32,
    pub(crate) calls_refused: u32,
    pub(crate) cross_domain_calls: u32,
    /// For when a timer asks if the rest is late.
    pub(crate) rest_late_at: Option<Instant>,
    documents_covered: u64,
    documents_pending: u64,
    documents_floor: u64,
    shards_answered: u32,
    shards_pending: u32,
    loss: Option<LossCause>,
}

impl RunningQuery {
    /// A query of which nothing is sent yet.
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
            documents_floor: documents.saturating_mul(permille).div_ceil(WHOLE_PERMILLE),
            shards_answered: 0,
            shards_pending: u32::try_from(shards.len()).unwrap_or(u32::MAX),
            loss: None,
            plan,
            resolved,
            shards,
            budgets,
            answer_by,
            objective_at,
            calls_sent: 0,
            extra_calls: 0,
            calls_refused: 0,
            cross_domain_calls: 0,
            rest_late_at: None,
        }
    }

    /// The budget that pays for a shard's extra calls.
    pub(crate) fn budget(&self, position: usize) -> BudgetIndex {
        *self.budgets.get(position).unwrap_or(&self.budgets[0])
    }

    /// Counts a shard's answer, at most the shard's own documents.
    pub(crate) fn count_answer(&mut self, position: usize, documents: u64) {
        let weight = self.settle(position, ShardState::Answered);
        self.documents_covered += documents.min(weight);
        self.shards_answered += 1;
    }

    /// Gives a shard up.
    pub(crate) fn lose(&mut self, position: usize, cause: LossCause) {
        self.settle(position, ShardState::Lost);
        self.loss = Some(self.loss.map_or(cause, |loss| loss.min(cause)));
    }

    /// Why the query ends now, none while it goes on.
    pub(crate) fn verdict(&mut self, now: Instant) -> Option<FinishReason> {
        let loss = self.loss.unwrap_or(LossCause::TooLate);
        if loss == LossCause::SnapshotUnknown {
            return Some(FinishReason::SnapshotRetired);
        }
        if self.shards_answered as usize == self.shards.len() {
            return Some(FinishReason::Complete);
        }
        let is_out_of_reach =
            self.documents_covered + self.documents_pending < self.documents_floor;
        if self.shards_pending == 0 || is_out_of_reach {
            return Some(loss.reason());
        }
        if now >= self.answer_by {
            return Some(FinishReason::DeadlineNear);
        }
        let is_objective_past = self.objective_at.is_some_and(|at| now >= at);
        let is_due = is_objective_past && self.is_floor_met();
        (is_due || self.is_rest_late(now)).then_some(FinishReason::FloorMet)
    }

    /// The answer when the query ends for `reason`.
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

    /// `No` only when each call that was sent was refused by its target.
    fn run_state(&self) -> RunState {
        if self.shards_answered > 0 {
            return RunState::Yes;
        }
        match self.calls_refused == self.calls_sent {
            true => RunState::No,
            false => RunState::Unknown,
        }
    }

    fn is_floor_met(&self) -> bool {
        self.shards_answered > 0 && self.documents_covered >= self.documents_floor
    }

    /// Whether the contract prefers time, the floor is met and every missing shard is late.
    fn is_rest_late(&mut self, now: Instant) -> bool {
        if self.plan.preference != AnswerPreference::Latency || !self.is_floor_met() {
            return false;
        }
        let pending = self.shards.iter().filter(|shard| shard.is_pending());
        self.rest_late_at = pending.map(|shard| shard.late_at).max();
        self.rest_late_at.is_some_and(|at| now >= at)
    }

    fn settle(&mut self, position: usize, state: ShardState) -> u64 {
        let weight = self.plan.manifest.shards[position].documents;
        self.shards[position].enter(state);
        self.documents_pending -= weight;
        self.shards_pending -= 1;
        weight
    }
}

impl LossCause {
    fn reason(self) -> FinishReason {
        match self {
            LossCause::SnapshotUnknown | LossCause::SnapshotUnpaid => FinishReason::SnapshotRetired,
            LossCause::NoTarget => FinishReason::ShardLost,
            LossCause::Busy => FinishReason::TargetsBusy,
            LossCause::TooLate => FinishReason::DeadlineNear,
        }
    }
}
