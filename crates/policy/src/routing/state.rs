//! What is known of one target.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::LoadReport;
use crate::RefusalCause;
use crate::TargetId;
use crate::TargetPhase;
use crate::TargetSpec;
use crate::latency::LatencyEwma;
use crate::routing::FailureBackoff;
use crate::slots::ConcurrencyWindow;
use crate::slots::WaitingCallQueue;

/// How long a load report counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Most calls of others that a report can add to the expected wait, in slots of the target.
const REPORT_CAP_SLOTS: u32 = 4;
/// How long a target counts as shedding after it shed a call.
const SHED_HOLD: Duration = Duration::from_secs(1);
/// An open call counts as overdue after the expected latency times this; three in a hundred sound
/// calls of the users' spread (a log-normal one of 0.35) take longer.
const OVERDUE_FACTOR: f64 = 2.0;
/// A call that was overdue when it was given up speaks against its target for this long after it was
/// sent; the users' targets pause for up to 250 ms.
const SILENCE_HOLD: Duration = Duration::from_millis(300);
/// Weight of a call in the part of calls that a target refuses.
const REFUSAL_WEIGHT: f64 = 0.25;
/// Silence after which that part has halved, so that a target that shed is tried again.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(1);
/// Expected wait added where every call is refused, in seconds: a refused call costs its trip and a
/// repeat out of the budget. Half of it outweighs another failure domain.
const REFUSAL_COST: f64 = 0.2;
/// Latency taken for a target without samples, in seconds.
const UNKNOWN_LATENCY: f64 = 0.001;

/// How a call stood when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelledCallTiming {
    /// Not yet late.
    OnTime,
    /// Late by the shard's own latency.
    Late,
    /// Open until its query had to be answered.
    PastDeadline,
}

/// One process of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TargetProcess {
    incarnation: u64,
    address: SocketAddr,
}

/// One target: what the platform says, what it says itself and what was seen.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: TargetId,
    pub(crate) window: ConcurrencyWindow,
    pub(crate) queue: WaitingCallQueue,
    pub(crate) latency: LatencyEwma,
    pub(crate) backoff: FailureBackoff,
    /// When each open call was sent, oldest first.
    open_since: VecDeque<Instant>,
    /// When the last call was sent that was given up overdue, if nothing was heard since.
    silent_since: Option<Instant>,
    /// Grows with each call, for choices by turn.
    pub(crate) selections: u64,
    /// When the platform stopped listing it.
    pub(crate) unlisted_at: Option<Instant>,
    /// Whether it stands in another failure domain than this VM.
    pub(crate) is_cross_domain: bool,
    /// Expected wait added for its distance, in seconds.
    pub(crate) crossing_cost: f64,
    /// Which process this is of; none before it is listed.
    process: Option<TargetProcess>,
    listed_phase: Option<TargetPhase>,
    is_draining: bool,
    others_open: u32,
    reported_at: Option<Instant>,
    shed_at: Option<Instant>,
    /// Part of the calls that it refused as of the last one, 0 to 1.
    refused_part: f64,
    refused_at: Option<Instant>,
}

impl TargetState {
    /// A target that the platform has not listed yet.
    pub(crate) fn new(target: TargetId) -> TargetState {
        TargetState {
            target,
            window: ConcurrencyWindow::new(1, 0),
            queue: WaitingCallQueue::default(),
            latency: LatencyEwma::default(),
            backoff: FailureBackoff::default(),
            open_since: VecDeque::new(),
            silent_since: None,
            selections: 0,
            unlisted_at: None,
            is_cross_domain: false,
            crossing_cost: 0.0,
            process: None,
            listed_phase: None,
            is_draining: false,
            others_open: 0,
            reported_at: None,
            shed_at: None,
            refused_part: 0.0,
            refused_at: None,
        }
    }

    /// Takes over what the platform lists.
    pub(crate) fn list(&mut self, spec: &TargetSpec) {
        let process = TargetProcess { incarnation: spec.incarnation, address: spec.address };
        if self.process.replace(process).is_some_and(|before| before != process) {
            self.forget();
        }
        if self.listed_phase.is_none() {
            self.window.set_initial(spec.slots);
        }
        self.window.set_shape(spec.slots, spec.connection_limit);
        // The platform's word may lag behind the target's own: a target comes back from draining
        // only after the platform has listed it as draining, or not at all.
        let is_back = self.listed_phase == Some(TargetPhase::Draining);
        let is_draining = spec.phase == TargetPhase::Draining;
        self.is_draining = is_draining || (self.is_draining && !is_back);
        self.listed_phase = Some(spec.phase);
        self.unlisted_at = None;
    }

    /// Drops what was seen of an earlier process; its open calls stay counted.
    fn forget(&mut self) {
        self.latency = LatencyEwma::default();
        self.backoff = FailureBackoff::default();
        self.listed_phase = None;
        self.is_draining = false;
        self.reported_at = None;
        self.shed_at = None;
        self.silent_since = None;
        self.refused_part = 0.0;
        self.refused_at = None;
    }

    /// Notes that the platform lists it no more.
    pub(crate) fn unlist(&mut self, now: Instant) {
        if self.listed_phase.take().is_some() {
            self.is_draining = false;
        }
        self.unlisted_at.get_or_insert(now);
    }

    /// Notes that it is leaving.
    pub(crate) fn mark_draining(&mut self) {
        self.is_draining = true;
    }

    /// Notes that it is leaving, when it says so.
    pub(crate) fn mark_draining_if(&mut self, is_draining: bool) {
        self.is_draining |= is_draining;
    }

    /// Whether it may take new calls at all.
    pub(crate) fn is_usable(&self) -> bool {
        self.listed_phase.is_some() && !self.is_draining && self.window.has_connections()
    }

