//! Planned stop of the listeners for callers of opaque requests.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use futures_util::future::join_all;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::RouteConfiguration;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::ShutdownSchedule;

use crate::edge::OpaqueRequest;
use crate::routes::answer::refusal;
use crate::routes::relay::unserved_relay_reply;
use crate::routes::service::RouteService;

/// Delay suggested to callers while this VM stops and no other one is known to serve.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(500);

impl RouteService {
    /// Closes each caller connection after its next reply, so that callers move to other VMs, and begins no more requests
    /// that the stop would cut.
    pub(crate) fn announce_leaving(&self, schedule: ShutdownSchedule) {
        self.shutdown.borrow_mut().begin_stop(Instant::now() + schedule.run_time());
        if let Some(listener) = self.listeners.borrow().first() {
            listener.close_after_replies();
        }
    }

    /// Finishes the running requests and closes all connections within `timeout`.
    ///
    /// Requests that still run shortly before the end are answered with a time-out, which tells the
    /// caller more than a broken connection.
    pub(crate) async fn drain(&self, timeout: Duration) {
        let listeners = self.listeners.borrow().clone();
        let end = Instant::now() + timeout;
        let reply_time = self.live.get().shutdown_schedule().reply_time();
        let cut_at = end.checked_sub(reply_time).unwrap_or(end);
        let drains = listeners.iter().map(|listener| listener.drain(time_until(cut_at)));
        join_all(drains).await;
        self.is_stopping.send_replace(true);
        for listener in listeners {
            let left = listener.drain(time_until(end)).await;
            if left > 0 {
                log::error!(connections = left; "caller connections still open after the drain");
            }
        }
    }

    /// Returns whether a request is expected to end before this VM stops, if it does.
    pub(crate) fn begins_before_stop(
        &self,
        route: &RouteContract,
        request: &OpaqueRequest,
    ) -> bool {
        self.shutdown.borrow().admits(route, time_limit(route, request), Instant::now())
    }

    /// Refuses a request that would not end before this VM stops. Another VM can run it.
    pub(crate) fn refuse_stopping(&self, request: &OpaqueRequest, is_relayed: bool) -> HttpReply {
        self.record_refused_request(request, "stopping");
        if is_relayed {
            return unserved_relay_reply(false);
        }
        let has_other = self.peers.choose_relay(&[]).is_some();
        refusal(Some(if has_other { Duration::ZERO } else { STOPPING_RETRY_DELAY })).closing()
    }

    /// Forgets how long the requests of routes took that are not in force any more.
    pub(crate) fn forget_old_routes(&self, in_force: &RouteConfiguration) {
        let names: HashSet<&str> =
            in_force.routes.iter().map(|route| route.name.as_ref()).collect();
        self.shutdown.borrow_mut().retain_routes(|name| names.contains(name));
    }
}

/// Returns the reply to a request that is still running when the VM stops.
pub(crate) fn cut_by_stop(route: &RouteContract, request: &OpaqueRequest) -> HttpReply {
    log::warn!(
        request = request.id.as_str(),
        route = route.name.as_ref(),
        outcome = "cut_by_stop";
        "request was still running when the VM stopped"
    );
    HttpReply::empty(StatusCode::GATEWAY_TIMEOUT).closing()
}

/// Returns the time that a request may take.
pub(crate) fn time_limit(route: &RouteContract, request: &OpaqueRequest) -> Duration {
    request.timeout.map_or(route.time_limit, |own| own.min(route.time_limit))
}

fn time_until(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}
