//! Answers to callers, and refusals that are certain.

use std::time::Duration;
use std::time::SystemTime;

use crate::RequestOutcome;
use crate::RunState;

use super::action::LedgerAction;
use super::cause::LedgerCause;
use super::engine::LedgerEngine;
use super::key::millis;
use super::key::wall_ms;
use super::request::LedgerRequestId;
use super::segment::EntryState;

/// What is certain about a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LedgerVerdict {
    outcome: RequestOutcome,
    ran: RunState,
    cause: LedgerCause,
    result: Option<String>,
}

impl LedgerVerdict {
    pub(super) fn ran(cause: LedgerCause, result: Option<String>) -> LedgerVerdict {
        LedgerVerdict { outcome: RequestOutcome::Answered, ran: RunState::Yes, cause, result }
    }

    pub(super) fn not_run(cause: LedgerCause) -> LedgerVerdict {
        LedgerVerdict { outcome: RequestOutcome::NotRun, ran: RunState::No, cause, result: None }
    }

    pub(super) fn unknown(cause: LedgerCause) -> LedgerVerdict {
        let outcome = RequestOutcome::Unknown;
        LedgerVerdict { outcome, ran: RunState::Unknown, cause, result: None }
    }
}

impl LedgerEngine {
    /// Refuses a key that is too old or from too far in the future.
    pub(super) fn refuse_by_age(
        &mut self,
        id: LedgerRequestId,
        wall: SystemTime,
        actions: &mut Vec<LedgerAction>,
    ) -> bool {
        let Some(work) = self.requests.get(&id) else {
            return false;
        };
        let issued_ms = work.request.key.issued_ms();
        if issued_ms.saturating_add(millis(self.settings.window)) < wall_ms(wall) {
            let verdict = LedgerVerdict::unknown(LedgerCause::KeyExpired);
            self.reply(id, verdict, None, actions);
            self.remove(id);
            return true;
        }
        if issued_ms > wall_ms(wall).saturating_add(millis(self.settings.clock_skew)) {
            self.refuse(id, LedgerCause::KeyInFuture, actions);
            return true;
        }
        false
    }

    /// Drops a try that wrote nothing: `not run` if every earlier try is known dead.
    pub(super) fn refuse(
        &mut self,
        id: LedgerRequestId,
        cause: LedgerCause,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(work) = self.requests.get(&id) else {
            return;
        };
        let view = self.segments.get(&work.segment).and_then(|segment| segment.view.as_ref());
        let dead = match view.and_then(|view| view.body.state(&work.entry_name)) {
            Some(EntryState::NotRun(dead)) => *dead,
            Some(EntryState::Claimed(_) | EntryState::Done { .. }) | None => 0,
        };
        let is_certain = work.request.attempt > 0 && work.request.attempt - 1 <= dead;
        let verdict = match is_certain {
            true => LedgerVerdict::not_run(cause),
            false => LedgerVerdict::unknown(cause),
        };
        self.answer(id, verdict, actions);
        self.remove(id);
    }

    pub(super) fn answer(
        &mut self,
        id: LedgerRequestId,
        verdict: LedgerVerdict,
        actions: &mut Vec<LedgerAction>,
    ) {
        let retry_after = (verdict.ran != RunState::Yes).then_some(self.settings.retry_after);
        self.reply(id, verdict, retry_after, actions);
    }

    fn reply(
        &mut self,
        id: LedgerRequestId,
        verdict: LedgerVerdict,
        retry_after: Option<Duration>,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(work) = self.requests.get_mut(&id) else {
            return;
        };
        if work.is_answered {
            return;
        }
        work.is_answered = true;
        self.deadlines.remove(&work.request);
        actions.push(LedgerAction::Answer {
            request: id,
            outcome: verdict.outcome,
            ran: verdict.ran,
            cause: verdict.cause,
            result: verdict.result,
            retry_after,
        });
    }

    pub(super) fn remove(&mut self, id: LedgerRequestId) {
        let Some(work) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&work.request);
        if let Some(segment) = self.segments.get_mut(&work.segment) {
            segment.requests.remove(&id);
        }
    }
}
