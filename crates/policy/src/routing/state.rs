//! Listed, reported and observed state of one target.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::CallPermit;
use crate::FailureDomainId;
use crate::LoadNews;
use crate::LoadReport;
use crate::RefusalCause;
use crate::RequestRate;
use crate::TargetId;
use crate::TargetPhase;
use crate::TargetSpec;
use crate::latency::LatencyEwma;
use crate::limit::PermitStock;
use crate::load::LoadEstimate;
use crate::routing::FailureBackoff;
use crate::slots::ConcurrencyWindow;
use crate::slots::WaitingCallQueue;

/// How long a target counts as shedding load after it shed a call.
const SHEDDING_PERIOD: Duration = Duration::from_secs(1);
/// An open call is overdue after this multiple of the expected latency.
///
/// Latencies of the users' targets are log-normal with sigma 0.35: 3% of healthy calls take longer.
const OVERDUE_FACTOR: f64 = 2.0;
/// How long after it was sent a call that was overdue when cancelled counts against its target.
///
/// The users' targets pause for up to 250 ms.
const UNANSWERED_PERIOD: Duration = Duration::from_millis(300);
/// Weight of one call in the moving average of the refusal rate.
const REFUSAL_RATE_WEIGHT: f64 = 0.25;
/// Time without calls after which the refusal rate halves, so that a target that shed load is tried
/// again.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(1);
/// Expected wait added for a target that refuses every call, in seconds.
///
/// A refused call costs a round trip and a retry out of the extra-load budget. Half of this value
/// outweighs the cost of crossing to another failure domain.
const REFUSAL_PENALTY_SECONDS: f64 = 0.2;
/// Lower bound of the expected latency, in seconds; used for a target without samples.
const MIN_LATENCY_SECONDS: f64 = 0.001;

/// Timing of a call at the moment of its cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelledCallTiming {
    /// Within the shard's expected latency.
    OnTime,
    /// Beyond the shard's expected latency.
    Late,
    /// In flight when its query timed out, which is the answer margin before the deadline.
    QueryTimedOut,
}

/// Identity of one process of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TargetProcess {
    incarnation: u64,
    address: SocketAddr,
}

/// One target: its platform listing, its own reports and the observed results of calls.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: TargetId,
    pub(crate) window: ConcurrencyWindow,
    pub(crate) queue: WaitingCallQueue,
    pub(crate) latency: LatencyEwma,
    pub(crate) backoff: FailureBackoff,
    /// When each open call was sent, oldest first.
    open_calls_sent_at: VecDeque<Instant>,
    /// When the latest call that was cancelled overdue was sent, if there was no response since.
    unanswered_since: Option<Instant>,
    /// Number of calls sent so far, for round-robin selection.
    pub(crate) selections: u64,
    /// When the platform stopped listing the target.
    pub(crate) unlisted_at: Option<Instant>,
    /// Whether the target is in another failure domain than this VM.
    pub(crate) is_cross_domain: bool,
    /// Expected wait added for crossing to another failure domain, in seconds.
    pub(crate) crossing_cost: f64,
    /// Failure domain of the listed process; `None` before the target is listed.
    pub(crate) failure_domain: Option<FailureDomainId>,
    /// Whether the failure domain is evacuated, so that the target gets no new calls.
    is_evacuated: bool,
    /// The listed process; `None` before the target is listed.
    process: Option<TargetProcess>,
    listed_phase: Option<TargetPhase>,
    is_draining: bool,
    /// Newest incarnation that announced in a reply that it leaves.
    left_incarnation: Option<u64>,
    /// End of the pause that a process asked for.
    paused_until: Option<Instant>,
    /// When the process asked for it.
    pause_asked_at: SystemTime,
    /// Permits for calls; `None` if the process named no rate limit.
    stock: Option<PermitStock>,
    /// Calls from other callers and pace, by the target's reports.
    load: LoadEstimate,
    last_shed_at: Option<Instant>,
    /// Moving average of the fraction of refused calls, 0 to 1, as of the last call.
    refusal_rate: f64,
    refusal_rate_at: Option<Instant>,
}

