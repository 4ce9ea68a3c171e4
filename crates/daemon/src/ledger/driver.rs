//! Carries out the engine's actions.

use std::rc::Rc;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::LedgerAction;
use oleanderwind_policy::LedgerEngine;
use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerRequest;
use oleanderwind_policy::LedgerRequestId;
use oleanderwind_policy::RequestOutcome;

use crate::ledger::LedgerReply;
use crate::ledger::LedgerService;
use crate::ledger::dispatch::dispatch;
use crate::ledger::segment::create_segment;
use crate::ledger::segment::read_segment;
use crate::ledger::segment::update_segment;

/// Wakes the engine whenever it is due.
pub(crate) async fn run_timers(ledger: Rc<LedgerService>) {
    loop {
        let next = ledger.engine.borrow().next_wake();
        match next {
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => ledger.wake(),
                    () = ledger.timer_changes.notified() => {}
                }
            }
            None => ledger.timer_changes.notified().await,
        }
    }
}

impl LedgerService {
    /// Submits a try to the engine.
    pub(crate) fn submit(self: &Rc<Self>, request: LedgerRequest) {
        self.drive(|engine, now, wall, actions| engine.submit(request, now, wall, actions));
    }

    /// Feeds the engine the end of an action.
    pub(crate) fn handle(self: &Rc<Self>, event: LedgerEvent) {
        self.drive(|engine, now, wall, actions| engine.handle(event, now, wall, actions));
    }

    fn wake(self: &Rc<Self>) {
        self.drive(LedgerEngine::wake);
    }

    /// Makes one call to the engine and carries out what it wants done.
    fn drive(
        self: &Rc<Self>,
        call: impl FnOnce(&mut LedgerEngine, Instant, SystemTime, &mut Vec<LedgerAction>),
    ) {
        let mut actions = Vec::new();
        call(&mut self.engine.borrow_mut(), Instant::now(), SystemTime::now(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.timer_changes.notify_one();
    }

    fn carry_out(self: &Rc<Self>, action: LedgerAction) {
        match action {
            LedgerAction::ReadSegment { segment } => {
                actix_rt::spawn(read_segment(self.clone(), segment));
            }
            LedgerAction::CreateSegment { segment, body } => {
                actix_rt::spawn(create_segment(self.clone(), segment, body));
            }
            LedgerAction::UpdateSegment { segment, body, expected } => {
                actix_rt::spawn(update_segment(self.clone(), segment, body, expected));
            }
            LedgerAction::Dispatch { request, provider_hash, deadline, wall_deadline } => {
                let Some(call) = self.start_dispatch(request) else {
                    return;
                };
                let dispatch =
                    dispatch(self.clone(), request, call, provider_hash, deadline, wall_deadline);
                actix_rt::spawn(dispatch);
            }
            LedgerAction::Answer { request, outcome, ran, cause, result, retry_after } => {
                let is_dispatched = false;
                let reply = LedgerReply { outcome, ran, cause, result, retry_after, is_dispatched };
                self.answer(request, reply);
            }
        }
    }

    fn answer(&self, request: LedgerRequestId, mut reply: LedgerReply) {
        let Some(driven) = self.tries.borrow_mut().remove(&request) else { return };
        reply.is_dispatched = driven.is_dispatched;
        self.instruments.record_answer(reply.outcome, reply.cause);
        let call = &driven.call;
        let key = call.key.text();
        let cause = reply.cause.as_str();
        if reply.outcome == RequestOutcome::Unknown {
            log::info!(
                "key {key} of {} attempt {} is unknown: {cause}",
                call.customer,
                call.attempt
            );
        }
        log::debug!(
            "key {key} of {} attempt {}: {:?} ran {:?} as {cause} after {} us",
            call.customer,
            call.attempt,
            reply.outcome,
            reply.ran,
            call.arrived.elapsed().as_micros()
        );
        // A receiver that is gone is a caller that went away.
        let _ = driven.reply.send(reply);
    }
}
