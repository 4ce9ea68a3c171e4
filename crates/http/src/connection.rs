//! Service of one connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::ConnectionType;
use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use futures_util::FutureExt;
use futures_util::future::select;
use serde::Serialize;
use tokio::sync::watch;

use crate::HttpCall;
use crate::HttpHandler;
use crate::HttpLimits;
use crate::HttpReply;
use crate::body::BodyError;
use crate::body::read_body;
use crate::is_first_attempt;
use crate::metered_stream::ByteMeter;
use crate::metered_stream::MeteredStream;
use crate::metered_stream::WIRE_BYTES_PER_BODY_BYTE;
use crate::registry::ConnectionCalls;

/// Interval at which a draining connection checks whether it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that a call may take beyond its body: the largest head, twice, and the framing of the body.
const MAX_OTHER_BYTES: usize = 512 * 1_024;
/// Time to flush the last reply after its call has ended.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Progress of a listener's drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainPhase {
    /// Connections are kept alive.
    #[default]
    Serving,
    /// Connections are closed after their next reply.
    Closing,
    /// Idle connections are closed as well, and no new ones are accepted.
    Draining,
}

/// JSON body of the reply to a call whose body could not be read.
#[derive(Serialize)]
struct UnreadableCall {
    request_id: String,
    outcome: &'static str,
    ran: &'static str,
    refusal: UnreadableRefusal,
}

#[derive(Serialize)]
struct UnreadableRefusal {
    reason: &'static str,
    findings: [UnreadableFinding; 1],
}

#[derive(Serialize)]
struct UnreadableFinding {
    place: &'static str,
    problem: &'static str,
}

/// Serves `stream` until it closes, is evicted or, during a drain, becomes idle.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Rc<HttpLimits>,
    handler: HttpHandler,
    calls: Rc<ConnectionCalls>,
    mut phase: watch::Receiver<DrainPhase>,
) {
    let meter = Rc::new(ByteMeter::default());
    let call_bytes = max_call_bytes(&limits);
    meter.begin(call_bytes);
    let stream = MeteredStream::new(stream, meter.clone());
    let factory = {
        let calls = calls.clone();
        let limits = limits.clone();
        let phase = phase.clone();
        let head_timeout = limits.head_timeout;
        let keep_alive = limits.keep_alive;
        let service = fn_service(move |request: Request| {
            // Each call begins a new allowance.
            meter.begin(call_bytes);
            serve_call(request, peer, limits.clone(), handler.clone(), calls.clone(), phase.clone())
        });
        HttpService::build()
            .client_request_timeout(head_timeout)
            .keep_alive(KeepAlive::Timeout(keep_alive))
            // A peer that has disconnected looks like one that has closed only its sending half.
            // Both are treated as disconnected, so that no work is held for a peer that is gone;
            // callers do not need half-closed connections.
            .h1_allow_half_closed(false)
            .h1(service)
    };
    let Ok(service) = factory.new_service(()).await else { return };
    let serving = service.call((stream, Some(peer))).boxed_local();
    let closing = async {
        tokio::select! {
            () = wait_until_idle(&mut phase, &calls) => {}
            () = calls.eviction.notified() => {}
        }
    };
    let closing = closing.boxed_local();
    // Dropping the future of the connection closes it.
    select(serving, closing).await;
}

/// Returns the number of bytes that may arrive from one call to the next: a body with its framing, what
/// a caller still sends after a refusal, and the next head.
fn max_call_bytes(limits: &HttpLimits) -> usize {
    limits.max_body_bytes.saturating_mul(WIRE_BYTES_PER_BODY_BYTE).saturating_add(MAX_OTHER_BYTES)
}

/// Waits until the listener drains and no call has been open for [`FLUSH_TIME`].
async fn wait_until_idle(phase: &mut watch::Receiver<DrainPhase>, calls: &ConnectionCalls) {
    let has_listener = phase.wait_for(|phase| *phase == DrainPhase::Draining).await.is_ok();
    if !has_listener {
        futures_util::future::pending::<()>().await;
    }
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < FLUSH_TIME {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        if calls.open() > 0 {
            idle_since = Instant::now();
        }
    }
}

/// Reads one call, serves it and builds its response.
async fn serve_call(
    mut request: Request,
    peer: SocketAddr,
    limits: Rc<HttpLimits>,
    handler: HttpHandler,
    calls: Rc<ConnectionCalls>,
    phase: watch::Receiver<DrainPhase>,
) -> Result<Response<BoxBody>, Infallible> {
    let _guard = CallGuard::new(calls);
    let payload = request.take_payload();
    let reply = match read_body(payload, &limits).await {
        Ok(body) => {
            let call = HttpCall {
                method: request.method().clone(),
                path: request.path().to_owned(),
                query: request.uri().query().unwrap_or_default().to_owned(),
                has_query: request.uri().query().is_some(),
                headers: request.headers().clone(),
                body,
                peer,
            };
            handler(call).await
        }
        Err(error) => unreadable_reply(&error, request.headers()),
    };
    let mut response = reply.response;
    if *phase.borrow() >= DrainPhase::Closing {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

fn unreadable_reply(error: &BodyError, headers: &HeaderMap) -> HttpReply {
    let request_id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    let (outcome, ran) = match is_first_attempt(headers) {
        true => ("not_run", "no"),
        // An earlier attempt with the same key may have run.
        false => ("unknown", "unknown"),
    };
    let body = UnreadableCall {
        request_id: request_id.unwrap_or_default().to_owned(),
        outcome,
        ran,
        refusal: UnreadableRefusal {
            reason: "unreadable",
            findings: [UnreadableFinding { place: "body", problem: error.problem() }],
        },
    };
    let mut reply = HttpReply::json::<UnreadableCall>(error.status(), &body);
    reply.response.head_mut().set_connection_type(ConnectionType::Close);
    debug_assert_ne!(reply.status(), StatusCode::OK);
    reply
}

/// Counts a call as open until its response is built or the caller disconnects.
struct CallGuard {
    calls: Rc<ConnectionCalls>,
}

impl CallGuard {
    fn new(calls: Rc<ConnectionCalls>) -> CallGuard {
        calls.begin();
        CallGuard { calls }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.calls.end();
    }
}