impl TargetState {
    /// Returns the state of a target that the platform has not listed yet.
    pub(crate) fn new(target: TargetId, news: LoadNews) -> TargetState {
        TargetState {
            target,
            window: ConcurrencyWindow::new(1, 0),
            queue: WaitingCallQueue::default(),
            latency: LatencyEwma::default(),
            backoff: FailureBackoff::default(),
            open_calls_sent_at: VecDeque::new(),
            unanswered_since: None,
            selections: 0,
            unlisted_at: None,
            is_cross_domain: false,
            crossing_cost: 0.0,
            failure_domain: None,
            is_evacuated: false,
            process: None,
            listed_phase: None,
            is_draining: false,
            left_incarnation: None,
            paused_until: None,
            pause_asked_at: SystemTime::UNIX_EPOCH,
            stock: None,
            load: LoadEstimate::new(news),
            last_shed_at: None,
            refusal_rate: 0.0,
            refusal_rate_at: None,
        }
    }

    /// Applies the platform's entry for the target.
    pub(crate) fn apply_spec(&mut self, spec: &TargetSpec) {
        let process = TargetProcess { incarnation: spec.incarnation, address: spec.address };
        let mut slots = spec.slots;
        if let Some(before) = self.process.replace(process).filter(|before| *before != process) {
            self.reset_observations();
            match self.paused_until.is_some() && self.was_paused_by(process, before) {
                true => slots = 1,
                false => self.paused_until = None,
            }
            // An entry of an earlier process than the one that left is outdated.
            self.left_incarnation =
                self.left_incarnation.filter(|left| process.incarnation < *left);
        }
        if self.listed_phase.is_none() {
            self.window.reset_size(slots);
        }
        self.window.set_limits(spec.slots, spec.connection_limit);
        // The platform's listing may lag behind the target's own notice of draining. The target
        // therefore stops draining only after the platform has listed it as draining.
        let was_listed_draining = self.listed_phase == Some(TargetPhase::Draining);
        let is_draining = spec.phase == TargetPhase::Draining;
        self.is_draining = is_draining || (self.is_draining && !was_listed_draining);
        self.listed_phase = Some(spec.phase);
        self.unlisted_at = None;
    }

    /// Returns whether the pause may be that of a process that is listed only now: it ran already at the address.
    fn was_paused_by(&self, process: TargetProcess, before: TargetProcess) -> bool {
        let started_at = SystemTime::UNIX_EPOCH + Duration::from_millis(process.incarnation);
        process.address == before.address && started_at <= self.pause_asked_at
    }

    /// Discards the observations of an earlier process but for a pause; its open calls stay counted.
    fn reset_observations(&mut self) {
        self.latency = LatencyEwma::default();
        self.backoff = FailureBackoff::default();
        self.listed_phase = None;
        self.is_draining = false;
        self.stock = None;
        self.load.reset();
        self.last_shed_at = None;
        self.unanswered_since = None;
        self.refusal_rate = 0.0;
        self.refusal_rate_at = None;
    }

    /// Records that the platform no longer lists the target.
    pub(crate) fn mark_unlisted(&mut self, now: Instant) {
        if self.listed_phase.take().is_some() {
            self.is_draining = false;
        }
        self.unlisted_at.get_or_insert(now);
    }

    /// Records that the target is draining.
    pub(crate) fn mark_draining(&mut self) {
        self.is_draining = true;
    }

    /// Records that the target is draining, if `is_draining`.
    pub(crate) fn mark_draining_if(&mut self, is_draining: bool) {
        self.is_draining |= is_draining;
    }

    /// Sets whether the target's failure domain is evacuated. Taken back, the target gets one call at a time at first.
    pub(crate) fn set_evacuated(&mut self, is_evacuated: bool) {
        let was_evacuated = std::mem::replace(&mut self.is_evacuated, is_evacuated);
        if was_evacuated && !is_evacuated {
            self.window.reset_size(1);
        }
    }

