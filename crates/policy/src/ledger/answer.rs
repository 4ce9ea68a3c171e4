//! Answers to callers, and refusals.

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

/// Content of the answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LedgerAnswer {
    outcome: RequestOutcome,
    ran: RunState,
    cause: LedgerCause,
    result: Option<String>,
}

impl LedgerAnswer {
    pub(super) fn ran(cause: LedgerCause, result: Option<String>) -> LedgerAnswer {
        LedgerAnswer { outcome: RequestOutcome::Answered, ran: RunState::Yes, cause, result }
    }

    pub(super) fn not_run(cause: LedgerCause) -> LedgerAnswer {
        LedgerAnswer { outcome: RequestOutcome::NotRun, ran: RunState::No, cause, result: None }
    }

    pub(super) fn unknown(cause: LedgerCause) -> LedgerAnswer {
        let outcome = RequestOutcome::Unknown;
        LedgerAnswer { outcome, ran: RunState::Unknown, cause, result: None }
    }
}

impl LedgerEngine {
    /// Refuses a key that is past the window or too far in the future; returns whether it did.
    pub(super) fn refuse_by_age(
        &mut self,
        id: LedgerRequestId,
        wall: SystemTime,
        actions: &mut Vec<LedgerAction>,
    ) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return false;
        };
        let issued_ms = pending.request.key.issued_ms();
        if issued_ms.saturating_add(millis(self.settings.window)) < wall_ms(wall) {
            let answer = LedgerAnswer::unknown(LedgerCause::KeyExpired);
            self.push_answer(id, answer, None, actions);
            self.remove(id);
            return true;
        }
        if issued_ms > wall_ms(wall).saturating_add(millis(self.settings.clock_skew)) {
            self.refuse(id, LedgerCause::KeyInFuture, actions);
            return true;
        }
        false
    }

    /// Refuses and removes an attempt that wrote nothing.
    ///
    /// The answer is `not run` if every earlier attempt is known to be closed, else `unknown`.
    pub(super) fn refuse(
        &mut self,
        id: LedgerRequestId,
        cause: LedgerCause,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let cached =
            self.segments.get(&pending.segment).and_then(|segment| segment.cached.as_ref());
        let closed = match cached.and_then(|cached| cached.body.state(&pending.entry_name)) {
            Some(EntryState::NotRun(closed)) => *closed,
            Some(EntryState::Claimed(_) | EntryState::Done { .. }) | None => 0,
        };
        let is_certain = pending.request.attempt > 0 && pending.request.attempt - 1 <= closed;
        let answer = match is_certain {
            true => LedgerAnswer::not_run(cause),
            false => LedgerAnswer::unknown(cause),
        };
        self.answer(id, answer, actions);
        self.remove(id);
    }

    /// Answers an attempt, with a retry hint unless the request ran.
    pub(super) fn answer(
        &mut self,
        id: LedgerRequestId,
        answer: LedgerAnswer,
        actions: &mut Vec<LedgerAction>,
    ) {
        let retry_after = (answer.ran != RunState::Yes).then_some(self.settings.retry_after);
        self.push_answer(id, answer, retry_after, actions);
    }

    /// Emits the answer, unless the attempt was answered before.
    fn push_answer(
        &mut self,
        id: LedgerRequestId,
        answer: LedgerAnswer,
        retry_after: Option<Duration>,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if pending.is_answered {
            return;
        }
        pending.is_answered = true;
        self.deadlines.remove(&pending.request);
        actions.push(LedgerAction::Answer {
            request: id,
            outcome: answer.outcome,
            ran: answer.ran,
            cause: answer.cause,
            result: answer.result,
            retry_after,
        });
    }

    pub(super) fn remove(&mut self, id: LedgerRequestId) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&pending.request);
        if let Some(segment) = self.segments.get_mut(&pending.segment) {
            segment.requests.remove(&id);
        }
    }
}
