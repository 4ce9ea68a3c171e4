//! Body of an answer, whose end is noted on its connection.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use bytes::Bytes;

use crate::memory_budget::MemoryShare;
use crate::registry::ConnectionCalls;

/// The body of an answer. Dropping it tells the connection that nothing more is produced.
pub(crate) struct AnswerBody {
    body: BoxBody,
    calls: Rc<ConnectionCalls>,
}

impl AnswerBody {
    /// Wraps `body`. `share` is the memory that it takes until it is written.
    pub(crate) fn new(
        body: BoxBody,
        calls: Rc<ConnectionCalls>,
        share: Option<MemoryShare>,
    ) -> AnswerBody {
        calls.hold_answer(share);
        AnswerBody { body, calls }
    }
}

impl MessageBody for AnswerBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.calls.flow.complete_answer();
    }
}
