//! Backing off from failing targets.

use std::time::Duration;
use std::time::Instant;

/// Unanswered calls in a row that make a target failing.
const FAILING_AFTER: u32 = 3;
/// Time to the first probe of a failing target.
const FIRST_PROBE: Duration = Duration::from_millis(100);
/// Longest time between two probes.
const LONGEST_PROBE: Duration = Duration::from_secs(5);

/// Failures in a row of one target, and when it may be probed.
#[derive(Debug, Default)]
pub(crate) struct FailureBackoff {
    failures: u32,
    probe_at: Option<Instant>,
}

impl FailureBackoff {
    /// Takes in an answer or a refusal: the target lives.
    pub(crate) fn note_alive(&mut self) {
        *self = FailureBackoff::default();
    }

    /// Takes in a call that came to nothing.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.is_failing() {
            self.probe_at = Some(now + self.pause());
        }
    }

    /// Takes in a call whose connection broke or could not be made: the target is failing at once.
    pub(crate) fn note_broken(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILING_AFTER - 1);
        self.record_failure(now);
    }

    /// Whether other replicas go first.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures >= FAILING_AFTER
    }

    /// Whether one call should find out if the target is back.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.is_failing() && self.probe_at.is_some_and(|at| at <= now)
    }

    /// Notes that a probe goes out; the next waits its turn.
    pub(crate) fn start_probe(&mut self, now: Instant) {
        self.probe_at = Some(now + self.pause());
    }

    fn pause(&self) -> Duration {
        let doublings = (self.failures.saturating_sub(FAILING_AFTER)).min(10);
        (FIRST_PROBE * (1 << doublings)).min(LONGEST_PROBE)
    }
}
