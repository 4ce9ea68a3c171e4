//! Adaptive limit on the open calls to one target.

use std::time::Duration;
use std::time::Instant;

use crate::LoadReport;

/// Factor applied to the window after a shed or failed call.
const SHED_SHRINK_FACTOR: f64 = 0.5;
/// Factor applied to the window after a sign of overload on an answered call.
const OVERLOAD_SHRINK_FACTOR: f64 = 0.85;
/// Minimum time between two reductions of a window.
const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of calls that may be open to a target, and number that are open.
///
/// The window grows by one call per window of successful answers, and shrinks on shed calls,
/// failures, reported load and latency. Reported load and latency alone never shrink it below the
/// target's slots, so that a misleading report can't take a set of replicas out of use. The
/// connection budget always bounds it.
#[derive(Debug)]
pub(crate) struct ConcurrencyWindow {
    size: f64,
    open: u32,
    slots: u32,
    connection_budget: Option<u32>,
    connection_limit: u32,
    shrunk_at: Option<Instant>,
}

impl ConcurrencyWindow {
    /// Returns a window as large as the target's slots.
    pub(crate) fn new(slots: u32, connection_limit: u32) -> ConcurrencyWindow {
        let slots = slots.max(1);
        ConcurrencyWindow {
            size: f64::from(slots),
            open: 0,
            slots,
            connection_budget: None,
            connection_limit,
            shrunk_at: None,
        }
    }

    /// Resets the window to the target's slots.
    pub(crate) fn reset_size(&mut self, slots: u32) {
        self.size = f64::from(slots.max(1));
    }

    /// Sets the slots and the connection limit that the platform lists; keeps the window size.
    pub(crate) fn set_limits(&mut self, slots: u32, connection_limit: u32) {
        self.slots = slots.max(1);
        self.connection_limit = connection_limit;
    }

    /// Sets the number of connections that the VM may hold to the target.
    pub(crate) fn set_connection_budget(&mut self, connections: u32) {
        self.connection_budget = Some(connections);
    }

    /// Returns the maximum number of open calls.
    pub(crate) fn limit(&self) -> u32 {
        (self.size as u32).max(1).min(self.max_size())
    }

    /// Returns the number of open calls.
    pub(crate) fn open(&self) -> u32 {
        self.open
    }

    /// Returns the number of calls that the target runs concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns whether one more call may be opened.
    pub(crate) fn has_capacity(&self) -> bool {
        self.open < self.limit()
    }

    /// Returns whether the connection budget allows any call.
    pub(crate) fn has_connections(&self) -> bool {
        self.max_size() > 0
    }

    /// Counts a call as opened.
    pub(crate) fn acquire(&mut self) {
        self.open += 1;
    }

    /// Counts a call as closed.
    pub(crate) fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records the load reported in an answer; must precede the closing of its call.
    pub(crate) fn record_answer(&mut self, load: LoadReport, is_slow: bool, now: Instant) {
        let is_overloaded = load.queued > load.slots.max(self.slots);
        if is_overloaded || is_slow {
            let floor = f64::from(self.slots).min(self.size);
            self.shrink(OVERLOAD_SHRINK_FACTOR, floor, now);
        } else if self.open >= self.limit() {
            self.size = (self.size + 1.0 / self.size).min(f64::from(self.max_size().max(1)));
        }
    }

    /// Records a shed or failed call.
    pub(crate) fn record_shed_or_failure(&mut self, now: Instant) {
        self.shrink(SHED_SHRINK_FACTOR, 1.0, now);
    }

    fn shrink(&mut self, factor: f64, floor: f64, now: Instant) {
        if self.shrunk_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_SHRINK_INTERVAL)
        {
            return;
        }
        self.shrunk_at = Some(now);
        self.size = (self.size * factor).max(floor);
    }

    fn max_size(&self) -> u32 {
        self.connection_budget.unwrap_or(self.connection_limit)
    }
}
