//! Calls that forward a request without parsing it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http_body_util::Full;
use oleanderwind_http::ClientReply;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ConnectionHistory;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::ReplyUse;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetReply;

use crate::edge::CallerProtocol;
use crate::edge::OpaqueRequest;
use crate::edge::ReplyMetadata;
use crate::fanout::FanoutService;
use crate::fanout::QueryWork;
use crate::fanout::driver::quarantined;
use crate::fanout::payload::CallAnswer;
use crate::fanout::payload::QueryPayload;
use crate::fanout::payload::SignedReply;
use crate::fanout::quarantine::CallWitness;
use crate::targets::CallFailure;
use crate::targets::ForwardOutcome;
use crate::targets::PooledRequest;
use crate::targets::ReplyMatch;
use crate::time::milliseconds;

/// A forwarded call that the engine asked the driver to send.
pub(crate) struct ForwardCall {
    pub(crate) query: QueryId,
    pub(crate) call: CallId,
    pub(crate) target: TargetId,
    pub(crate) deadline: Instant,
    /// Whether a call that may already have run may be sent again.
    pub(crate) is_idempotent: bool,
    /// Whether the answers of several shards are merged, be it only one at present.
    pub(crate) is_gathered: bool,
}

impl ForwardCall {
    /// Returns what may be done with a reply.
    fn classify(&self, status: http::StatusCode, marks: &ReplyMetadata) -> ReplyUse {
        let reply = TargetReply {
            status: status.as_u16(),
            is_not_run: marks.is_not_run,
            is_misdirected: marks.is_misdirected,
            is_whole: marks.signature.is_some() && !marks.is_encoded,
        };
        reply.use_for(self.is_idempotent, self.is_gathered)
    }
}

/// Forwards a request and reports the outcome to the engine.
pub(crate) async fn send_forward_call(
    fanout: Rc<FanoutService>,
    dialect: Rc<dyn CallerProtocol>,
    call: ForwardCall,
    witness: Rc<CallWitness>,
    request: Rc<OpaqueRequest>,
) {
    if let Err(retry_after) = fanout.pass_gate(&witness, call.deadline).await {
        return fanout.handle(quarantined(call.call, false, retry_after));
    }
    let Some(message) = build_request(dialect.as_ref(), &call, &request) else {
        return fanout.handle(FanoutEvent::Unsent { call: call.call });
    };
    // Set by `match_reply`, so that the headers are parsed only once.
    let reply_marks: RefCell<Option<ReplyMetadata>> = RefCell::new(None);
    let match_reply = |reply: &ClientReply, history: &ConnectionHistory| {
        let marks = dialect.parse_reply_metadata(reply.status, &reply.headers);
        let is_own = history.owns_reply(request.id.as_bytes(), marks.request_id.as_deref());
        let is_final = call.classify(reply.status, &marks) == ReplyUse::Answer;
        reply_marks.replace(Some(marks));
        match (is_own, is_final) {
            (false, _) => ReplyMatch::Other,
            (true, false) => ReplyMatch::Own,
            (true, true) => ReplyMatch::Final,
        }
    };
    fanout.mark_sent(call.call);
    let targets = fanout.targets.clone();
    let sent_at = Instant::now();
    let may_send = || fanout.may_send(call.call) && fanout.may_leave(&witness);
    let pooled = PooledRequest {
        hash: xxhash_rust::xxh3::xxh3_64_with_seed(request.id.as_bytes(), fanout.hash_seed),
        deadline: call.deadline,
    };
    let idempotent = call.is_idempotent;
    let sent = targets.forward(&call.target, message, pooled, idempotent, may_send, match_reply);
    let mut end = CallEnd::default();
    let event = match sent.await {
        ForwardOutcome::Withdrawn => FanoutEvent::Withdrawn { call: call.call },
        ForwardOutcome::Unsent => {
            fanout.record_silence(&witness, sent_at);
            FanoutEvent::Unsent { call: call.call }
        }
        ForwardOutcome::Failed(failure) => {
            if matches!(failure, CallFailure::Closed | CallFailure::TimedOut) {
                fanout.record_silence(&witness, sent_at);
            }
            if failure == CallFailure::Closed {
                fanout.mark_broken_call(call.query);
            }
            end.failure = Some(failure);
            match fanout.examine_failure(&witness, failure).await {
                Some(retry_after) => quarantined(call.call, true, retry_after),
                None => FanoutEvent::Failed { call: call.call },
            }
        }
        ForwardOutcome::Replied(reply) => {
            end.status = Some(reply.status.as_u16());
            let marks = reply_marks.take().unwrap_or_default();
            if let Some((process, sent_at)) = witness.sent() {
                let limit = fanout.read_limit(&call.target, &marks);
                fanout.observe_limit(&call.target, process.incarnation, limit, sent_at);
            }
            if marks.signature.is_some() {
                fanout.record_survived(&witness);
            }
            classify_reply(&fanout, &call, reply, marks)
        }
    };
    log_unanswered(&call, &request, &witness.work, &event, end, sent_at);
    fanout.handle(event);
}

