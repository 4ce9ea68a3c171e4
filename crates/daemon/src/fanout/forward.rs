//! Calls that pass a request on unread.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use http::Request;
use http::Uri;
use http_body_util::Full;
use oleanderwind_http::ClientReply;
use oleanderwind_policy::CallId;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::TargetId;

use crate::edge::CallerProtocol;
use crate::edge::OpaqueRequest;
use crate::edge::ReplyMetadata;
use crate::fanout::FanoutService;
use crate::fanout::payload::CallAnswer;
use crate::fanout::payload::QueryPayload;
use crate::fanout::payload::SignedReply;
use crate::targets::ForwardOutcome;
use crate::time::milliseconds;

/// A call as the engine ordered it.
pub(crate) struct ForwardCall {
    pub(crate) query: QueryId,
    pub(crate) call: CallId,
    pub(crate) target: TargetId,
    pub(crate) deadline: Instant,
    /// Whether it may be repeated when it is not known to have run.
    pub(crate) may_repeat: bool,
    /// Whether a failure of the target is an answer to the caller.
    pub(crate) takes_failures: bool,
}

/// Makes one call and feeds the engine what came of it.
pub(crate) async fn make_forward_call(
    fanout: Rc<FanoutService>,
    dialect: Rc<dyn CallerProtocol>,
    call: ForwardCall,
    request: Rc<OpaqueRequest>,
) {
    let Some(message) = build_request(dialect.as_ref(), &call, &request) else {
        return fanout.handle(FanoutEvent::Unsent { call: call.call });
    };
    // The marks are read where the reply is checked to be this call's, once.
    let told: RefCell<Option<ReplyMetadata>> = RefCell::new(None);
    let is_own = |reply: &ClientReply| {
        let marks = dialect.parse_reply_metadata(reply.status, &reply.headers);
        let is_own = marks.request_id.as_ref().is_none_or(|id| id == request.id.as_bytes());
        told.replace(Some(marks));
        is_own
    };
    let targets = fanout.targets.clone();
    let sent_at = Instant::now();
    let sent = targets.forward(&call.target, message, call.may_repeat, call.deadline, is_own);
    let (event, status) = match sent.await {
        ForwardOutcome::Unsent => (FanoutEvent::Unsent { call: call.call }, None),
        ForwardOutcome::Failed => (FanoutEvent::Failed { call: call.call }, None),
        ForwardOutcome::Replied(reply) => {
            let status = reply.status.as_u16();
            let marks = told.take();
            (take_reply(&fanout, &call, reply, marks.unwrap_or_default()), Some(status))
        }
    };
    log_unanswered(&call, &request, &event, status, sent_at);
    fanout.handle(event);
}

/// One line for each call that brought no answer.
fn log_unanswered(
    call: &ForwardCall,
    request: &OpaqueRequest,
    event: &FanoutEvent,
    status: Option<u16>,
    sent_at: Instant,
) {
    let outcome = match event {
        FanoutEvent::Answered { .. } => return,
        FanoutEvent::Refused { cause: RefusalCause::Draining, .. } => "other_target_at_address",
        FanoutEvent::Refused { .. } => "refused_not_run",
        FanoutEvent::Unsent { .. } => "not_sent",
        FanoutEvent::Failed { .. } if status.is_some() => "target_failed",
        FanoutEvent::Failed { .. } => "no_whole_reply",
    };
    log::info!(
        request = request.id.as_str(),
        target = call.target.as_ref(),
        call = call.call,
        status = status,
        outcome = outcome,
        ms = milliseconds(sent_at.elapsed());
        "a call brought no answer"
    );
}

fn build_request(
    dialect: &dyn CallerProtocol,
    call: &ForwardCall,
    request: &OpaqueRequest,
) -> Option<Request<Full<bytes::Bytes>>> {
    let uri: Uri = match request.path_and_query.parse() {
        Ok(uri) => uri,
        Err(error) => {
            log::error!(request = request.id.as_str(); "a path can't be passed on: {error}");
            return None;
        }
    };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = uri;
    *message.headers_mut() = request.headers.clone();
    let left = call.deadline.saturating_duration_since(Instant::now());
    for (name, value) in dialect.call_headers(left, &call.target) {
        message.headers_mut().insert(name, value);
    }
    Some(message)
}

/// What a whole reply means for the call.
fn take_reply(
    fanout: &FanoutService,
    call: &ForwardCall,
    reply: ClientReply,
    marks: ReplyMetadata,
) -> FanoutEvent {
    let id = call.call;
    let load = marks.load.unwrap_or_default();
    if marks.is_not_run || marks.is_misdirected {
        let cause = match marks.is_misdirected {
            true => RefusalCause::Draining,
            false => RefusalCause::Shedding,
        };
        return FanoutEvent::Refused { call: id, cause, load, draining: false };
    }
    let Some(signature) = marks.signature.filter(|_| !marks.is_encoded) else {
        return FanoutEvent::Failed { call: id };
    };
    let is_success = reply.status.is_success();
    let is_final = is_success || (call.takes_failures && !reply.status.is_server_error());
    let signed = SignedReply { signature, reply };
    if is_final {
        fanout.answers.borrow_mut().insert(id, CallAnswer::Reply(Box::new(signed)));
        return answered(id, load);
    }
    if call.takes_failures {
        keep_failure(fanout, call.query, signed);
    }
    FanoutEvent::Failed { call: id }
}

fn answered(call: CallId, load: LoadReport) -> FanoutEvent {
    FanoutEvent::Answered { call, documents: 1, load, draining: false }
}

/// Keeps a target's own failure; it is the caller's answer if nothing better comes.
fn keep_failure(fanout: &FanoutService, query: QueryId, signed: SignedReply) {
    if let Some(driven) = fanout.queries.borrow_mut().get_mut(&query)
        && let QueryPayload::Forward { failure, .. } = &mut driven.payload
    {
        *failure = Some(signed);
    }
}
