//! Performs the engine's actions.

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
    /// Submits an attempt to the engine.
    pub(crate) fn submit(self: &Rc<Self>, request: LedgerRequest) {
        self.drive(|engine, now, wall, actions| engine.submit(request, now, wall, actions));
    }

    /// Reports the completion of an action to the engine.
    pub(crate) fn handle(self: &Rc<Self>, event: LedgerEvent) {
        self.drive(|engine, now, wall, actions| engine.handle(event, now, wall, actions));
    }

    fn wake(self: &Rc<Self>) {
        self.drive(LedgerEngine::wake);
    }

    /// Calls the engine and performs the actions that it returns.
    fn drive(
        self: &Rc<Self>,
        call: impl FnOnce(&mut LedgerEngine, Instant, SystemTime, &mut Vec<LedgerAction>),
    ) {
        let mut actions = Vec::new();
        call(&mut self.engine.borrow_mut(), Instant::now(), SystemTime::now(), &mut actions);
        for action in actions {
            self.perform(action);
        }
        self.timer_changes.notify_one();
    }

    fn perform(self: &Rc<Self>, action: LedgerAction) {
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
        let Some(pending_call) = self.pending.borrow_mut().remove(&request) else { return };
        reply.is_dispatched = pending_call.is_dispatched;
        self.instruments.record_answer(reply.outcome, reply.cause);
        let call = &pending_call.call;
        let key = call.key.text();
        let cause = reply.cause.as_str();
        if reply.outcome == RequestOutcome::Unknown {
            log::info!(
                "outcome of key {key} of customer {}, attempt {}, is unknown: {cause}",
                call.customer,
                call.attempt
            );
        }
        log::debug!(
            "answered key {key} of customer {}, attempt {}: outcome {:?}, ran {:?}, cause {cause}, \
             after {} us",
            call.customer,
            call.attempt,
            reply.outcome,
            reply.ran,
            call.arrived.elapsed().as_micros()
        );
        // Sending fails if the caller has disconnected.
        let _ = pending_call.reply.send(reply);
    }
}
