//! Targets for requests that may not be repeated.

use std::time::Duration;
use std::time::Instant;

use crate::FanoutEngine;
use crate::LoadReport;
use crate::ProviderId;
use crate::RefusalCause;
use crate::ServiceId;
use crate::TargetId;
use crate::routing::TargetChoice;

/// What became of a request that may not be repeated, as seen by the VM that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorOutcome {
    /// The target answered.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// The target's load.
        load: LoadReport,
        /// Whether the target says it is leaving.
        draining: bool,
    },
    /// The target refused the request and ran nothing.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// The target's load.
        load: LoadReport,
        /// Whether the target says it is leaving.
        draining: bool,
    },
    /// No answer came.
    Failed,
    /// Nothing was sent.
    NotSent,
}

impl FanoutEngine {
    /// Chooses a target of a service and takes room for one call there.
    ///
    /// The call is neither hedged nor retried by the engine. Give the room back with
    /// [`release_executor`](FanoutEngine::release_executor), exactly once.
    pub fn pick_executor(
        &mut self,
        service: &ServiceId,
        provider: &ProviderId,
        now: Instant,
    ) -> Option<TargetId> {
        self.latest = Some(now);
        let candidates = self.targets.of_service(service, provider);
        let candidates = candidates.iter().copied();
        let routing = self.settings.routing;
        match routing.choose(&mut self.targets, candidates, &mut self.generator, now) {
            TargetChoice::Target(index) => {
                let state = self.targets.state_mut(index);
                state.window.acquire();
                state.picks += 1;
                Some(state.target.clone())
            }
            TargetChoice::NoRoom | TargetChoice::NoTarget => None,
        }
    }

    /// Gives back the room that [`pick_executor`](FanoutEngine::pick_executor) took.
    pub fn release_executor(&mut self, target: &TargetId, outcome: ExecutorOutcome, now: Instant) {
        self.latest = Some(now);
        let Some(index) = self.targets.find(target) else { return };
        let state = self.targets.state_mut(index);
        match outcome {
            ExecutorOutcome::Answered { latency, load, draining } => {
                state.note_answer(latency, load, now);
                state.drain_if(draining);
            }
            ExecutorOutcome::Refused { cause, load, draining } => {
                state.note_refusal(cause, load, now);
                state.drain_if(draining || cause == RefusalCause::Draining);
            }
            ExecutorOutcome::Failed => state.note_failure(now),
            ExecutorOutcome::NotSent => {}
        }
        state.window.release();
        self.serve_later(index);
    }
}
