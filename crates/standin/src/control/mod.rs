//! Requests to the control port.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `POST /control/faults` | [`FaultOrder`] | [`crate::OrderReport`] |
//! | `POST /control/snapshots` | [`SnapshotOrder`] | [`crate::OrderReport`] |
//! | `POST /control/platform` | [`PlatformFault`] | 204 |
//! | `GET /control/platform` | none | [`crate::PlatformReport`] |
//! | `GET /control/executions` | none | list of [`crate::ExecutionRecord`] |
//! | `GET /control/calls` | none | list of [`crate::CallReport`] |
//! | `GET /control/searchers` | none | list of [`oleanderwind_policy::TargetSpec`] |

use std::rc::Rc;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use oleanderwind_policy::FindingList;

use crate::net::HttpReply;
use crate::net::empty_reply;
use crate::net::json_reply;
use crate::net::parse_body;
use crate::platform::PlatformFault;
use crate::server::FaultOrder;
use crate::server::ServerState;
use crate::server::SnapshotOrder;

/// Maximum size of the body of an order in bytes.
const MAX_ORDER_BYTES: usize = 64 * 1_024;

/// Handles a request to the control port and returns the reply.
pub(crate) async fn answer_control(state: &Rc<ServerState>, mut request: Request) -> HttpReply {
    let method = request.method().clone();
    let path = request.path().to_owned();
    match (&method, path.as_str()) {
        (&Method::POST, "/control/faults") => order_fault(state, &mut request).await,
        (&Method::POST, "/control/snapshots") => order_snapshot(state, &mut request).await,
        (&Method::POST, "/control/platform") => order_platform(state, &mut request).await,
        (&Method::GET, "/control/platform") => json_reply(StatusCode::OK, &state.platform.report()),
        (&Method::GET, "/control/executions") => json_reply(StatusCode::OK, &state.executions()),
        (&Method::GET, "/control/calls") => json_reply(StatusCode::OK, &state.calls()),
        (&Method::GET, "/control/searchers") => json_reply(StatusCode::OK, &state.targets()),
        _ => empty_reply(StatusCode::NOT_FOUND),
    }
}

/// Handles an order to inject a fault into searchers.
async fn order_fault(state: &Rc<ServerState>, request: &mut Request) -> HttpReply {
    match parse_body::<FaultOrder>(request, MAX_ORDER_BYTES).await {
        Err(problem) => refuse(&problem),
        Ok(order) => match state.apply(&order) {
            Ok(report) => json_reply(StatusCode::OK, &report),
            Err(error) => refuse(&error.to_string()),
        },
    }
}

/// Handles an order to publish a new snapshot.
async fn order_snapshot(state: &Rc<ServerState>, request: &mut Request) -> HttpReply {
    match parse_body::<SnapshotOrder>(request, MAX_ORDER_BYTES).await {
        Err(problem) => refuse(&problem),
        Ok(order) => json_reply(StatusCode::OK, &state.publish_snapshot(&order)),
    }
}

/// Handles an order to inject a fault into the platform.
async fn order_platform(state: &Rc<ServerState>, request: &mut Request) -> HttpReply {
    match parse_body::<PlatformFault>(request, MAX_ORDER_BYTES).await {
        Err(problem) => refuse(&problem),
        Ok(fault) => {
            state.platform.apply(fault);
            empty_reply(StatusCode::NO_CONTENT)
        }
    }
}

/// Returns the reply to an order that is malformed or failed.
fn refuse(problem: &str) -> HttpReply {
    let mut findings = FindingList::default();
    findings.add("body", problem);
    json_reply(StatusCode::BAD_REQUEST, &findings)
}
