//! Writing, resolving and recording of claims, with at most one call in flight per segment.

use std::time::Instant;

use super::action::LedgerAction;
use super::answer::LedgerAnswer;
use super::cause::LedgerCause;
use super::engine::CachedSegment;
use super::engine::LedgerEngine;
use super::engine::SegmentCall;
use super::engine::SegmentWrite;
use super::key::ClockReading;
use super::key::SegmentId;
use super::key::millis;
use super::key::wall_ms;
use super::request::LedgerRequestId;
use super::request::RequestPhase;
use super::segment::EntryState;
use super::segment::LedgerEntry;
use super::segment::LedgerSegment;
use super::settings::ClaimMode;

/// Progress of segments.
impl LedgerEngine {
    /// Starts the segment's next call if it is due and needed.
    pub(super) fn advance(
        &mut self,
        segment: SegmentId,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(state) = self.segments.get_mut(&segment) else {
            return;
        };
        if state.call != SegmentCall::Idle {
            return;
        }
        state.not_before = state.not_before.filter(|instant| *instant > clock.now);
        if state.requests.is_empty() {
            let max_cached = match self.settings.mode {
                ClaimMode::Grouped => self.settings.cached_segments,
                ClaimMode::PerRequestObject => 0,
            };
            if state.not_before.is_none() && self.segments.len() > max_cached {
                self.segments.remove(&segment);
            }
            return;
        }
        let Some(cached) = state.cached.clone() else {
            self.read(segment, clock.now, actions);
            return;
        };
        let ids: Vec<LedgerRequestId> = state.requests.iter().copied().collect();
        for id in &ids {
            self.resolve(*id, &cached, clock, actions);
        }
        self.commit(segment, &ids, cached, clock, actions);
    }

    fn read(&mut self, segment: SegmentId, now: Instant, actions: &mut Vec<LedgerAction>) {
        let Some(state) = self.segments.get_mut(&segment) else {
            return;
        };
        let needs_read = state.requests.iter().any(|id| {
            self.requests.get(id).is_some_and(|request| request.phase != RequestPhase::Dispatched)
        });
        if needs_read && state.not_before.is_none_or(|instant| instant <= now) {
            state.not_before = None;
            state.call = SegmentCall::Reading;
            actions.push(LedgerAction::ReadSegment { segment });
        }
    }

    /// Resolves an attempt as far as the latest known body of its segment allows.
    fn resolve(
        &mut self,
        id: LedgerRequestId,
        cached: &CachedSegment,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let holds_claim =
            cached.body.state(&request.entry_name) == Some(&EntryState::Claimed(request.token));
        match &request.phase {
            RequestPhase::Dispatched => {}
            RequestPhase::Recording(EntryState::NotRun(_)) if !holds_claim => {
                let answer = LedgerAnswer::not_run(request.cause);
                self.answer(id, answer, actions);
                self.remove(id);
            }
            RequestPhase::Recording(_) if !holds_claim => self.remove(id),
            RequestPhase::Recording(_) => {}
            RequestPhase::Claiming => {
                if request.in_doubt_base.is_none_or(|base| base >= cached.revision) {
                    return;
                }
                request.in_doubt_base = None;
                if holds_claim {
                    self.handle_claim_confirmed(id, clock, actions);
                } else if request.is_answered {
                    self.remove(id);
                }
            }
        }
    }

    /// Dispatches an attempt whose claim is confirmed, or abandons it if it is answered or expired.
    fn handle_claim_confirmed(
        &mut self,
        id: LedgerRequestId,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if pending.is_answered || pending.is_expired(clock) {
            pending.record_not_run(LedgerCause::DeadlinePassed);
            return;
        }
        pending.phase = RequestPhase::Dispatched;
        actions.push(LedgerAction::Dispatch {
            request: id,
            provider_hash: pending.request.key.hash(&pending.request.customer),
            deadline: pending.request.deadline,
            wall_deadline: pending.request.wall_deadline,
        });
    }