    /// Whether it is used only where nothing else is left.
    pub(crate) fn is_lapsed(&self) -> bool {
        self.listed_phase == Some(TargetPhase::Lapsed)
    }

    /// Whether it shed a call lately.
    pub(crate) fn is_shedding(&self, now: Instant) -> bool {
        self.shed_at.is_some_and(|at| now.saturating_duration_since(at) < SHED_HOLD)
    }

    /// Takes in an answer, before its call is closed.
    pub(crate) fn record_answer(&mut self, latency: Duration, load: LoadReport, now: Instant) {
        self.latency.record(latency, now);
        self.note_whether_refused(0.0, now);
        self.note_alive();
        self.note_load(load, now);
        self.window.record_answer(load, self.latency.is_slow(), now);
    }

    /// Takes in a refused call.
    pub(crate) fn record_refusal(&mut self, cause: RefusalCause, load: LoadReport, now: Instant) {
        self.note_alive();
        self.note_load(load, now);
        if matches!(cause, RefusalCause::Shedding | RefusalCause::DeadlinePassed) {
            self.shed_at = Some(now);
            self.note_whether_refused(1.0, now);
            self.window.note_shed(now);
        }
    }

    fn note_alive(&mut self) {
        self.backoff.note_alive();
        self.silent_since = None;
    }

    /// Takes in a cancelled call that had run for `elapsed`.
    ///
    /// Its latency is at least that long. Lateness counts as a failure for the choice of targets, so
    /// that one whose calls all lose to hedges is found out; only a deadline that it let pass
    /// narrows its window too.
    pub(crate) fn record_cancelled(
        &mut self,
        elapsed: Duration,
        end: CancelledCallTiming,
        now: Instant,
    ) {
        let expected = self.latency.expected_seconds(now);
        if elapsed.as_secs_f64() > expected * OVERDUE_FACTOR {
            self.silent_since = now.checked_sub(elapsed);
        }
        if elapsed.as_secs_f64() > expected {
            self.latency.record(elapsed, now);
        }
        match end {
            CancelledCallTiming::OnTime => {}
            CancelledCallTiming::Late => self.backoff.record_failure(now),
            CancelledCallTiming::PastDeadline => {
                self.backoff.record_failure(now);
                self.window.note_shed(now);
            }
        }
    }

    /// Takes in a failed call.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.backoff.note_broken(now);
        self.window.note_shed(now);
    }

    /// Takes room for a call.
    pub(crate) fn open_call(&mut self, now: Instant) {
        self.window.acquire();
        self.open_since.push_back(now);
        self.selections += 1;
    }

    /// Gives back the room of a call that was sent at `sent_at`.
    pub(crate) fn close_call(&mut self, sent_at: Instant) {
        self.window.release();
        if let Some(index) = self.open_since.iter().position(|since| *since == sent_at) {
            self.open_since.remove(index);
        }
    }

    /// How long the target has owed an answer, in seconds: to its oldest open call, or to one that
    /// was given up a moment ago.
    fn owed(&self, now: Instant) -> f64 {
        let age = |since: &Instant| now.saturating_duration_since(*since);
        let open = self.open_since.front().map(age).unwrap_or_default();
        let silent = self.silent_since.as_ref().map(age).filter(|age| *age < SILENCE_HOLD);
        open.max(silent.unwrap_or_default()).as_secs_f64()
    }

    fn note_whether_refused(&mut self, refused: f64, now: Instant) {
        let held = self.refused_part(now);
        self.refused_part = held + (refused - held) * REFUSAL_WEIGHT;
        self.refused_at = Some(now);
    }

    /// The part of calls that it is expected to refuse, 0 to 1.
    fn refused_part(&self, now: Instant) -> f64 {
        let Some(at) = self.refused_at.filter(|_| self.refused_part > 0.0) else { return 0.0 };
        let silence = now.saturating_duration_since(at).div_duration_f64(REFUSAL_HALF_LIFE);
        self.refused_part * (-silence).exp2()
    }

    /// Whether it refused a call lately, so that all others are worth a look.
    pub(crate) fn is_refusing(&self, now: Instant) -> bool {
        self.refused_part(now) > REFUSAL_WEIGHT / 2.0
    }

    /// Expected latency of a call that waits for no other, in seconds.
    fn usual_latency(&self, now: Instant) -> f64 {
        self.latency.expected_seconds(now).max(UNKNOWN_LATENCY)
    }

    /// Whether it has owed an answer for longer than calls usually take.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        self.owed(now) > self.usual_latency(now) * OVERDUE_FACTOR
    }

    /// Expected time to an answer, in seconds: waiting calls, own and others', share the slots.
    ///
    /// A call that is owed for longer than calls usually take shows a target that has paused
    /// or turned slow before any answer can; nothing is expected sooner than as long again.
    pub(crate) fn expected_wait(&self, now: Instant) -> f64 {
        let latency = self.usual_latency(now);
        let latency = if self.is_overdue(now) { latency.max(self.owed(now)) } else { latency };
        let is_fresh =
            self.reported_at.is_some_and(|at| now.saturating_duration_since(at) < REPORT_LIFETIME);
        let others = if is_fresh { self.others_open } else { 0 };
        let ahead = f64::from(self.window.open() + others);
        let refusal_cost = self.refused_part(now) * REFUSAL_COST;
        latency * (1.0 + ahead / f64::from(self.window.slots())) + self.crossing_cost + refusal_cost
    }

    fn note_load(&mut self, load: LoadReport, now: Instant) {
        let reported = load.busy.saturating_add(load.queued);
        let others = reported.saturating_sub(self.window.open());
        self.others_open = others.min(self.window.slots().saturating_mul(REPORT_CAP_SLOTS));
        self.reported_at = Some(now);
    }
}
