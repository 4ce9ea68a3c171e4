//! What operators see of the targets.

use crate::FanoutEngine;
use crate::ServiceId;
use crate::TargetId;

/// How the VM stands to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetView {
    /// Calls open to it.
    pub open: u32,
    /// Calls that may be open to it.
    pub window: u32,
    /// Whether its last calls failed, so that others go first.
    pub is_failing: bool,
}

impl FanoutEngine {
    /// How the VM stands to a target; nothing is open to an unknown one.
    pub fn target_view(&self, target: &TargetId) -> TargetView {
        let Some(index) = self.targets.find(target) else { return TargetView::default() };
        let state = self.targets.state(index);
        TargetView {
            open: state.window.open(),
            window: state.window.limit(),
            is_failing: state.backoff.is_failing(),
        }
    }

    /// Extra calls that a service's budget has left.
    pub fn extra_calls_left(&mut self, service: &ServiceId) -> u64 {
        let index = self.budgets.of_service(service);
        self.budgets.budget_mut(index).calls_left()
    }
}
