//! Service of one connection.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::select;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::HttpCall;
use crate::HttpHandler;
use crate::HttpLimits;
use crate::HttpReply;
use crate::answer_body::AnswerBody;
use crate::body::BodyError;
use crate::body::BodyFraming;
use crate::body::read_body;
use crate::caller_guard::CallerGuard;
use crate::caller_stream::CallerStream;
use crate::caller_stream::FlowBounds;
use crate::flow::DISCARD_TIME;
use crate::flow::FlowPhase;
use crate::is_first_attempt;
use crate::memory_budget::MemoryPurpose;
use crate::memory_budget::MemoryShare;
use crate::metered_stream::WIRE_BYTES_PER_BODY_BYTE;
use crate::registry::ConnectionCalls;

/// Interval at which a draining connection checks whether it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that a call may take beyond its body: the largest head, twice, and the framing of the body.
const MAX_OTHER_BYTES: usize = 512 * 1_024;
/// Time to flush the last reply after its call has ended.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Calls in a row that a caller may send ahead; its connection is closed after the answer to the last.
const MAX_CALLS_AHEAD: u32 = 16;
/// Calls of one listener that were sent ahead and run at once.
pub(crate) const MAX_RUNNING_AHEAD: usize = 8;
/// Length up to which a body is read without asking whether its call needs it, in bytes.
const MAX_UNCHECKED_BYTES: usize = 4 * 1_024;
/// Length up to which an answer takes nothing from the budget, in bytes.
const MAX_UNCOUNTED_BYTES: u64 = 4 * 1_024;
/// Time for which a call that was sent ahead waits for its turn.
const MAX_TURN_TIME: Duration = Duration::from_millis(250);
/// Seconds after which a caller that was refused for want of memory or of its turn may try again.
const SHORT_RETRY_AFTER: &str = "1";

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

/// What all connections of a listener share.
pub(crate) struct ConnectionContext {
    /// The limits in force.
    pub(crate) limits: RefCell<Rc<HttpLimits>>,
    /// What serves the calls.
    pub(crate) handler: HttpHandler,
    /// Memory of the calls, and which of them need their body.
    pub(crate) guard: CallerGuard,
    /// Calls that were sent ahead and may run at once.
    pub(crate) ahead: Semaphore,
}

impl ConnectionContext {
    fn limits(&self) -> Rc<HttpLimits> {
        self.limits.borrow().clone()
    }

    /// Returns the bounds of a head, and of a body with its framing and what a caller still sends after a
    /// refusal.
    fn bounds(&self) -> FlowBounds {
        let limits = self.limits.borrow();
        let body_bytes = limits.max_body_bytes.saturating_mul(WIRE_BYTES_PER_BODY_BYTE);
        FlowBounds {
            head_bytes: limits.max_head_bytes,
            call_bytes: body_bytes.saturating_add(MAX_OTHER_BYTES),
        }
    }
}

/// Serves `stream` until it closes, is evicted or, during a drain, becomes idle.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    context: Rc<ConnectionContext>,
    calls: Rc<ConnectionCalls>,
    mut phase: watch::Receiver<DrainPhase>,
) {
    let bounds = {
        let context = context.clone();
        Rc::new(move || context.bounds())
    };
    let stream = CallerStream::new(stream, calls.clone(), bounds);
    let factory = {
        let calls = calls.clone();
        let phase = phase.clone();
        let service = fn_service(move |request: Request| {
            serve_call(request, peer, context.clone(), calls.clone(), phase.clone())
        });
        HttpService::build()
            // The listener closes connections that are slow or idle, by the limits in force.
            .client_request_timeout(Duration::ZERO)
            .keep_alive(KeepAlive::Os)
            .client_disconnect_timeout(DISCARD_TIME)
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
            () = wait_until_closed(&calls) => {}
        }
    };
    let closing = closing.boxed_local();
    // Dropping the future of the connection closes it.
    select(serving, closing).await;
}

/// Waits until a rule closes the connection.
async fn wait_until_closed(calls: &ConnectionCalls) {
    loop {
        calls.eviction.notified().await;
        // A call may have begun since the connection was chosen.
        if !calls.waits_for_process() {
            return;
        }
        calls.flow.clear_rule();
    }
}

