//! Handling of search and execute calls, with injected faults in their replies.

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
use crate::searcher::run::InFlightCall;

/// Added to the id of a call to get the id of another call.
const OTHER_CALL_OFFSET: CallId = 1 << 40;
/// Appended to the query text of a call to get the hits of another call.
const OTHER_QUERY_SUFFIX: &str = " (another call)";
/// Number of bytes of a body that are sent before the connection is closed.
const PARTIAL_BODY_BYTES: usize = 16;

impl SearcherNode {
    /// Handles `POST /v1/search`.
    pub(crate) async fn search(
        self: &Rc<SearcherNode>,
        request: &mut Request,
        control: Option<&StreamControl>,
    ) -> HttpReply {
        let Ok(call) = parse_body::<ShardCall>(request, MAX_CALL_BYTES).await else {
            return self.refuse(0, RefusalCause::Malformed);
        };
        let mut in_flight = InFlightCall::open(self, call.call_id, call.deadline_ms);
        let outcome = self.run_search(&in_flight, &call).await;
        in_flight.record_outcome(outcome.err());
        match outcome {
            Err(cause) => self.refuse(call.call_id, cause),
            Ok(()) => self.reply_search(&call, control),
        }
    }

    /// Acquires a slot and runs a search.
    async fn run_search(
        &self,
        in_flight: &InFlightCall,
        call: &ShardCall,
    ) -> Result<(), RefusalCause> {
        if !self.held_snapshots.borrow().holds(call.index_version, call.shard, Instant::now()) {
            return Err(RefusalCause::SnapshotUnknown);
        }
        let _slot = in_flight.acquire_slot().await?;
        in_flight.count_run();
        self.executions.record_query(&call.query);
        in_flight.run_search().await
    }

    /// Returns the reply to a search, with the next reply fault injected.
    fn reply_search(&self, call: &ShardCall, control: Option<&StreamControl>) -> HttpReply {
        let fault = self.fault.borrow_mut().take_reply_fault();
        let service = &self.identity.spec.service;
        let mut call = call.clone();
        match fault {
            Some(ReplyFault::CrossedAnswer) => {
                call.call_id += OTHER_CALL_OFFSET;
                call.query.push_str(OTHER_QUERY_SUFFIX);
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
        answer_reply(&answer, fault, control)
    }

    /// Handles `POST /v1/execute`.
    pub(crate) async fn execute(
        self: &Rc<SearcherNode>,
        request: &mut Request,
        control: Option<&StreamControl>,
    ) -> HttpReply {
        let Ok(call) = parse_body::<ExecuteCall>(request, MAX_CALL_BYTES).await else {
            return self.refuse(0, RefusalCause::Malformed);
        };
        let mut in_flight = InFlightCall::open(self, call.call_id, call.deadline_ms);
        let outcome = self.run_execute(&in_flight, &call).await;
        in_flight.record_outcome(outcome.err());
        match outcome {
            Err(cause) => self.refuse(call.call_id, cause),
            Ok(()) => self.reply_execute(&call, control),
        }
    }

    /// Acquires a slot, records the execution, and then waits for the service time.
    ///
    /// Once a call has its slot it counts as executed; a cancel or the deadline no longer ends it.
    async fn run_execute(
        &self,
        in_flight: &InFlightCall,
        call: &ExecuteCall,
    ) -> Result<(), RefusalCause> {
        let _slot = in_flight.acquire_slot().await?;
        in_flight.count_run();
        self.executions.add(self.execution(call));
        if self.fault.borrow_mut().take_duplicate_run() {
            self.executions.add(self.execution(call));
        }
        in_flight.run_to_completion().await;
        Ok(())
    }

    /// Returns the record of one execution of `call`.
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

    /// Returns the reply to an execute call, with the next reply fault injected.
    fn reply_execute(&self, call: &ExecuteCall, control: Option<&StreamControl>) -> HttpReply {
        let fault = self.fault.borrow_mut().take_reply_fault();
        let crossed = fault == Some(ReplyFault::CrossedAnswer);
        let answer = ExecuteAnswer {
            call_id: call.call_id + if crossed { OTHER_CALL_OFFSET } else { 0 },
            result: format!("done {:016x}", digest(&call.body)),
            load: self.load(),
            draining: self.draining(),
        };
        answer_reply(&answer, fault, control)
    }

    /// Returns a refusal. Reply faults do not apply to refusals.
    fn refuse(&self, call_id: CallId, cause: RefusalCause) -> HttpReply {
        let (load, draining) = (self.load(), self.draining());
        let status = match cause {
            RefusalCause::Malformed => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        json_reply(status, &SearcherRefusal { call_id, cause, load, draining })
    }
}

/// Returns the reply with `answer`, and makes the connection fail as `fault` demands.
fn answer_reply<T: Serialize>(
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
