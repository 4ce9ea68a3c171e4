//! Routing state shown to operators.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Instant;

use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::RoutingStatus;
use oleanderwind_wire::TargetStatus;
use oleanderwind_wire::UnansweredRequest;

use crate::routes::RouteService;
use crate::time::milliseconds;

/// Maximum number of unanswered requests kept for operators.
const MAX_UNANSWERED_REQUESTS: usize = 32;

/// Most recent requests that ended without an answer, newest first.
#[derive(Default)]
pub(crate) struct UnansweredLog {
    requests: RefCell<VecDeque<UnansweredRequest>>,
}

impl UnansweredLog {
    /// Adds a request and drops the oldest one if the log is full.
    pub(crate) fn add(&self, request: UnansweredRequest) {
        let mut requests = self.requests.borrow_mut();
        requests.truncate(MAX_UNANSWERED_REQUESTS - 1);
        requests.push_front(request);
    }

    fn list(&self) -> Vec<UnansweredRequest> {
        self.requests.borrow().iter().cloned().collect()
    }
}

impl RouteService {
    /// Returns the status of the routes and targets, with the most recent unanswered requests.
    pub(crate) fn status(&self) -> RoutingStatus {
        let routes = self.directory.routes();
        let mut targets: Vec<TargetStatus> =
            self.directory.targets().iter().map(|spec| self.target_status(spec)).collect();
        targets.sort_by(|left, right| {
            (&left.service, &left.target).cmp(&(&right.service, &right.target))
        });
        RoutingStatus {
            version: routes.as_ref().map_or(0, |routes| routes.configuration.version),
            routes: routes.as_ref().map_or(0, |routes| routes.configuration.routes.len()),
            connects: self.fanout.targets.connects(),
            targets,
            unanswered: self.unanswered.list(),
        }
    }

    fn target_status(&self, spec: &TargetSpec) -> TargetStatus {
        let mut engine = self.fanout.engine.borrow_mut();
        let now = Instant::now();
        let view = engine.target_view(&spec.target, now);
        TargetStatus {
            target: spec.target.clone(),
            service: spec.service.to_string(),
            failure_domain: spec.failure_domain.to_string(),
            phase: spec.phase,
            open: view.open,
            window: view.window,
            is_failing: view.is_failing,
            is_leaving: view.is_leaving,
            is_evacuated: view.is_evacuated,
            paused_ms: milliseconds(view.paused_for),
            limit_per_second: view.limit.map(|rate| rate.per_second()),
            permits: view.permits,
            extra_calls_left: engine.extra_calls_left(&spec.service, now),
        }
    }
}
