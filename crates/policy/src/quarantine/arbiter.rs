//! Permission of trials by one VM for the whole fleet.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ServiceId;
use crate::TargetId;
use crate::VmId;
use crate::WorkFingerprint;
use crate::subset::rank_by_weight;

/// Time after a trial ended a target in which work that has done so gets no further one, so that the service keeps
/// most of its targets. Targets are back after some seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time in which it becomes clear whether a target whose connection was closed under a trial has ended.
const CLEARING_TIME: Duration = Duration::from_secs(1);
/// Maximum number of trials at once; further ones wait.
const MAX_TRIALS: usize = 256;

/// An arbiter's decision on a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// The trial may begin.
    Granted,
    /// Another trial of the work, or on the target, is under way.
    Wait,
    /// It is too early: the service has to recover from the last target that a trial ended, or it is not clear
    /// yet whether the last trial of the work ended one.
    Postponed,
    /// The work needs no trial: it is clear, or it is blocked.
    Unneeded,
}

/// Trials that one VM has permitted.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialArbiter {
    trials: HashMap<WorkFingerprint, RunningTrial>,
    /// When a trial ended a target of each service last.
    recovering_since: HashMap<ServiceId, Instant>,
}

#[derive(Clone, Debug)]
struct RunningTrial {
    target: TargetId,
    until: Instant,
    /// Whether the trial is over, and it is not clear yet whether it ended its target.
    is_unclear: bool,
}

impl TrialArbiter {
    /// Permits a trial of `work` on `target`, unless one of either is under way. It counts as under way for
    /// `hold` if its end is not reported.
    pub(super) fn begin(
        &mut self,
        work: WorkFingerprint,
        target: &TargetId,
        hold: Duration,
        now: Instant,
    ) -> TrialDecision {
        self.trials.retain(|_, trial| now < trial.until);
        if self.trials.get(&work).is_some_and(|trial| trial.is_unclear) {
            return TrialDecision::Postponed;
        }
        let is_busy = self.trials.contains_key(&work)
            || self.trials.values().any(|trial| trial.target == *target);
        if is_busy || self.trials.len() >= MAX_TRIALS {
            return TrialDecision::Wait;
        }
        let trial = RunningTrial { target: target.clone(), until: now + hold, is_unclear: false };
        self.trials.insert(work, trial);
        TrialDecision::Granted
    }

    /// Records that a trial ended a target of the service.
    pub(super) fn record_target_end(&mut self, service: &ServiceId, now: Instant) {
        self.recovering_since.retain(|_, since| now < *since + RECOVERY_TIME);
        self.recovering_since.insert(service.clone(), now);
    }

    /// Returns whether a trial ended a target of the service so recently that it may not be back.
    pub(super) fn is_recovering(&self, service: &ServiceId, now: Instant) -> bool {
        self.recovering_since.get(service).is_some_and(|since| now < *since + RECOVERY_TIME)
    }

    /// Records that the trial of `work` on `target` is over.
    pub(super) fn end(
        &mut self,
        work: &WorkFingerprint,
        target: &TargetId,
        is_unclear: bool,
        now: Instant,
    ) {
        let Some(trial) = self.trials.get_mut(work).filter(|trial| trial.target == *target) else {
            return;
        };
        match is_unclear {
            true => {
                trial.is_unclear = true;
                trial.until = now + CLEARING_TIME;
            }
            false => drop(self.trials.remove(work)),
        }
    }
}

/// Returns the VMs that may permit trials of a service's work, in the order in which they are asked.
///
/// Only the first one is asked as long as it can be reached. VMs with the same view of the fleet ask the same one.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::trial_arbiters;
///
/// let vms = ["vm-1".into(), "vm-2".into(), "vm-3".into()];
/// let arbiters = trial_arbiters("searches", &vms);
/// assert_eq!(arbiters.len(), 3);
/// assert_eq!(trial_arbiters("searches", &vms[..2]), {
///     let mut fewer = arbiters.clone();
///     fewer.retain(|vm| **vm != *"vm-3");
///     fewer
/// });
/// ```
pub fn trial_arbiters(service: &str, vms: &[VmId]) -> Vec<VmId> {
    rank_by_weight(&["trials", service], vms)
}
