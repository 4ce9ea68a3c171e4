//! Which requests a VM that stops still begins.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::OperationKind;
use crate::RouteContract;
use crate::shutdown::work_time::WorkTimeTracker;

/// Part of recent requests that may have taken longer than a request is expected to, in thousandths, if it may be repeated.
const SLOW_PERMILLE: usize = 50;

/// Decides which requests are begun in a planned stop: those that are expected to end before it does.
///
/// A request that is cut at the end of the stop has an unknown outcome, with no fault but the stop itself; one that is refused
/// at once can run at another VM.
#[derive(Clone, Debug, Default)]
pub struct ShutdownGate {
    /// Work times by the name of the route.
    routes: HashMap<Arc<str>, WorkTimeTracker>,
    /// Time at which requests that still run are cut; `None` while the VM does not stop.
    cut_at: Option<Instant>,
}

impl ShutdownGate {
    /// Records how long a request of a route took that a target ran.
    pub fn record(&mut self, route: &Arc<str>, time: Duration) {
        match self.routes.get_mut(route) {
            Some(tracker) => tracker.record(time),
            None => self.routes.entry(route.clone()).or_default().record(time),
        }
    }

    /// Forgets the routes that are not `known` any more.
    pub fn retain_routes(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }

    /// Begins the stop: requests that run at `cut_at` are cut.
    pub fn begin_stop(&mut self, cut_at: Instant) {
        self.cut_at = Some(cut_at);
    }

    /// Returns whether a request of a route, which may take at most `time_limit`, is begun.
    ///
    /// A route without recent requests is expected to meet its latency objective; a request that may not be repeated, to take
    /// as long as it may.
    pub fn admits(&self, route: &RouteContract, time_limit: Duration, now: Instant) -> bool {
        let Some(cut_at) = self.cut_at else { return true };
        let tracker = self.routes.get(&route.name);
        let (slow_permille, unknown) = match route.operation {
            OperationKind::Search => (SLOW_PERMILLE, route.latency_objective),
            OperationKind::Execute => (0, time_limit),
        };
        let expected = tracker.and_then(|tracker| tracker.bound(slow_permille)).unwrap_or(unknown);
        now + expected.min(time_limit) < cut_at
    }
}
