//! What the engine learns from the end of a platform call.

use std::time::Instant;

use crate::Revision;

use super::action::LedgerAction;
use super::cause::LedgerCause;
use super::engine::LedgerEngine;
use super::engine::SegmentCall;
use super::engine::SegmentView;
use super::key::SegmentId;
use super::request::LedgerRequestId;
use super::request::RequestPhase;
use super::segment::LedgerSegment;

/// Ends of platform calls.
impl LedgerEngine {
    pub(super) fn take_read(
        &mut self,
        segment: SegmentId,
        body: LedgerSegment,
        revision: Revision,
    ) {
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        work.call = SegmentCall::Idle;
        work.is_unreachable = false;
        work.view = Some(SegmentView { body, revision });
        for id in &work.requests {
            if let Some(request) = self.requests.get_mut(id) {
                request.is_fresh = true;
            }
        }
    }

    pub(super) fn take_accepted(&mut self, segment: SegmentId, revision: Revision, now: Instant) {
        let interval = self.settings.commit_interval;
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        if let SegmentCall::Writing(write) = std::mem::take(&mut work.call) {
            work.view = Some(SegmentView { body: write.body, revision });
            work.not_before = Some(now + interval);
        }
    }

    /// A conflict or a lost reply: only a read tells what is there.
    pub(super) fn forget_view(&mut self, segment: SegmentId) {
        if let Some(work) = self.segments.get_mut(&segment) {
            work.call = SegmentCall::Idle;
            work.view = None;
        }
    }

    /// Bounds how often an uncertain write is looked into and sent again.
    pub(super) fn pause(&mut self, segment: SegmentId, now: Instant) {
        let interval = self.settings.commit_interval;
        if let Some(work) = self.segments.get_mut(&segment) {
            work.not_before = Some(now + interval);
        }
    }

    /// The write had no effect, so the claims that only it carried are not exposed.
    pub(super) fn take_refused(&mut self, segment: SegmentId) {
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        if let SegmentCall::Writing(write) = std::mem::take(&mut work.call) {
            for id in write.exposed {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.exposed = None;
                }
            }
        }
    }

    /// The platform can't be reached: refuses what certainly wrote nothing, tries the rest later.
    pub(super) fn fail_call(
        &mut self,
        segment: SegmentId,
        now: Instant,
        actions: &mut Vec<LedgerAction>,
    ) {
        let backoff = self.settings.backoff;
        let Some(work) = self.segments.get_mut(&segment) else {
            return;
        };
        work.call = SegmentCall::Idle;
        work.is_unreachable = true;
        work.not_before = Some(now + backoff);
        let ids: Vec<LedgerRequestId> = work.requests.iter().copied().collect();
        for id in ids {
            let is_unwritten = self.requests.get(&id).is_some_and(|request| {
                request.phase == RequestPhase::Claiming && request.exposed.is_none()
            });
            if is_unwritten {
                self.refuse(id, LedgerCause::PlatformUnreachable, actions);
            }
        }
        if let Some(work) = self.segments.get_mut(&segment) {
            work.view = None;
        }
    }
}
