//! Requests and answers of running queries, which the engine does not hold.

use std::rc::Rc;

use http::HeaderValue;
use oleanderwind_http::ClientReply;
use oleanderwind_policy::FanoutResult;
use oleanderwind_wire::SearchHit;

use crate::edge::OpaqueRequest;

/// Request of a query and the answers received so far.
pub(crate) enum QueryPayload {
    /// A search in the searcher protocol.
    Search {
        /// Query text.
        text: Rc<str>,
        /// Hits of all merged answers, unordered.
        hits: Vec<SearchHit>,
    },
    /// A request that is forwarded without being parsed.
    Forward {
        request: Rc<OpaqueRequest>,
        /// Whether the replies are parts of one answer, whatever their number.
        is_gathered: bool,
        /// Merged replies.
        replies: Vec<SignedReply>,
        /// Most recent signed failure reply of a target.
        failure: Option<SignedReply>,
    },
}

/// A reply that carries the signature of the target that made it.
#[derive(Debug)]
pub(crate) struct SignedReply {
    pub(crate) signature: HeaderValue,
    pub(crate) reply: ClientReply,
}

/// Answer to a call, held until the engine merges or ignores it.
pub(crate) enum CallAnswer {
    Hits(Vec<SearchHit>),
    Reply(Box<SignedReply>),
}

/// Result of a query, with the merged answers.
pub(crate) struct FanoutReply {
    pub(crate) result: FanoutResult,
    pub(crate) payload: QueryPayload,
}

impl QueryPayload {
    /// Returns the payload of a search without hits.
    pub(crate) fn search(text: &str) -> QueryPayload {
        QueryPayload::Search { text: Rc::from(text), hits: Vec::new() }
    }

    /// Returns the payload of a forwarded request without replies.
    pub(crate) fn forward(request: Rc<OpaqueRequest>, is_gathered: bool) -> QueryPayload {
        QueryPayload::Forward { request, is_gathered, replies: Vec::new(), failure: None }
    }

    /// Adds an answer that the engine merged.
    pub(crate) fn merge(&mut self, answer: CallAnswer) {
        match (self, answer) {
            (QueryPayload::Search { hits, .. }, CallAnswer::Hits(more)) => hits.extend(more),
            (QueryPayload::Forward { replies, .. }, CallAnswer::Reply(more)) => replies.push(*more),
            (QueryPayload::Search { .. }, CallAnswer::Reply(_))
            | (QueryPayload::Forward { .. }, CallAnswer::Hits(_)) => {
                log::error!("dropped an answer whose kind does not match its query");
            }
        }
    }
}