    /// Writes all changes of the segment in one conditional update.
    fn commit(
        &mut self,
        segment: SegmentId,
        ids: &[LedgerRequestId],
        cached: CachedSegment,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let mut body = cached.body.clone();
        let retention_ms = millis(self.settings.window) + millis(self.settings.clock_skew);
        body.prune(wall_ms(clock.wall).saturating_sub(retention_ms));
        let claim_bytes = LedgerSegment::claim_bytes(self.settings.max_result_bytes);
        let mut bytes = body.reserved_bytes(self.settings.max_result_bytes);
        let mut claims = Vec::new();
        let mut has_change = false;
        for id in ids {
            let has_room = bytes + claim_bytes <= self.settings.max_segment_bytes;
            let Some(state) =
                self.planned_state(*id, &cached.body, &body, has_room, clock, actions)
            else {
                continue;
            };
            let Some(pending) = self.requests.get(id) else {
                continue;
            };
            if matches!(state, EntryState::Claimed(_)) {
                claims.push(*id);
                bytes += claim_bytes;
            }
            let issued_ms = pending.request.key.issued_ms();
            body.entries.insert(pending.entry_name.clone(), LedgerEntry { issued_ms, state });
            has_change = true;
        }
        let Some(segment_state) = self.segments.get_mut(&segment) else {
            return;
        };
        let needs_read = segment_state.requests.iter().any(|id| {
            self.requests.get(id).is_some_and(|request| {
                request.phase == RequestPhase::Claiming
                    && !request.has_read_since_submit
                    && matches!(
                        cached.body.state(&request.entry_name),
                        Some(EntryState::Claimed(_))
                    )
            })
        });
        if segment_state.not_before.is_some() {
            return;
        }
        if needs_read {
            segment_state.cached = None;
            self.read(segment, clock.now, actions);
            return;
        }
        if !has_change {
            return;
        }
        let mut newly_in_doubt = Vec::new();
        for id in claims {
            if let Some(request) = self.requests.get_mut(&id) {
                if request.in_doubt_base.is_none() {
                    newly_in_doubt.push(id);
                }
                request.in_doubt_base = request.in_doubt_base.max(Some(cached.revision));
            }
        }
        segment_state.call =
            SegmentCall::Writing(SegmentWrite { body: body.clone(), newly_in_doubt });
        actions.push(match cached.revision {
            0 => LedgerAction::CreateSegment { segment, body },
            expected => LedgerAction::UpdateSegment { segment, body, expected },
        });
    }

    /// Returns the entry state that the attempt needs written, if any; answers attempts that may not
    /// claim.
    ///
    /// `committed` is the segment as last read or written, and `body` is the body being prepared,
    /// which includes the changes of other attempts.
    fn planned_state(
        &mut self,
        id: LedgerRequestId,
        committed: &LedgerSegment,
        body: &LedgerSegment,
        has_room: bool,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) -> Option<EntryState> {
        let pending = self.requests.get(&id)?;
        let attempt = pending.request.attempt;
        let token = pending.token;
        let state = body.state(&pending.entry_name);
        match &pending.phase {
            RequestPhase::Dispatched => return None,
            RequestPhase::Recording(record) => {
                return (state == Some(&EntryState::Claimed(token))).then(|| record.clone());
            }
            RequestPhase::Claiming => {}
        }
        if pending.in_doubt_base.is_some() && (pending.is_answered || pending.is_expired(clock)) {
            // Of two writes with the same base revision only one can take effect, so this one rules
            // out the write whose reply was lost.
            return Some(EntryState::NotRun(attempt));
        }
        match state {
            Some(EntryState::Done { result, .. }) => {
                let result = result.clone();
                let answer = LedgerAnswer::ran(LedgerCause::RanBefore, result);
                self.answer(id, answer, actions);
                self.remove(id);
                return None;
            }
            Some(EntryState::Claimed(_)) if pending.has_read_since_submit => {
                self.answer(id, LedgerAnswer::unknown(LedgerCause::ClaimHeld), actions);
                self.remove(id);
                return None;
            }
            Some(EntryState::Claimed(_)) => return None,
            Some(EntryState::NotRun(closed)) if *closed >= attempt => {
                if committed.state(&pending.entry_name) != state {
                    return None;
                }
                let cause = match pending.is_expired(clock) {
                    true => LedgerCause::DeadlinePassed,
                    false => LedgerCause::AttemptClosed,
                };
                self.answer(id, LedgerAnswer::not_run(cause), actions);
                self.remove(id);
                return None;
            }
            Some(EntryState::NotRun(_)) | None => {}
        }
        if pending.in_doubt_base.is_some() {
            return Some(EntryState::Claimed(token));
        }
        if self.refuse_by_age(id, clock.wall, actions) {
            return None;
        }
        if self.requests.get(&id)?.is_expired(clock) {
            self.refuse(id, LedgerCause::DeadlinePassed, actions);
            return None;
        }
        if !has_room {
            self.refuse(id, LedgerCause::SegmentFull, actions);
            return None;
        }
        Some(EntryState::Claimed(token))
    }
}
