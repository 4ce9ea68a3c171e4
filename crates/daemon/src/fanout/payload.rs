//! What the driver keeps of a query beside the engine.

use std::rc::Rc;

use http::HeaderValue;
use oleanderwind_http::ClientReply;
use oleanderwind_policy::FanoutResult;
use oleanderwind_wire::SearchHit;

use crate::edge::OpaqueRequest;

/// What a query sends and what it has got so far.
pub(crate) enum QueryPayload {
    /// A search in the product's own protocol.
    Search {
        /// The query's text.
        text: Rc<str>,
        /// Hits of every merged answer, unordered.
        hits: Vec<SearchHit>,
    },
    /// A request that is passed on unread.
    Forward {
        /// The request.
        request: Rc<OpaqueRequest>,
        /// Answers that count.
        replies: Vec<SignedReply>,
        /// The last signed failure of a target.
        failure: Option<SignedReply>,
    },
}

/// A target's own signed reply.
#[derive(Debug)]
pub(crate) struct SignedReply {
    pub(crate) signature: HeaderValue,
    pub(crate) reply: ClientReply,
}

/// An answer that waits for the engine's decision.
pub(crate) enum CallAnswer {
    Hits(Vec<SearchHit>),
    Reply(Box<SignedReply>),
}

/// What a query came to.
pub(crate) struct FanoutReply {
    pub(crate) result: FanoutResult,
    pub(crate) payload: QueryPayload,
}

impl QueryPayload {
    /// A search without hits yet.
    pub(crate) fn search(text: &str) -> QueryPayload {
        QueryPayload::Search { text: Rc::from(text), hits: Vec::new() }
    }

    /// A request without answers yet.
    pub(crate) fn forward(request: Rc<OpaqueRequest>) -> QueryPayload {
        QueryPayload::Forward { request, replies: Vec::new(), failure: None }
    }

    /// Takes in an answer that counts.
    pub(crate) fn merge(&mut self, answer: CallAnswer) {
        match (self, answer) {
            (QueryPayload::Search { hits, .. }, CallAnswer::Hits(more)) => hits.extend(more),
            (QueryPayload::Forward { replies, .. }, CallAnswer::Reply(more)) => replies.push(*more),
            (QueryPayload::Search { .. }, CallAnswer::Reply(_))
            | (QueryPayload::Forward { .. }, CallAnswer::Hits(_)) => {
                log::error!("an answer does not fit its query");
            }
        }
    }
}
