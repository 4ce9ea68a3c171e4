//! Exponential backoff of failing targets.

use std::time::Duration;
use std::time::Instant;

/// Consecutive unanswered calls after which a target counts as failing.
const FAILURE_THRESHOLD: u32 = 3;
/// Delay before the first probe of a failing target.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Upper bound on the delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Consecutive failures of one target and the time of its next probe.
#[derive(Debug, Default)]
pub(crate) struct FailureBackoff {
    consecutive_failures: u32,
    next_probe_at: Option<Instant>,
}

impl FailureBackoff {
    /// Records an answer or a refusal and resets the backoff: the target responds.
    pub(crate) fn record_response(&mut self) {
        *self = FailureBackoff::default();
    }

    /// Records a call that got no response.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.is_failing() {
            self.next_probe_at = Some(now + self.probe_delay());
        }
    }

    /// Records a call whose connection broke or could not be established.
    ///
    /// The target counts as failing at once.
    pub(crate) fn record_connection_failure(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURE_THRESHOLD - 1);
        self.record_failure(now);
    }

    /// Returns whether other replicas are preferred to this target.
    pub(crate) fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }

    /// Returns whether one call should be sent to check whether the target has recovered.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.is_failing() && self.next_probe_at.is_some_and(|at| at <= now)
    }

    /// Records that a probe is sent and schedules the next one.
    pub(crate) fn start_probe(&mut self, now: Instant) {
        self.next_probe_at = Some(now + self.probe_delay());
    }

    fn probe_delay(&self) -> Duration {
        let doublings = (self.consecutive_failures.saturating_sub(FAILURE_THRESHOLD)).min(10);
        (INITIAL_PROBE_DELAY * (1 << doublings)).min(MAX_PROBE_DELAY)
    }
}
