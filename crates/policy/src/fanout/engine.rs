//! The engine that runs every query of one VM.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::BudgetOwner;
use crate::CallId;
use crate::CallPermit;
use crate::FanoutAction;
use crate::FanoutEvent;
use crate::FanoutPlan;
use crate::FanoutSettings;
use crate::FinishReason;
use crate::FloorWait;
use crate::QueryId;
use crate::RefusalCause;
use crate::budget::BudgetTable;
use crate::fanout::manifest::ManifestCache;
use crate::fanout::query::LossCause;
use crate::fanout::query::RunningQuery;
use crate::fanout::query::ShardProgress;
use crate::fanout::query::ShardState;
use crate::fanout::timer::EngineTimer;
use crate::fanout::timer::TimerKind;
use crate::latency::LatencyEstimate;
use crate::latency::LatencyTable;
use crate::routing::TargetIndex;
use crate::routing::TargetTable;
use crate::slots::WaitingCall;

/// Low bits of a call id that hold the call counter. The remaining bits hold the VM's prefix.
const CALL_COUNTER_BITS: u32 = 40;
/// Divisor of the time left that bounds the answer margin.
const ANSWER_MARGIN_DIVISOR: u32 = 4;
/// Thousandths in one.
const PERMILLE_SCALE: u32 = 1_000;

/// Engine that runs every query of one VM and tracks the state of the targets.
///
/// # Examples
///
/// A query whose only shard has no known target finishes within the call to `submit`:
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use oleanderwind_policy::*;
///
/// let now = Instant::now();
/// let mut engine = FanoutEngine::new(FanoutSettings::default());
/// let shard = ShardEntry { shard: 0, documents: 10, targets: vec!["a".into()] };
/// let plan = FanoutPlan {
///     customer: "library".into(),
///     class: "finder".into(),
///     manifest: Arc::new(SnapshotManifest {
///         service: "courses".into(),
///         provider: "east".into(),
///         index_version: 1,
///         shards: vec![shard],
///     }),
///     deadline: now + Duration::from_millis(200),
///     coverage_floor_permille: 900,
///     preference: AnswerPreference::Coverage,
///     priority: ClassPriority::Interactive,
///     urgency: None,
///     extra_load_permille: 100,
///     objective: None,
///     attempt_policy: AttemptPolicy::default(),
/// };
/// let mut actions = Vec::new();
/// engine.submit(1, plan, now, &mut actions);
/// let [FanoutAction::Finish { result, .. }] = &actions[..] else { panic!("{actions:?}") };
/// assert_eq!(result.reason, FinishReason::ShardLost);
/// assert_eq!(result.ran, RunState::No);
/// ```
pub struct FanoutEngine {
    pub(crate) settings: FanoutSettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) targets: TargetTable,
    pub(crate) latencies: LatencyTable,
    pub(crate) budgets: BudgetTable,
    pub(crate) queries: HashMap<QueryId, Box<RunningQuery>>,
    pub(crate) calls: HashMap<CallId, OpenCall>,
    pub(crate) timers: BinaryHeap<Reverse<EngineTimer>>,
    /// Targets that may have room for queued calls.
    pub(crate) freed_targets: Vec<TargetIndex>,
    /// Calls that more urgent ones displaced from a queue.
    pub(crate) displaced: Vec<WaitingCall>,
    /// Time passed in by the most recent call.
    pub(crate) current_time: Option<Instant>,
    pub(crate) timers_set: u64,
    pub(crate) targets_compared: u64,
    manifests: ManifestCache,
    call_counter: u64,
}

/// A call in flight: sent, and neither ended nor cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCall {
    pub(crate) query: QueryId,
    /// Position of the shard in the query's manifest.
    pub(crate) position: u32,
    /// Position of the target among the shard's replicas.
    pub(crate) replica: u32,
    pub(crate) target: TargetIndex,
    /// When the driver sent the call, or when the engine asked for it if the driver has not yet.
    pub(crate) sent_at: Instant,
    pub(crate) is_sent: bool,
    /// How long after it was sent the call is hedged, if it may be.
    pub(crate) hedge_delay: Option<Duration>,
    /// Permit that a target with a rate limit requires.
    pub(crate) permit: Option<CallPermit>,
}

impl FanoutEngine {
    /// Returns an engine without queries or targets.
    pub fn new(settings: FanoutSettings) -> FanoutEngine {
        FanoutEngine {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            targets: TargetTable::new(
                settings.own_domain.clone(),
                settings.crossing_cost,
                settings.load_news,
            ),
            latencies: LatencyTable::new(settings.hedge.permille(), settings.cold_latency),
            budgets: BudgetTable::new(
                settings.customer_burst,
                settings.service_share,
                settings.service_window,
            ),
            queries: HashMap::new(),
            calls: HashMap::new(),
            timers: BinaryHeap::new(),
            freed_targets: Vec::new(),
            displaced: Vec::new(),
            current_time: None,
            timers_set: 0,
            targets_compared: 0,
            manifests: ManifestCache::default(),
            call_counter: 0,
            settings,
        }
    }

