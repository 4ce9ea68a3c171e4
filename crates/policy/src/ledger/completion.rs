//! Handling of completed platform calls.

use std::time::Instant;

use crate::Revision;

use super::action::LedgerAction;
use super::cause::LedgerCause;
use super::engine::CachedSegment;
use super::engine::LedgerEngine;
use super::engine::SegmentCall;
use super::key::SegmentId;
use super::request::LedgerRequestId;
use super::request::RequestPhase;
use super::segment::LedgerSegment;

/// Completed platform calls.
impl LedgerEngine {
    pub(super) fn handle_read(
        &mut self,
        segment: SegmentId,
        body: LedgerSegment,
        revision: Revision,
    ) {
        let Some(state) = self.segments.get_mut(&segment) else {
            return;
        };
        state.call = SegmentCall::Idle;
        state.is_unreachable = false;
        state.cached = Some(CachedSegment { body, revision });
        for id in &state.requests {
            if let Some(request) = self.requests.get_mut(id) {
                request.has_read_since_submit = true;
            }
        }
    }

    pub(super) fn handle_write_accepted(
        &mut self,
        segment: SegmentId,
        revision: Revision,
        now: Instant,
    ) {
        let interval = self.settings.commit_interval;
        let Some(state) = self.segments.get_mut(&segment) else {
            return;
        };
        if let SegmentCall::Writing(write) = std::mem::take(&mut state.call) {
            state.cached = Some(CachedSegment { body: write.body, revision });
            state.not_before = Some(now + interval);
        }
    }

    /// Drops the cached body after a conflict or a lost reply, so that the segment is read again.
    pub(super) fn invalidate_cached(&mut self, segment: SegmentId) {
        if let Some(state) = self.segments.get_mut(&segment) {
            state.call = SegmentCall::Idle;
            state.cached = None;
        }
    }

    /// Delays the segment's next call, which bounds how often a write in doubt is checked and
    /// sent again.
    pub(super) fn delay_next_call(&mut self, segment: SegmentId, now: Instant) {
        let interval = self.settings.commit_interval;
        if let Some(state) = self.segments.get_mut(&segment) {
            state.not_before = Some(now + interval);
        }
    }

    /// Handles a write that had no effect: claims that only this write carried are not in doubt.
    pub(super) fn handle_write_refused(&mut self, segment: SegmentId) {
        let Some(state) = self.segments.get_mut(&segment) else {
            return;
        };
        if let SegmentCall::Writing(write) = std::mem::take(&mut state.call) {
            for id in write.newly_in_doubt {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.in_doubt_base = None;
                }
            }
        }
    }

    /// Handles a failed read or a refused write.
    ///
    /// Attempts whose claim was certainly not written are refused; the others are retried after
    /// the backoff.
    pub(super) fn handle_call_failed(
        &mut self,
        segment: SegmentId,
        now: Instant,
        actions: &mut Vec<LedgerAction>,
    ) {
        let backoff = self.settings.backoff;
        let Some(state) = self.segments.get_mut(&segment) else {
            return;
        };
        state.call = SegmentCall::Idle;
        state.is_unreachable = true;
        state.not_before = Some(now + backoff);
        let ids: Vec<LedgerRequestId> = state.requests.iter().copied().collect();
        for id in ids {
            let is_unwritten = self.requests.get(&id).is_some_and(|request| {
                request.phase == RequestPhase::Claiming && request.in_doubt_base.is_none()
            });
            if is_unwritten {
                self.refuse(id, LedgerCause::PlatformUnreachable, actions);
            }
        }
        if let Some(state) = self.segments.get_mut(&segment) {
            state.cached = None;
        }
    }
}
