//! The window of open calls of one target.

use std::time::Duration;
use std::time::Instant;

use crate::LoadReport;

/// Factor of the window after a shed or failed call.
const SHED_FACTOR: f64 = 0.5;
/// Factor of the window after a sign of load that the target did not act on.
const LOADED_FACTOR: f64 = 0.85;
/// Shortest time between two cuts of a window.
const CUT_PERIOD: Duration = Duration::from_millis(20);

/// How many calls may be open to a target, and how many are.
///
/// Grows by one call for each window of good answers, shrinks on sheds, failures, reported load
/// and latency. Reported load and latency alone never cut it below the target's slots, so a
/// misleading report can't empty a set of replicas. The connection budget caps it always.
#[derive(Debug)]
pub(crate) struct ConcurrencyWindow {
    size: f64,
    open: u32,
    slots: u32,
    budget: Option<u32>,
    connection_limit: u32,
    cut_at: Option<Instant>,
}

impl ConcurrencyWindow {
    /// A window as wide as the target's slots.
    pub(crate) fn new(slots: u32, connection_limit: u32) -> ConcurrencyWindow {
        let slots = slots.max(1);
        ConcurrencyWindow {
            size: f64::from(slots),
            open: 0,
            slots,
            budget: None,
            connection_limit,
            cut_at: None,
        }
    }

    /// Makes the window as wide as the target's slots.
    pub(crate) fn set_initial(&mut self, slots: u32) {
        self.size = f64::from(slots.max(1));
    }

    /// Takes over what the platform says; the window keeps its size.
    pub(crate) fn set_shape(&mut self, slots: u32, connection_limit: u32) {
        self.slots = slots.max(1);
        self.connection_limit = connection_limit;
    }

    /// Sets how many connections the VM may hold to the target.
    pub(crate) fn set_connection_budget(&mut self, connections: u32) {
        self.budget = Some(connections);
    }

    /// Calls that may be open.
    pub(crate) fn limit(&self) -> u32 {
        (self.size as u32).max(1).min(self.cap())
    }

    /// Calls that are open.
    pub(crate) fn open(&self) -> u32 {
        self.open
    }

    /// Calls that the target runs at once.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether one more call may be opened.
    pub(crate) fn has_capacity(&self) -> bool {
        self.open < self.limit()
    }

    /// Whether any call may ever be opened.
    pub(crate) fn has_connections(&self) -> bool {
        self.cap() > 0
    }

    /// Opens a call.
    pub(crate) fn acquire(&mut self) {
        self.open += 1;
    }

    /// Closes a call.
    pub(crate) fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Takes in an answer's load, before its call is closed.
    pub(crate) fn record_answer(&mut self, load: LoadReport, is_slow: bool, now: Instant) {
        let is_loaded = load.queued > load.slots.max(self.slots);
        if is_loaded || is_slow {
            let floor = f64::from(self.slots).min(self.size);
            self.cut(LOADED_FACTOR, floor, now);
        } else if self.open >= self.limit() {
            self.size = (self.size + 1.0 / self.size).min(f64::from(self.cap().max(1)));
        }
    }

    /// Takes in a shed or failed call.
    pub(crate) fn note_shed(&mut self, now: Instant) {
        self.cut(SHED_FACTOR, 1.0, now);
    }

    fn cut(&mut self, factor: f64, floor: f64, now: Instant) {
        if self.cut_at.is_some_and(|at| now.saturating_duration_since(at) < CUT_PERIOD) {
            return;
        }
        self.cut_at = Some(now);
        self.size = (self.size * factor).max(floor);
    }

    fn cap(&self) -> u32 {
        self.budget.unwrap_or(self.connection_limit)
    }
}