    /// Starts a query. Does nothing if a query with this id is already running.
    pub fn submit(
        &mut self,
        query: QueryId,
        plan: FanoutPlan,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        self.current_time = Some(now);
        if self.queries.contains_key(&query) {
            return;
        }
        let mut running = self.start_query(plan, now);
        self.give_up_unservable_shards(&mut running, now);
        let mut reason = running.finish_reason(now);
        if reason.is_none() {
            self.push_timer(query, 0, 0, running.answer_by, TimerKind::CheckFinish);
            if let Some(at) = running.objective_at {
                self.push_timer(query, 0, 0, at, TimerKind::CheckFinish);
            }
            for position in 0..running.shards.len() {
                if running.shards[position].is_pending() {
                    self.dispatch(query, &mut running, position, now, actions);
                }
            }
            reason = running.finish_reason(now);
        }
        self.finish_or_resume(query, running, reason, now, actions);
        self.serve_freed_targets(now, actions);
    }

    /// Ends a query whose caller disconnected, and cancels its calls.
    pub fn abandon(&mut self, query: QueryId, now: Instant, actions: &mut Vec<FanoutAction>) {
        self.current_time = Some(now);
        let Some(running) = self.queries.remove(&query) else { return };
        self.finish_or_resume(query, running, Some(FinishReason::Abandoned), now, actions);
        self.serve_freed_targets(now, actions);
    }

    /// Ends what a query would still send, as what admitted it was taken back.
    ///
    /// Shards without a call in flight are given up, and nothing is hedged or sent again. Calls that have left end by
    /// themselves, and the query finishes with their answers.
    pub fn withdraw(&mut self, query: QueryId, now: Instant, actions: &mut Vec<FanoutAction>) {
        self.current_time = Some(now);
        let Some(mut running) = self.queries.remove(&query) else { return };
        running.is_withdrawn = true;
        for position in 0..running.shards.len() {
            let shard = &running.shards[position];
            if shard.is_pending() && !shard.has_open_call() {
                running.give_up_shard(position, LossCause::Withdrawn);
            }
        }
        let reason = running.finish_reason(now);
        self.finish_or_resume(query, running, reason, now, actions);
        self.serve_freed_targets(now, actions);
    }

    /// Processes an event. Ignores it if the call is not in flight: it ended, was cancelled, or is
    /// not of this engine.
    pub fn handle(&mut self, event: FanoutEvent, now: Instant, actions: &mut Vec<FanoutAction>) {
        self.current_time = Some(now);
        let call = event.call();
        let Some(open) = self.calls.remove(&call) else { return };
        self.record_event(&event, &open, now);
        let Some(mut running) = self.queries.remove(&open.query) else { return };
        let position = open.position as usize;
        running.shards[position].remove_call(call);
        match event {
            FanoutEvent::Answered { documents, .. } => {
                running.record_answer(position, documents);
                actions.push(FanoutAction::Merge { query: open.query, call });
                self.cancel_calls(&mut running, position, false, now, actions);
            }
            FanoutEvent::Refused { cause, .. } => {
                running.calls_not_run += u32::from(proves_not_run(cause));
                self.retry_refused(&mut running, &open, cause, now, actions);
            }
            FanoutEvent::Unsent { .. } | FanoutEvent::Withdrawn { .. } => {
                self.retry_unsent(&mut running, &open, now, actions);
            }
            FanoutEvent::Failed { .. } => self.retry_failed(&mut running, &open, now, actions),
            FanoutEvent::Quarantined { has_ended_target, retry_after, .. } => {
                if !has_ended_target {
                    self.revoke_call(&mut running, position, now);
                }
                running.quarantine = Some(retry_after);
            }
        }
        let reason = match running.quarantine {
            Some(_) => Some(FinishReason::Quarantined),
            None => running.finish_reason(now),
        };
        self.finish_or_resume(open.query, running, reason, now, actions);
        self.serve_freed_targets(now, actions);
    }