/// Waits until the listener drains and, for [`FLUSH_TIME`], no call has been open and no answer unwritten.
async fn wait_until_idle(phase: &mut watch::Receiver<DrainPhase>, calls: &ConnectionCalls) {
    let has_listener = phase.wait_for(|phase| *phase == DrainPhase::Draining).await.is_ok();
    if !has_listener {
        futures_util::future::pending::<()>().await;
    }
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < FLUSH_TIME {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        if calls.open() > 0 || calls.flow.is_busy() {
            idle_since = Instant::now();
        }
    }
}

/// Reads one call, serves it and builds its response.
async fn serve_call(
    mut request: Request,
    peer: SocketAddr,
    context: Rc<ConnectionContext>,
    calls: Rc<ConnectionCalls>,
    phase: watch::Receiver<DrainPhase>,
) -> Result<Response<AnswerBody>, Infallible> {
    if calls.flow.phase() == FlowPhase::Discard {
        // The answer before told the caller that the connection closes, so it may send this call again
        // elsewhere.
        return std::future::pending().await;
    }
    let arrived = Instant::now();
    let _guard = CallGuard::new(calls.clone());
    let payload = request.take_payload();
    let has_payload = !matches!(payload, Payload::None);
    let framing = BodyFraming::of(&request);
    let mut call = HttpCall {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        has_query: request.uri().query().is_some(),
        headers: request.headers().clone(),
        body: Bytes::new(),
        peer,
        arrived,
    };
    let needs_body = framing.is_within(MAX_UNCHECKED_BYTES) || context.guard.needs_body(&call);
    let mut reply = if needs_body {
        calls.flow.enter(match framing {
            BodyFraming::None => FlowPhase::Answer,
            BodyFraming::Length(length) => FlowPhase::Body { left: Some(length) },
            BodyFraming::Chunks => FlowPhase::Body { left: None },
        });
        let limits = context.limits();
        let memory = context.guard.memory.clone();
        match read_body(payload, framing, &limits, memory, &calls.flow).await {
            Ok(read) => {
                // An offered upgrade isn't taken, and what follows it has no framing.
                let is_offer = has_payload && request.upgrade();
                calls.flow.enter(FlowPhase::Answer);
                call.body = read.bytes;
                let reply = serve_in_turn(call, &context, calls.flow.ahead() > 0).await;
                drop(read.share);
                let is_last = calls.flow.ahead() >= MAX_CALLS_AHEAD;
                if is_offer || is_last { reply.closing() } else { reply }
            }
            Err(error) => {
                calls.flow.enter(FlowPhase::Discard);
                unreadable_reply(error, request.headers())
            }
        }
    } else {
        drop(payload);
        calls.flow.enter(FlowPhase::Discard);
        (context.handler)(call).await.closing()
    };
    if *phase.borrow() >= DrainPhase::Closing {
        reply = reply.closing();
    }
    let share = match (reply.response.body().size(), &context.guard.memory) {
        (BodySize::Sized(length), Some(memory)) if length > MAX_UNCOUNTED_BYTES => {
            let eviction = calls.eviction.clone();
            let share = MemoryShare::new(memory.clone(), MemoryPurpose::Answers, eviction);
            share.take(usize::try_from(length).unwrap_or(usize::MAX));
            Some(share)
        }
        _ => None,
    };
    Ok(reply.response.map_body(|_, body| AnswerBody::new(body, calls, share)))
}

/// Serves a call. One that was sent ahead waits for its turn, and is refused if that takes too long.
async fn serve_in_turn(call: HttpCall, context: &ConnectionContext, is_ahead: bool) -> HttpReply {
    if !is_ahead {
        return (context.handler)(call).await;
    }
    match timeout(MAX_TURN_TIME, context.ahead.acquire()).await {
        Ok(Ok(_permit)) => (context.handler)(call).await,
        Ok(Err(_)) | Err(_) => {
            let reply = HttpReply::empty(StatusCode::SERVICE_UNAVAILABLE).closing();
            reply.with_header("retry-after", SHORT_RETRY_AFTER)
        }
    }
}

fn unreadable_reply(error: BodyError, headers: &HeaderMap) -> HttpReply {
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
    let reply = HttpReply::json::<UnreadableCall>(error.status(), &body).closing();
    debug_assert_ne!(reply.status(), StatusCode::OK);
    match error {
        BodyError::NoMemory => reply.with_header("retry-after", SHORT_RETRY_AFTER),
        BodyError::TooLong | BodyError::TooSlow | BodyError::Broken => reply,
    }
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