impl FanoutService {
    /// Finds out whether a call that got no reply ended its target.
    ///
    /// Returns the time after which the caller may return if it was a trial.
    async fn examine_failure(
        self: &Rc<Self>,
        witness: &Rc<CallWitness>,
        failure: CallFailure,
    ) -> Option<Duration> {
        match failure {
            CallFailure::Closed => self.examine_end(witness).await,
            // The query ends at this moment, and an attempt to connect to a silent host takes long.
            CallFailure::TimedOut => {
                self.examine_cancelled(witness.clone());
                None
            }
            CallFailure::OtherRequest | CallFailure::OverLimit => None,
        }
    }
}

/// How a call ended, for the log.
#[derive(Clone, Copy, Default)]
struct CallEnd {
    /// Status of the reply, if one arrived.
    status: Option<u16>,
    /// Why no reply arrived, if the call was sent.
    failure: Option<CallFailure>,
}

/// Logs a call that ended without an answer.
fn log_unanswered(
    call: &ForwardCall,
    request: &OpaqueRequest,
    work: &QueryWork,
    event: &FanoutEvent,
    end: CallEnd,
    sent_at: Instant,
) {
    let outcome = match event {
        FanoutEvent::Answered { .. } => return,
        FanoutEvent::Refused { cause: RefusalCause::Draining, .. } => "other_target_at_address",
        FanoutEvent::Refused { .. } => "refused_not_run",
        FanoutEvent::Unsent { .. } => "not_sent",
        FanoutEvent::Withdrawn { .. } => "withdrawn",
        FanoutEvent::Failed { .. } if end.status.is_some() => "target_failed",
        FanoutEvent::Quarantined { .. } => "target_ended",
        FanoutEvent::Failed { .. } => "no_whole_reply",
    };
    log::info!(
        request = request.id.as_str(),
        target = call.target.as_ref(),
        call = call.call,
        status = end.status,
        outcome = outcome,
        end = end.failure.map(CallFailure::as_str),
        path = request.path(),
        work:% = work.fingerprint(),
        ms = milliseconds(sent_at.elapsed());
        "call ended without an answer"
    );
}

fn build_request(
    dialect: &dyn CallerProtocol,
    call: &ForwardCall,
    request: &OpaqueRequest,
) -> Option<Request<Full<bytes::Bytes>>> {
    let mut message = request.message()?;
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    for (name, value) in dialect.call_headers(remaining, &call.target) {
        message.headers_mut().insert(name, value);
    }
    if let Some(organisation) = &request.organisation {
        let (name, value) = dialect.organisation_header(organisation)?;
        message.headers_mut().insert(name, value);
    }
    Some(message)
}

/// Returns the event for a complete reply and stores the reply if it may be used.
fn classify_reply(
    fanout: &FanoutService,
    call: &ForwardCall,
    reply: ClientReply,
    marks: ReplyMetadata,
) -> FanoutEvent {
    let id = call.call;
    let load = marks.load.unwrap_or_default();
    let reply_use = call.classify(reply.status, &marks);
    let signed = marks.signature.map(|signature| SignedReply { signature, reply });
    match (reply_use, signed) {
        (ReplyUse::Refusal(cause), _) => {
            FanoutEvent::Refused { call: id, cause, load, draining: false }
        }
        (ReplyUse::Answer, Some(signed)) => {
            fanout.pending_answers.borrow_mut().insert(id, CallAnswer::Reply(Box::new(signed)));
            answered(id, load)
        }
        (ReplyUse::Failure, Some(signed)) => {
            store_failure(fanout, call.query, signed);
            FanoutEvent::Failed { call: id }
        }
        (ReplyUse::Nothing, _) | (ReplyUse::Answer | ReplyUse::Failure, None) => {
            FanoutEvent::Failed { call: id }
        }
    }
}

fn answered(call: CallId, load: LoadReport) -> FanoutEvent {
    FanoutEvent::Answered { call, documents: 1, load, draining: false }
}

/// Stores a failure reply of a target, which is relayed to the caller if no call is answered.
fn store_failure(fanout: &FanoutService, query: QueryId, signed: SignedReply) {
    if let Some(running) = fanout.queries.borrow_mut().get_mut(&query)
        && let QueryPayload::Forward { failure, .. } = &mut running.payload
    {
        *failure = Some(signed);
    }
}