    /// Records that the driver has begun to send a call; must follow each
    /// [`FanoutAction::Send`].
    ///
    /// Until then the call waits for this VM's own processor, which says nothing about its target:
    /// the time is not counted as the target's latency, and the call is not hedged.
    pub fn mark_sent(&mut self, call: CallId, now: Instant) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        let asked_at = std::mem::replace(&mut open.sent_at, now);
        open.is_sent = true;
        self.targets.state_mut(open.target).restart_call(asked_at, now);
    }

    /// Returns the time at which [`wake`](FanoutEngine::wake) is due next, if a timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse(timer)| timer.at)
    }

    /// Fires every timer that is due.
    pub fn wake(&mut self, now: Instant, actions: &mut Vec<FanoutAction>) {
        self.current_time = Some(now);
        while let Some(Reverse(timer)) = self.timers.peek().copied() {
            if timer.at > now {
                break;
            }
            self.timers.pop();
            match timer.kind {
                TimerKind::ServeQueue(target) => self.freed_targets.push(target),
                _ => self.fire_timer(timer, now, actions),
            }
        }
        self.serve_freed_targets(now, actions);
    }

    /// Sets a timer.
    pub(crate) fn push_timer(
        &mut self,
        query: QueryId,
        position: usize,
        state_version: u32,
        at: Instant,
        kind: TimerKind,
    ) {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        self.timers_set += 1;
        self.timers.push(Reverse(EngineTimer { at, query, position, state_version, kind }));
    }

    /// Removes stale timers from the front of the timer queue.
    pub(crate) fn prune_timers(&mut self) {
        while let Some(Reverse(timer)) = self.timers.peek() {
            if self.is_timer_live(timer) {
                return;
            }
            self.timers.pop();
        }
    }

    /// Returns a call id that this engine has not used before.
    pub fn next_call_id(&mut self) -> CallId {
        self.call_counter += 1;
        (u64::from(self.settings.call_id_prefix) << CALL_COUNTER_BITS) | self.call_counter
    }

    fn start_query(&mut self, plan: FanoutPlan, now: Instant) -> Box<RunningQuery> {
        let resolved =
            self.manifests.resolve(&plan.manifest, &mut self.targets, &mut self.latencies);
        let left = plan.deadline.saturating_duration_since(now);
        let floor_wait_ends_at =
            |latency| now + self.floor_wait(self.latencies.estimate(latency), left);
        let shards = resolved.shards.iter();
        let shards =
            shards.map(|shard| ShardProgress::new(floor_wait_ends_at(shard.latency))).collect();
        let margin = self.settings.answer_margin.min(left / ANSWER_MARGIN_DIVISOR);
        let answer_by = plan.deadline.checked_sub(margin).unwrap_or(plan.deadline);
        let objective_at = plan.objective.map(|at| at.checked_sub(margin).unwrap_or(at));
        let budgets = match &plan.attempt_policy.budget {
            BudgetOwner::Customer => vec![self.budgets.customer_budget(&plan.customer, now)],
            BudgetOwner::Services(services) => {
                services.iter().map(|service| self.budgets.service_budget(service, now)).collect()
            }
        };
        Box::new(RunningQuery::new(plan, resolved, shards, budgets, answer_by, objective_at))
    }

    /// Returns the time from a query's start for which it waits for a missing shard.
    fn floor_wait(&self, estimate: LatencyEstimate, left: Duration) -> Duration {
        match self.settings.floor_wait {
            FloorWait::Late => estimate.late_threshold,
            FloorWait::HedgeAnswer => {
                let delay = self.settings.hedge.delay(estimate.hedge_latency).unwrap_or_default();
                delay + estimate.late_threshold
            }
            FloorWait::DeadlineShare { permille } => left * permille / PERMILLE_SCALE,
        }
    }

    fn fire_timer(&mut self, timer: EngineTimer, now: Instant, actions: &mut Vec<FanoutAction>) {
        if !self.is_timer_live(&timer) {
            return;
        }
        let Some(mut running) = self.queries.remove(&timer.query) else { return };
        let position = timer.position as usize;
        match timer.kind {
            TimerKind::CheckFinish | TimerKind::ServeQueue(_) => {}
            TimerKind::Hedge => self.hedge(timer.query, &mut running, position, now, actions),
            TimerKind::WaitExpired => self.expire_queued(&mut running, position),
            TimerKind::Retry => {
                running.shards[position].set_state(ShardState::Undispatched);
                running.shards[position].tried_replicas = 0;
                self.dispatch(timer.query, &mut running, position, now, actions);
            }
        }
        let reason = running.finish_reason(now);
        self.finish_or_resume(timer.query, running, reason, now, actions);
    }

    fn is_timer_live(&self, timer: &EngineTimer) -> bool {
        if matches!(timer.kind, TimerKind::ServeQueue(_)) {
            return true;
        }
        let Some(running) = self.queries.get(&timer.query) else { return false };
        let shard = running.shards.get(timer.position as usize);
        timer.kind == TimerKind::CheckFinish
            || shard.is_some_and(|shard| shard.state_version == timer.state_version)
    }
}

/// Returns whether a refusal with this cause proves that the target ran nothing.
///
/// A cancel or a passed deadline may have ended a run that was under way.
fn proves_not_run(cause: RefusalCause) -> bool {
    match cause {
        RefusalCause::Shedding
        | RefusalCause::Draining
        | RefusalCause::SnapshotUnknown
        | RefusalCause::Malformed => true,
        RefusalCause::Cancelled | RefusalCause::DeadlinePassed => false,
    }
}
