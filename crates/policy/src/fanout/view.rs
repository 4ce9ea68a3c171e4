//! State of targets and budgets as shown to operators.

use std::time::Duration;
use std::time::Instant;

use crate::FanoutEngine;
use crate::RequestRate;
use crate::ServiceId;
use crate::TargetId;

/// State of one target as this VM sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetView {
    /// Calls in flight to the target.
    pub open: u32,
    /// Most calls that may be in flight to the target.
    pub window: u32,
    /// Whether the target's recent calls failed, so that other replicas are preferred.
    pub is_failing: bool,
    /// Whether the target announced in a reply that it leaves.
    pub is_leaving: bool,
    /// Whether the target's failure domain is evacuated, so that it gets no new calls.
    pub is_evacuated: bool,
    /// Rest of the pause that the target asked for.
    pub paused_for: Duration,
    /// Rate limit that the target named.
    pub limit: Option<RequestRate>,
    /// Permits of this VM for calls to a target with a rate limit.
    pub permits: usize,
}

impl FanoutEngine {
    /// Returns the state of a target. An unknown target has no calls in flight and a window of 0.
    pub fn target_view(&self, target: &TargetId, now: Instant) -> TargetView {
        let Some(index) = self.targets.index_of(target) else { return TargetView::default() };
        let state = self.targets.state(index);
        let limit = state.limit(now);
        TargetView {
            limit: limit.map(|(rate, _)| rate),
            permits: limit.map_or(0, |(_, permits)| permits),
            open: state.window.open(),
            window: state.window.limit(),
            is_failing: state.backoff.is_failing(),
            is_leaving: state.is_leaving(),
            is_evacuated: state.is_evacuated(),
            paused_for: state
                .paused_until(now)
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
        }
    }

    /// Returns how many extra calls the service's budget would pay for now.
    pub fn extra_calls_left(&mut self, service: &ServiceId, now: Instant) -> u64 {
        let index = self.budgets.service_budget(service, now);
        self.budgets.budget_mut(index, now).calls_left()
    }
}
