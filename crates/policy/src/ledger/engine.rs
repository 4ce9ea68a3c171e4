//! Engine for the non-idempotent requests of one VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;
use std::time::SystemTime;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Revision;

use super::action::LedgerAction;
use super::answer::LedgerAnswer;
use super::cause::LedgerCause;
use super::deadlines::DeadlineIndex;
use super::event::ExecuteOutcome;
use super::event::LedgerEvent;
use super::key::ClockReading;
use super::key::SegmentId;
use super::request::LedgerRequest;
use super::request::LedgerRequestId;
use super::request::PendingRequest;
use super::request::RequestPhase;
use super::segment::ClaimToken;
use super::segment::EntryState;
use super::segment::LedgerSegment;
use super::segment::json_bytes;
use super::settings::ClaimMode;
use super::settings::LedgerSettings;

/// Bits of a claim token; JSON parsers that read numbers as doubles keep 53 bits exactly.
const TOKEN_BITS: u32 = 53;

/// State machine that claims, dispatches and records the non-idempotent requests of one VM.
///
/// It performs no I/O: events go in, and actions for the driver come out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerEngine {
    pub(super) settings: LedgerSettings,
    pub(super) segments: BTreeMap<SegmentId, SegmentState>,
    pub(super) requests: BTreeMap<LedgerRequestId, PendingRequest>,
    /// Deadlines of the unanswered attempts.
    pub(super) deadlines: DeadlineIndex,
    next_token: u64,
}

/// Segment as last read or written.
///
/// It is only a hint and may be stale; only a conditional update proves anything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CachedSegment {
    pub(super) body: LedgerSegment,
    pub(super) revision: Revision,
}

/// In-flight write of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SegmentWrite {
    pub(super) body: LedgerSegment,
    /// Attempts whose claim is in doubt only because of this write.
    pub(super) newly_in_doubt: Vec<LedgerRequestId>,
}

/// In-flight platform call of a segment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum SegmentCall {
    #[default]
    Idle,
    Reading,
    Writing(SegmentWrite),
}

/// Progress of one segment, with its pending requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SegmentState {
    pub(super) cached: Option<CachedSegment>,
    pub(super) call: SegmentCall,
    pub(super) requests: BTreeSet<LedgerRequestId>,
    /// Whether the latest call failed or was refused.
    pub(super) is_unreachable: bool,
    /// Earliest time of the next call.
    pub(super) not_before: Option<Instant>,
}

impl LedgerEngine {
    /// Creates an engine without requests.
    pub fn new(settings: LedgerSettings) -> LedgerEngine {
        LedgerEngine {
            settings,
            segments: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: DeadlineIndex::default(),
            next_token: 0,
        }
    }

    /// Starts an attempt.
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
        let pending = PendingRequest {
            entry_name: request.key.entry_name(&request.customer),
            token: self.new_token(),
            phase: RequestPhase::Claiming,
            in_doubt_base: None,
            cause: LedgerCause::DeadlinePassed,
            is_answered: false,
            has_read_since_submit: false,
            segment,
            request,
        };
        self.deadlines.insert(&pending.request);
        self.requests.insert(id, pending);
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

    /// Handles the completion of an action.
    pub fn handle(
        &mut self,
        event: LedgerEvent,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<LedgerAction>,
    ) {
        let segment = match event {
            LedgerEvent::SegmentRead { segment, body, revision } => {
                self.handle_read(segment, body.unwrap_or_default(), revision);
                segment
            }
            LedgerEvent::ReadFailed { segment } => {
                self.handle_call_failed(segment, now, actions);
                segment
            }
            LedgerEvent::WriteAccepted { segment, revision } => {
                self.handle_write_accepted(segment, revision, now);
                segment
            }
            LedgerEvent::WriteConflict { segment } => {
                self.invalidate_cached(segment);
                segment
            }
            LedgerEvent::WriteUncertain { segment } => {
                self.invalidate_cached(segment);
                self.delay_next_call(segment, now);
                segment
            }
            LedgerEvent::WriteRefused { segment } => {
                self.handle_write_refused(segment);
                self.handle_call_failed(segment, now, actions);
                segment
            }
            LedgerEvent::ExecuteFinished { request, outcome } => {
                let Some(segment) = self.requests.get(&request).map(|pending| pending.segment)
                else {
                    return;
                };
                self.handle_execute_finished(request, outcome, actions);
                segment
            }
        };
        self.advance(segment, ClockReading { now, wall }, actions);
    }

