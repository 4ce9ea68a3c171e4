//! The engine that holds every unrepeatable request of one VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;
use std::time::SystemTime;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Revision;

use super::action::LedgerAction;
use super::answer::LedgerVerdict;
use super::cause::LedgerCause;
use super::deadlines::DeadlineBook;
use super::event::ExecuteOutcome;
use super::event::LedgerEvent;
use super::key::ClockReading;
use super::key::SegmentId;
use super::request::LedgerRequest;
use super::request::LedgerRequestId;
use super::request::RequestPhase;
use super::request::RequestWork;
use super::segment::ClaimToken;
use super::segment::EntryState;
use super::segment::LedgerSegment;
use super::segment::json_bytes;
use super::settings::ClaimMode;
use super::settings::LedgerSettings;

/// Bits of a token, so that every JSON parser keeps it whole.
const TOKEN_BITS: u32 = 53;

/// Every unrepeatable request of one VM, with the segments it works on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerEngine {
    pub(super) settings: LedgerSettings,
    pub(super) segments: BTreeMap<SegmentId, SegmentWork>,
    pub(super) requests: BTreeMap<LedgerRequestId, RequestWork>,
    /// Of every try that is not answered.
    pub(super) deadlines: DeadlineBook,
    next_token: u64,
}

/// A segment as last seen; a hint, for only the conditional update proves anything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SegmentView {
    pub(super) body: LedgerSegment,
    pub(super) revision: Revision,
}

/// The write under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SegmentWrite {
    pub(super) body: LedgerSegment,
    /// Tries whose claim this write exposed for the first time.
    pub(super) exposed: Vec<LedgerRequestId>,
}

/// The call under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum SegmentCall {
    #[default]
    Idle,
    Reading,
    Writing(SegmentWrite),
}

/// One segment that the VM works on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SegmentWork {
    pub(super) view: Option<SegmentView>,
    pub(super) call: SegmentCall,
    pub(super) requests: BTreeSet<LedgerRequestId>,
    /// Whether the newest call did not reach the platform.
    pub(super) is_unreachable: bool,
    /// No call before this.
    pub(super) not_before: Option<Instant>,
}

impl LedgerEngine {
    /// An engine that holds nothing.
    pub fn new(settings: LedgerSettings) -> LedgerEngine {
        LedgerEngine {
            settings,
            segments: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: DeadlineBook::default(),
            next_token: 0,
        }
    }

    /// Starts a try.
    pub fn submit(
        &mut self,
        request: LedgerRequest,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<LedgerAction>,
    ) {
        let hash = request.key.hash(&request.customer);
        let segment = match self.settings.mode {
            ClaimMode::Grouped => hash % self.settings.segments.max(1),
            ClaimMode::PerRequestObject => hash,
        };
        let id = request.id;
        let work = RequestWork {
            entry_name: request.key.entry_name(&request.customer),
            token: self.fresh_token(),
            phase: RequestPhase::Claiming,
            exposed: None,
            cause: LedgerCause::DeadlinePassed,
            is_answered: false,
            is_fresh: false,
            segment,
            request,
        };
        self.deadlines.insert(&work.request);
        self.requests.insert(id, work);
        self.segments.entry(segment).or_default().requests.insert(id);
        if self.refuse_by_age(id, wall, actions) {
            return;
        }
        if self.requests[&id].is_expired(ClockReading { now, wall }) {
            self.refuse(id, LedgerCause::DeadlinePassed, actions);
            return;
        }
        if self.is_backing_off(segment, now) {
            self.refuse(id, LedgerCause::PlatformUnreachable, actions);
            return;
        }
        self.advance(segment, ClockReading { now, wall }, actions);
    }