    /// Returns whether the target's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Records that a process announced in a reply that it leaves; returns whether that is new.
    ///
    /// It holds until a later process is listed, whatever the platform's entry says.
    pub(crate) fn mark_leaving(&mut self, incarnation: u64) -> bool {
        let is_new = self.left_incarnation.is_none_or(|left| left < incarnation);
        if is_new {
            self.left_incarnation = Some(incarnation);
        }
        is_new
    }

    /// Records that a process asked for no calls until `until`; returns whether it is the listed
    /// one.
    ///
    /// Replaces an earlier pause. After its end the target gets one call at a time at first. `wall` is the time now on
    /// the wall clock, which tells whether a process that is listed later is the one that asked.
    pub(crate) fn pause(&mut self, incarnation: u64, until: Instant, wall: SystemTime) -> bool {
        let is_listed = self.incarnation() == Some(incarnation);
        if is_listed {
            self.paused_until = Some(until);
            self.pause_asked_at = wall;
            self.window.reset_size(1);
        }
        is_listed
    }

    /// Returns the end of the pause that the target asked for, or until when its rate limit allows no call, if that is
    /// not over.
    pub(crate) fn paused_until(&self, now: Instant) -> Option<Instant> {
        let closed_until = self.stock.as_ref().and_then(|stock| stock.closed_until(now));
        self.paused_until.filter(|until| now < *until).max(closed_until)
    }