    /// Answers attempts whose deadline has passed, and advances segments whose delay has ended.
    pub fn wake(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<LedgerAction>) {
        let clock = ClockReading { now, wall };
        let is_due =
            |state: &SegmentState| state.not_before.is_some_and(|instant| instant <= clock.now);
        let due = self.segments.iter().filter(|(_, state)| is_due(state)).map(|(id, _)| *id);
        let mut segments: BTreeSet<SegmentId> = due.collect();
        for id in self.deadlines.expired(clock) {
            segments.extend(self.requests.get(&id).map(|pending| pending.segment));
            self.answer_expired(id, actions);
        }
        for segment in segments {
            self.advance(segment, clock, actions);
        }
    }

    /// Returns when [`LedgerEngine::wake`] is due next.
    pub fn next_wake(&self) -> Option<Instant> {
        let delays = self
            .segments
            .values()
            .filter(|state| state.call == SegmentCall::Idle && !state.requests.is_empty())
            .filter_map(|state| state.not_before);
        self.deadlines.earliest().into_iter().chain(delays).min()
    }

    /// Returns the number of attempts not yet answered and recorded; a VM waits for 0 before it
    /// stops.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn new_token(&mut self) -> ClaimToken {
        self.next_token += 1;
        let hash = xxh3_64_with_seed(&self.next_token.to_le_bytes(), self.settings.token_seed);
        hash >> (u64::BITS - TOKEN_BITS)
    }

    fn is_backing_off(&self, segment: SegmentId, now: Instant) -> bool {
        self.segments.get(&segment).is_some_and(|state| {
            state.is_unreachable && state.not_before.is_some_and(|instant| instant > now)
        })
    }

    /// Answers an attempt whose deadline has passed; a claim in doubt is still resolved afterwards.
    fn answer_expired(&mut self, id: LedgerRequestId, actions: &mut Vec<LedgerAction>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        match &pending.phase {
            RequestPhase::Claiming if pending.in_doubt_base.is_none() => {
                self.refuse(id, LedgerCause::DeadlinePassed, actions);
            }
            RequestPhase::Recording(EntryState::NotRun(_)) => {
                let answer = LedgerAnswer::not_run(pending.cause);
                self.answer(id, answer, actions);
            }
            RequestPhase::Claiming => {
                self.answer(id, LedgerAnswer::unknown(LedgerCause::ClaimUncertain), actions);
            }
            RequestPhase::Dispatched | RequestPhase::Recording(_) => {
                self.answer(id, LedgerAnswer::unknown(LedgerCause::ReplyMissing), actions);
            }
        }
    }

    fn handle_execute_finished(
        &mut self,
        id: LedgerRequestId,
        outcome: ExecuteOutcome,
        actions: &mut Vec<LedgerAction>,
    ) {
        let max_result_bytes = self.settings.max_result_bytes;
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if pending.phase != RequestPhase::Dispatched {
            return;
        }
        match outcome {
            ExecuteOutcome::Done { provider, result } => {
                let kept = Some(result.clone()).filter(|text| json_bytes(text) <= max_result_bytes);
                let state = EntryState::Done { provider, result: kept };
                pending.phase = RequestPhase::Recording(state);
                self.answer(id, LedgerAnswer::ran(LedgerCause::Ran, Some(result)), actions);
            }
            ExecuteOutcome::RefusedNotRun => pending.record_not_run(LedgerCause::TargetRefused),
            ExecuteOutcome::NotSent => pending.record_not_run(LedgerCause::NotSent),
            ExecuteOutcome::Uncertain => {
                self.answer(id, LedgerAnswer::unknown(LedgerCause::ReplyMissing), actions);
                self.remove(id);
            }
        }
    }
}
