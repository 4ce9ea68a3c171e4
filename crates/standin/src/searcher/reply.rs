//! Search and execute calls, and what goes wrong with their replies.

use std::rc::Rc;
use std::time::Instant;

use actix_http::Request;
use actix_http::StatusCode;
use oleanderwind_policy::CallId;
use oleanderwind_policy::RefusalCause;
use oleanderwind_wire::ExecuteAnswer;
use oleanderwind_wire::ExecuteCall;
use oleanderwind_wire::SearcherRefusal;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;
use serde::Serialize;

use crate::documents::digest;
use crate::documents::shard_documents;
use crate::documents::shard_hits;
use crate::net::HttpReply;
use crate::net::StreamControl;
use crate::net::json_reply;
use crate::net::parse_body;
use crate::searcher::ExecutionRecord;
use crate::searcher::ReplyFault;
use crate::searcher::SearcherNode;
use crate::searcher::node::MAX_CALL_BYTES;
use crate::searcher::run::CallTicket;

/// Added to a call's id to make it another call's.
const FOREIGN_CALL_OFFSET: CallId = 1 << 40;
/// Added to a query's text to make it another call's.
const FOREIGN_QUERY_SUFFIX: &str = " (another call)";
/// Bytes of a body that still go out before the connection is closed.
const PARTIAL_BODY_BYTES: usize = 16;

impl SearcherNode {
    /// `POST /v1/search`.
    pub(crate) async fn search(
        self: &Rc<SearcherNode>,
        request: &mut Request,
        control: Option<&StreamControl>,
    ) -> HttpReply {
        let Ok(call) = parse_body::<ShardCall>(request, MAX_CALL_BYTES).await else {
            return self.refuse(0, RefusalCause::Malformed);
        };
        let mut ticket = CallTicket::open(self, call.call_id, call.deadline_ms);
        let outcome = self.run_search(&ticket, &call).await;
        ticket.settle(outcome.err());
        match outcome {
            Err(cause) => self.refuse(call.call_id, cause),
            Ok(()) => self.reply_search(&call, control),
        }
    }

    /// Takes a slot and searches.
    async fn run_search(&self, ticket: &CallTicket, call: &ShardCall) -> Result<(), RefusalCause> {
        if !self.holding.borrow().holds(call.index_version, call.shard, Instant::now()) {
            return Err(RefusalCause::SnapshotUnknown);
        }
        let _slot = ticket.slot().await?;
        ticket.count_run();
        self.executions.note_query(&call.query);
        ticket.run_search().await
    }

    /// The answer of a search under the reply fault in force.
    fn reply_search(&self, call: &ShardCall, control: Option<&StreamControl>) -> HttpReply {
        let fault = self.fault.borrow_mut().take_reply_fault();
        let service = &self.identity.spec.service;
        let mut call = call.clone();
        match fault {
            Some(ReplyFault::CrossedAnswer) => {
                call.call_id += FOREIGN_CALL_OFFSET;
                call.query.push_str(FOREIGN_QUERY_SUFFIX);
            }
            Some(ReplyFault::WrongSnapshot) => call.index_version += 1,
            _ => {}
        }
        let mut documents = shard_documents(service, call.index_version, call.shard);
        if fault == Some(ReplyFault::HalfAnswer) {
            documents /= 2;
        }
        let answer = ShardAnswer {
            call_id: call.call_id,
            shard: call.shard,
            index_version: call.index_version,
            documents,
            hits: shard_hits(service, call.index_version, call.shard, documents, &call.query),
            load: self.load(),
            draining: self.draining(),
        };
        send(&answer, fault, control)
    }

    /// `POST /v1/execute`.
    pub(crate) async fn execute(
        self: &Rc<SearcherNode>,
        request: &mut Request,
        control: Option<&StreamControl>,
    ) -> HttpReply {
        let Ok(call) = parse_body::<ExecuteCall>(request, MAX_CALL_BYTES).await else {
            return self.refuse(0, RefusalCause::Malformed);
        };
        let mut ticket = CallTicket::open(self, call.call_id, call.deadline_ms);
        let outcome = self.run_execute(&ticket, &call).await;
        ticket.settle(outcome.err());
        match outcome {
            Err(cause) => self.refuse(call.call_id, cause),
            Ok(()) => self.reply_execute(&call, control),
        }
    }

    /// Takes a slot, appends to the record, and then spends the service time.
    ///
    /// A call that got its slot has run: neither a cancel nor the deadline undoes it.
    async fn run_execute(
        &self,
        ticket: &CallTicket,
        call: &ExecuteCall,
    ) -> Result<(), RefusalCause> {
        let _slot = ticket.slot().await?;
        ticket.count_run();
        self.executions.add(self.execution(call));
        if self.fault.borrow_mut().take_duplicate() {
            self.executions.add(self.execution(call));
        }
        ticket.run_whole().await;
        Ok(())
    }

    /// The record of one run.
    fn execution(&self, call: &ExecuteCall) -> ExecutionRecord {
        ExecutionRecord {
            searcher: self.identity.spec.target.clone(),
            service: self.identity.spec.service.clone(),
            call_id: call.call_id,
            customer: call.customer.clone(),
            idempotency_key: call.idempotency_key.clone(),
            body: call.body.clone(),
            at_ms: self.executions.elapsed_ms(),
        }
    }

    /// The result of an execute call under the reply fault in force.
    fn reply_execute(&self, call: &ExecuteCall, control: Option<&StreamControl>) -> HttpReply {
        let fault = self.fault.borrow_mut().take_reply_fault();
        let foreign = fault == Some(ReplyFault::CrossedAnswer);
        let answer = ExecuteAnswer {
            call_id: call.call_id + if foreign { FOREIGN_CALL_OFFSET } else { 0 },
            result: format!("done {:016x}", digest(&call.body)),
            load: self.load(),
            draining: self.draining(),
        };
        send(&answer, fault, control)
    }

    /// A refusal; nothing is wrong with it.
    fn refuse(&self, call_id: CallId, cause: RefusalCause) -> HttpReply {
        let (load, draining) = (self.load(), self.draining());
        let status = match cause {
            RefusalCause::Malformed => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        json_reply(status, &SearcherRefusal { call_id, cause, load, draining })
    }
}

/// Sends an answer over a connection that may break on the way.
fn send<T: Serialize>(
    answer: &T,
    fault: Option<ReplyFault>,
    control: Option<&StreamControl>,
) -> HttpReply {
    match (fault, control) {
        (Some(ReplyFault::LostByClose), Some(control)) => control.cut(),
        (Some(ReplyFault::LostBySilence), Some(control)) => control.silence(),
        (Some(ReplyFault::ClosedMidReply), Some(control)) => {
            control.cut_in_body(PARTIAL_BODY_BYTES);
        }
        _ => {}
    }
    json_reply(StatusCode::OK, answer)
}