    /// Returns whether the listed process announced in a reply that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.incarnation()
            .is_some_and(|listed| self.left_incarnation.is_some_and(|left| listed <= left))
    }

    /// Returns whether the target serves: it may get new calls unless it asked for a pause.
    pub(crate) fn is_usable(&self) -> bool {
        self.listed_phase.is_some()
            && !self.is_evacuated
            && !self.is_draining
            && !self.is_leaving()
            && self.window.has_connections()
    }

    /// Returns whether the target may get a new call now, or soon if a permit for it has to be waited for.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        self.is_usable() && self.paused_until(now).is_none()
    }

    /// Returns whether a call that was chosen for the target with this permit may leave now.
    pub(crate) fn may_send(
        &self,
        permit: Option<&CallPermit>,
        now: Instant,
        wall: SystemTime,
    ) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        let is_permitted =
            self.stock.is_none() || permit.is_some_and(|permit| permit.is_valid(now, wall));
        self.is_usable() && !is_paused && is_permitted
    }

    /// Returns whether a call may be sent now: the window has room, and a rate limit allows it.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.window.has_capacity() && !self.lacks_permit(now)
    }

    /// Returns whether only a permit is missing for a call now.
    pub(crate) fn lacks_permit(&self, now: Instant) -> bool {
        self.stock.as_ref().is_some_and(|stock| !stock.has_usable(now))
    }

    /// Returns whether a call lacks a permit, and none are asked for or known to be exhausted.
    pub(crate) fn may_ask_for_permits(&self, now: Instant) -> bool {
        self.stock.as_ref().is_some_and(|stock| stock.is_unasked(now))
    }

    /// Takes a permit for a call that leaves now, if the target has a rate limit; returns whether it may leave.
    pub(crate) fn take_valid_permit(&mut self, now: Instant, wall: SystemTime) -> bool {
        self.stock.as_mut().is_none_or(|stock| stock.take_valid(now, wall))
    }

    /// Returns whether the listed process named a rate limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.stock.is_some()
    }

    /// Returns the rate limit and the number of permits in stock.
    pub(crate) fn limit(&self, now: Instant) -> Option<(RequestRate, usize)> {
        self.stock.as_ref().map(|stock| (stock.rate, stock.len(now)))
    }

    /// Sets the rate limit of a process, or its end, if it is the listed one. Permits of the earlier rate stay valid.
    pub(crate) fn set_limit(&mut self, incarnation: u64, rate: Option<RequestRate>) {
        if self.incarnation() != Some(incarnation) {
            return;
        }
        match (rate, &mut self.stock) {
            (None, stock) => *stock = None,
            (Some(rate), Some(stock)) => stock.rate = rate,
            (Some(rate), stock) => *stock = Some(PermitStock::new(rate)),
        }
    }

    /// Returns the permits for calls, if the listed process is this one and named a rate limit.
    pub(crate) fn stock_of(&mut self, incarnation: u64) -> Option<&mut PermitStock> {
        let is_listed = self.incarnation() == Some(incarnation);
        self.stock.as_mut().filter(|_| is_listed)
    }

    /// Takes a permit for a call; `None` if the target has no rate limit.
    pub(crate) fn take_permit(&mut self, now: Instant) -> Option<CallPermit> {
        self.stock.as_mut().and_then(|stock| stock.take(now))
    }

    /// Records that `calls` lack a permit; returns whether permits have to be asked for.
    pub(crate) fn want_permits(&mut self, calls: u32, now: Instant) -> bool {
        self.stock.as_mut().is_some_and(|stock| stock.want(calls, now))
    }

    /// Returns the start of the listed process.
    pub(crate) fn incarnation(&self) -> Option<u64> {
        self.process.map(|process| process.incarnation)
    }

    /// Returns whether the target has lapsed and is used only as a last resort.
    pub(crate) fn is_lapsed(&self) -> bool {
        self.listed_phase == Some(TargetPhase::Lapsed)
    }

    /// Returns whether the target shed a call recently.
    pub(crate) fn is_shedding(&self, now: Instant) -> bool {
        self.last_shed_at.is_some_and(|at| now.saturating_duration_since(at) < SHEDDING_PERIOD)
    }

    /// Records an answer; must precede the closing of its call.
    pub(crate) fn record_answer(&mut self, latency: Duration, load: LoadReport, now: Instant) {
        self.latency.record(latency, now);
        self.update_refusal_rate(0.0, now);
        self.record_response();
        self.record_load(load, now);
        self.window.record_answer(load, self.latency.is_slow(), now);
    }

    /// Records a refused call.
    pub(crate) fn record_refusal(&mut self, cause: RefusalCause, load: LoadReport, now: Instant) {
        self.record_response();
        self.record_load(load, now);
        if matches!(cause, RefusalCause::Shedding | RefusalCause::DeadlinePassed) {
            self.last_shed_at = Some(now);
            self.update_refusal_rate(1.0, now);
            self.window.record_shed_or_failure(now);
        }
    }

    fn record_response(&mut self) {
        self.backoff.record_response();
        self.unanswered_since = None;
    }

    /// Records a cancelled call that had run for `elapsed`, a lower bound of its latency.
    ///
    /// A late call counts as a failure in the backoff, so that a target whose calls all lose to
    /// hedges is detected. Only a time-out of the query also shrinks the concurrency window.
    pub(crate) fn record_cancelled(
        &mut self,
        elapsed: Duration,
        timing: CancelledCallTiming,
        now: Instant,
    ) {
        let expected = self.latency.expected_seconds(now);
        if elapsed.as_secs_f64() > expected * OVERDUE_FACTOR {
            self.unanswered_since = now.checked_sub(elapsed);
        }
        if elapsed.as_secs_f64() > expected {
            self.latency.record(elapsed, now);
        }
        match timing {
            CancelledCallTiming::OnTime => {}
            CancelledCallTiming::Late => self.backoff.record_failure(now),
            CancelledCallTiming::QueryTimedOut => {
                self.backoff.record_failure(now);
                self.window.record_shed_or_failure(now);
            }
        }
    }

    /// Forgets failures and their effect on the window.
    pub(crate) fn forget_failures(&mut self) {
        self.backoff = FailureBackoff::default();
        self.unanswered_since = None;
        self.window.reset_size(self.window.slots());
    }

    /// Records a call that failed without a response.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.backoff.record_connection_failure(now);
        self.window.record_shed_or_failure(now);
    }

    /// Counts a call as open.
    pub(crate) fn open_call(&mut self, now: Instant) {
        self.window.acquire();
        self.open_calls_sent_at.push_back(now);
        self.selections += 1;
    }

    /// Counts an open call from `now` on instead of from `asked_at`.
    pub(crate) fn restart_call(&mut self, asked_at: Instant, now: Instant) {
        if let Some(index) = self.open_calls_sent_at.iter().position(|since| *since == asked_at) {
            self.open_calls_sent_at.remove(index);
            self.open_calls_sent_at.push_back(now);
        }
    }

    /// Removes the call sent at `sent_at` from the open calls.
    pub(crate) fn close_call(&mut self, sent_at: Instant) {
        self.window.release();
        if let Some(index) = self.open_calls_sent_at.iter().position(|since| *since == sent_at) {
            self.open_calls_sent_at.remove(index);
        }
    }

    /// Returns the age of the oldest unanswered call, in seconds.
    ///
    /// A recently cancelled overdue call counts as unanswered.
    fn unanswered_seconds(&self, now: Instant) -> f64 {
        let age = |since: &Instant| now.saturating_duration_since(*since);
        let open = self.open_calls_sent_at.front().map(age).unwrap_or_default();
        let cancelled =
            self.unanswered_since.as_ref().map(age).filter(|age| *age < UNANSWERED_PERIOD);
        open.max(cancelled.unwrap_or_default()).as_secs_f64()
    }

    fn update_refusal_rate(&mut self, refused: f64, now: Instant) {
        let previous = self.refusal_rate(now);
        self.refusal_rate = previous + (refused - previous) * REFUSAL_RATE_WEIGHT;
        self.refusal_rate_at = Some(now);
    }

    /// Returns the fraction of calls that the target is expected to refuse, 0 to 1.
    fn refusal_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.refusal_rate_at.filter(|_| self.refusal_rate > 0.0) else { return 0.0 };
        let half_lives = now.saturating_duration_since(at).div_duration_f64(REFUSAL_HALF_LIFE);
        self.refusal_rate * (-half_lives).exp2()
    }

    /// Returns whether the target refused a call recently.
    ///
    /// If it did, all other replicas are compared instead of a sample of two.
    pub(crate) fn is_refusing(&self, now: Instant) -> bool {
        self.refusal_rate(now) > REFUSAL_RATE_WEIGHT / 2.0
    }

    /// Returns the expected latency of a call that is not queued, in seconds.
    fn expected_latency(&self, now: Instant) -> f64 {
        self.latency.expected_seconds(now).max(MIN_LATENCY_SECONDS)
    }

    /// Returns whether a call has been unanswered for longer than calls usually take.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        self.unanswered_seconds(now) > self.expected_latency(now) * OVERDUE_FACTOR
    }

    /// Returns the expected time to an answer, in seconds.
    ///
    /// Calls from this VM and from other callers share the target's slots. An overdue call reveals
    /// a paused or slow target before any answer can. The expected latency is then at least the age
    /// of that call.
    pub(crate) fn expected_wait(&self, now: Instant) -> f64 {
        let latency = self.expected_latency(now);
        let latency =
            if self.is_overdue(now) { latency.max(self.unanswered_seconds(now)) } else { latency };
        let latency = latency * self.load.pace(now);
        let ahead = f64::from(self.window.open()) + self.load.others(latency, now);
        let refusal_cost = self.refusal_rate(now) * REFUSAL_PENALTY_SECONDS;
        latency * (1.0 + ahead / f64::from(self.window.slots())) + self.crossing_cost + refusal_cost
    }

    fn record_load(&mut self, load: LoadReport, now: Instant) {
        self.load.record(load, self.window.open(), self.window.slots(), now);
    }
}
