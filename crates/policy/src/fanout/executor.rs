//! Selection of targets for requests that must not be sent twice.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::FanoutEngine;
use crate::LoadReport;
use crate::ProviderId;
use crate::RefusalCause;
use crate::ServiceId;
use crate::TargetId;
use crate::routing::TargetChoice;

/// Outcome of a request that must not be sent twice, as seen by the VM that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorOutcome {
    /// The target answered.
    Answered {
        /// Time from sending the request to its answer.
        latency: Duration,
        /// Load that the target reported with the answer.
        load: LoadReport,
        /// Whether the target reported that it is draining.
        draining: bool,
    },
    /// The target refused the request and ran nothing.
    Refused {
        /// Reason that the target gave.
        cause: RefusalCause,
        /// Load that the target reported with the refusal.
        load: LoadReport,
        /// Whether the target reported that it is draining.
        draining: bool,
    },
    /// No answer arrived.
    Failed,
    /// Nothing was sent.
    NotSent,
}

impl FanoutEngine {
    /// Chooses a target of a service and reserves a slot for one call there.
    ///
    /// The engine neither hedges nor retries the call. The caller must release the slot exactly
    /// once, with [`release_executor`](FanoutEngine::release_executor). Returns `None` if no target
    /// is usable and has room.
    pub fn pick_executor(
        &mut self,
        service: &ServiceId,
        provider: &ProviderId,
        now: Instant,
    ) -> Option<TargetId> {
        self.current_time = Some(now);
        let candidates = self.targets.service_targets(service, provider);
        let candidates = candidates.iter().copied();
        let routing = self.settings.routing;
        match routing.choose(&mut self.targets, candidates, false, &mut self.rng, now) {
            TargetChoice::Target(index) => {
                let state = self.targets.state_mut(index);
                state.window.acquire();
                state.selections += 1;
                Some(state.target.clone())
            }
            TargetChoice::NoCapacity | TargetChoice::NoTarget => None,
        }
    }

    /// Returns whether a call in a reserved slot may leave now: its target's failure domain is not evacuated. Takes a permit,
    /// if the target has a rate limit.
    pub fn permit_executor(&mut self, target: &TargetId, now: Instant, wall: SystemTime) -> bool {
        self.current_time = Some(now);
        let Some(index) = self.targets.index_of(target) else { return false };
        let state = self.targets.state_mut(index);
        !state.is_evacuated() && state.take_valid_permit(now, wall)
    }

    /// Releases the slot that [`pick_executor`](FanoutEngine::pick_executor) reserved and records
    /// the outcome.
    pub fn release_executor(&mut self, target: &TargetId, outcome: ExecutorOutcome, now: Instant) {
        self.current_time = Some(now);
        let Some(index) = self.targets.index_of(target) else { return };
        let state = self.targets.state_mut(index);
        match outcome {
            ExecutorOutcome::Answered { latency, load, draining } => {
                state.record_answer(latency, load, now);
                state.mark_draining_if(draining);
            }
            ExecutorOutcome::Refused { cause, load, draining } => {
                state.record_refusal(cause, load, now);
                state.mark_draining_if(draining || cause == RefusalCause::Draining);
            }
            ExecutorOutcome::Failed => state.record_failure(now),
            ExecutorOutcome::NotSent => {}
        }
        state.window.release();
        self.schedule_queue_service(index);
    }
}
