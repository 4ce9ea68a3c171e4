//! How claims are written, settled and recorded, one call a segment at a time.

use std::time::Instant;

use super::action::LedgerAction;
use super::answer::LedgerVerdict;
use super::cause::LedgerCause;
use super::engine::LedgerEngine;
use super::engine::SegmentCall;
use super::engine::SegmentView;
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

/// Progress of a segment.
impl LedgerEngine {
    /// Starts the segment's next call, if it is due and there is something to do.
    pub(super) fn advance(
        &mut self,
        segment: SegmentId,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        if work.call != SegmentCall::Idle {
            return;
        }
        work.not_before = work.not_before.filter(|instant| *instant > clock.now);
        if work.requests.is_empty() {
            let kept_views = match self.settings.mode {
                ClaimMode::Grouped => self.settings.cached_segments,
                ClaimMode::PerRequestObject => 0,
            };
            if work.not_before.is_none() && self.segments.len() > kept_views {
                self.segments.remove(&segment);
            }
            return;
        }
        let Some(view) = work.view.clone() else {
            self.read(segment, clock.now, actions);
            return;
        };
        let ids: Vec<LedgerRequestId> = work.requests.iter().copied().collect();
        for id in &ids {
            self.settle(*id, &view, clock, actions);
        }
        self.commit(segment, &ids, view, clock, actions);
    }

    fn read(&mut self, segment: SegmentId, now: Instant, actions: &mut Vec<LedgerAction>) {
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        let needs_read = work.requests.iter().any(|id| {
            self.requests.get(id).is_some_and(|request| request.phase != RequestPhase::Running)
        });
        if needs_read && work.not_before.is_none_or(|instant| instant <= now) {
            work.not_before = None;
            work.call = SegmentCall::Reading;
            actions.push(LedgerAction::ReadSegment { segment });
        }
    }

    /// Draws from the newest body what it proves about one try.
    fn settle(
        &mut self,
        id: LedgerRequestId,
        view: &SegmentView,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let is_mine =
            view.body.state(&request.entry_name) == Some(&EntryState::Claimed(request.token));
        match &request.phase {
            RequestPhase::Running => {}
            RequestPhase::Recording(EntryState::NotRun(_)) if !is_mine => {
                let verdict = LedgerVerdict::not_run(request.cause);
                self.answer(id, verdict, actions);
                self.remove(id);
            }
            RequestPhase::Recording(_) if !is_mine => self.remove(id),
            RequestPhase::Recording(_) => {}
            RequestPhase::Claiming => {
                if request.exposed.is_none_or(|base| base >= view.revision) {
                    return;
                }
                request.exposed = None;
                if is_mine {
                    self.hold(id, clock, actions);
                } else if request.is_answered {
                    self.remove(id);
                }
            }
        }
    }

    /// The claim is proven: dispatches it, or gives it up for good.
    fn hold(&mut self, id: LedgerRequestId, clock: ClockReading, actions: &mut Vec<LedgerAction>) {
        let Some(work) = self.requests.get_mut(&id) else {
            return;
        };
        if work.is_answered || work.is_expired(clock) {
            work.record_not_run(LedgerCause::DeadlinePassed);
            return;
        }
        work.phase = RequestPhase::Running;
        actions.push(LedgerAction::Dispatch {
            request: id,
            provider_hash: work.request.key.hash(&work.request.customer),
            deadline: work.request.deadline,
            wall_deadline: work.request.wall_deadline,
        });
    }

    /// Writes every change of the segment in one conditional update.
    fn commit(
        &mut self,
        segment: SegmentId,
        ids: &[LedgerRequestId],
        view: SegmentView,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) {
        let mut body = view.body.clone();
        let kept = millis(self.settings.window) + millis(self.settings.clock_skew);
        body.prune(wall_ms(clock.wall).saturating_sub(kept));
        let claim_bytes = LedgerSegment::claim_bytes(self.settings.max_result_bytes);
        let mut bytes = body.reserved_bytes(self.settings.max_result_bytes);
        let mut claims = Vec::new();
        let mut has_change = false;
        for id in ids {
            let has_room = bytes + claim_bytes <= self.settings.max_segment_bytes;
            let Some(state) = self.change(*id, &view.body, &body, has_room, clock, actions) else {
                continue;
            };
            let Some(work) = self.requests.get(id) else {
                continue;
            };
            if matches!(state, EntryState::Claimed(_)) {
                claims.push(*id);
                bytes += claim_bytes;
            }
            let issued_ms = work.request.key.issued_ms();
            body.entries.insert(work.entry_name.clone(), LedgerEntry { issued_ms, state });
            has_change = true;
        }
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        let needs_read = work.requests.iter().any(|id| {
            self.requests.get(id).is_some_and(|request| {
                request.phase == RequestPhase::Claiming
                    && !request.is_fresh
                    && matches!(view.body.state(&request.entry_name), Some(EntryState::Claimed(_)))
            })
        });
        if work.not_before.is_some() {
            return;
        }
        if needs_read {
            work.view = None;
            self.read(segment, clock.now, actions);
            return;
        }
        if !has_change {
            return;
        }
        let mut exposed = Vec::new();
        for id in claims {
            if let Some(request) = self.requests.get_mut(&id) {
                if request.exposed.is_none() {
                    exposed.push(id);
                }
                request.exposed = request.exposed.max(Some(view.revision));
            }
        }
        work.call = SegmentCall::Writing(SegmentWrite { body: body.clone(), exposed });
        actions.push(match view.revision {
            0 => LedgerAction::CreateSegment { segment, body },
            expected => LedgerAction::UpdateSegment { segment, body, expected },
        });
    }

    /// What one try wants to have written, if anything; answers those that may not claim.
    fn change(
        &mut self,
        id: LedgerRequestId,
        proven: &LedgerSegment,
        body: &LedgerSegment,
        has_room: bool,
        clock: ClockReading,
        actions: &mut Vec<LedgerAction>,
    ) -> Option<EntryState> {
        let work = self.requests.get(&id)?;
        let attempt = work.request.attempt;
        let token = work.token;
        let state = body.state(&work.entry_name);
        match &work.phase {
            RequestPhase::Running => return None,
            RequestPhase::Recording(record) => {
                return (state == Some(&EntryState::Claimed(token))).then(|| record.clone());
            }
            RequestPhase::Claiming => {}
        }
        if work.exposed.is_some() && (work.is_answered || work.is_expired(clock)) {
            // A write at the same base shuts out the one whose reply was lost.
            return Some(EntryState::NotRun(attempt));
        }
        match state {
            Some(EntryState::Done { result, .. }) => {
                let result = result.clone();
                let verdict = LedgerVerdict::ran(LedgerCause::RanBefore, result);
                self.answer(id, verdict, actions);
                self.remove(id);
                return None;
            }
            Some(EntryState::Claimed(_)) if work.is_fresh => {
                self.answer(id, LedgerVerdict::unknown(LedgerCause::ClaimHeld), actions);
                self.remove(id);
                return None;
            }
            Some(EntryState::Claimed(_)) => return None,
            Some(EntryState::NotRun(dead)) if *dead >= attempt => {
                if proven.state(&work.entry_name) != state {
                    return None;
                }
                let cause = match work.is_expired(clock) {
                    true => LedgerCause::DeadlinePassed,
                    false => LedgerCause::AttemptClosed,
                };
                self.answer(id, LedgerVerdict::not_run(cause), actions);
                self.remove(id);
                return None;
            }
            Some(EntryState::NotRun(_)) | None => {}
        }
        if work.exposed.is_some() {
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