    /// Takes the end of an action.
    pub fn handle(
        &mut self,
        event: LedgerEvent,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<LedgerAction>,
    ) {
        let segment = match event {
            LedgerEvent::SegmentRead { segment, body, revision } => {
                self.take_read(segment, body.unwrap_or_default(), revision);
                segment
            }
            LedgerEvent::ReadFailed { segment } => {
                self.fail_call(segment, now, actions);
                segment
            }
            LedgerEvent::WriteAccepted { segment, revision } => {
                self.take_accepted(segment, revision, now);
                segment
            }
            LedgerEvent::WriteConflict { segment } => {
                self.forget_view(segment);
                segment
            }
            LedgerEvent::WriteUncertain { segment } => {
                self.forget_view(segment);
                self.pause(segment, now);
                segment
            }
            LedgerEvent::WriteRefused { segment } => {
                self.take_refused(segment);
                self.fail_call(segment, now, actions);
                segment
            }
            LedgerEvent::ExecuteFinished { request, outcome } => {
                let Some(segment) = self.requests.get(&request).map(|work| work.segment) else {
                    return;
                };
                self.take_execution(request, outcome, actions);
                segment
            }
        };
        self.advance(segment, ClockReading { now, wall }, actions);
    }

    /// Answers what is due and takes up what has waited.
    pub fn wake(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<LedgerAction>) {
        let clock = ClockReading { now, wall };
        let is_due =
            |work: &SegmentWork| work.not_before.is_some_and(|instant| instant <= clock.now);
        let waited = self.segments.iter().filter(|(_, work)| is_due(work)).map(|(id, _)| *id);
        let mut segments: BTreeSet<SegmentId> = waited.collect();
        for id in self.deadlines.due(clock) {
            segments.extend(self.requests.get(&id).map(|work| work.segment));
            self.answer_late(id, actions);
        }
        for segment in segments {
            self.advance(segment, clock, actions);
        }
    }

    /// When [`LedgerEngine::wake`] is due next.
    pub fn next_wake(&self) -> Option<Instant> {
        let waits = self
            .segments
            .values()
            .filter(|work| work.call == SegmentCall::Idle && !work.requests.is_empty())
            .filter_map(|work| work.not_before);
        self.deadlines.first().into_iter().chain(waits).min()
    }

    /// How many tries are not yet answered and recorded; a VM that stops waits for 0.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn fresh_token(&mut self) -> ClaimToken {
        self.next_token += 1;
        let hash = xxh3_64_with_seed(&self.next_token.to_le_bytes(), self.settings.token_seed);
        hash >> (u64::BITS - TOKEN_BITS)
    }

    fn is_backing_off(&self, segment: SegmentId, now: Instant) -> bool {
        self.segments.get(&segment).is_some_and(|work| {
            work.is_unreachable && work.not_before.is_some_and(|instant| instant > now)
        })
    }

    fn answer_late(&mut self, id: LedgerRequestId, actions: &mut Vec<LedgerAction>) {
        let Some(work) = self.requests.get(&id) else {
            return;
        };
        match &work.phase {
            RequestPhase::Claiming if work.exposed.is_none() => {
                self.refuse(id, LedgerCause::DeadlinePassed, actions);
            }
            RequestPhase::Recording(EntryState::NotRun(_)) => {
                let verdict = LedgerVerdict::not_run(work.cause);
                self.answer(id, verdict, actions);
            }
            RequestPhase::Claiming => {
                self.answer(id, LedgerVerdict::unknown(LedgerCause::ClaimUncertain), actions);
            }
            RequestPhase::Running | RequestPhase::Recording(_) => {
                self.answer(id, LedgerVerdict::unknown(LedgerCause::ReplyMissing), actions);
            }
        }
    }

    fn take_execution(
        &mut self,
        id: LedgerRequestId,
        outcome: ExecuteOutcome,
        actions: &mut Vec<LedgerAction>,
    ) {
        let max_result_bytes = self.settings.max_result_bytes;
        let Some(work) = self.requests.get_mut(&id) else {
            return;
        };
        if work.phase != RequestPhase::Running {
            return;
        }
        match outcome {
            ExecuteOutcome::Done { provider, result } => {
                let kept = Some(result.clone()).filter(|text| json_bytes(text) <= max_result_bytes);
                let state = EntryState::Done { provider, result: kept };
                work.phase = RequestPhase::Recording(state);
                self.answer(id, LedgerVerdict::ran(LedgerCause::Ran, Some(result)), actions);
            }
            ExecuteOutcome::RefusedNotRun => work.record_not_run(LedgerCause::TargetRefused),
            ExecuteOutcome::NotSent => work.record_not_run(LedgerCause::NotSent),
            ExecuteOutcome::Uncertain => {
                self.answer(id, LedgerVerdict::unknown(LedgerCause::ReplyMissing), actions);
                self.remove(id);
            }
        }
    }
}
