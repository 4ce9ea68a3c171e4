//! What the driver keeps of a query beside the engine.

use std::rc::Rc;

use http::HeaderValue;
use oleanderwind_http::ClientReply;
use oleanderwind_policy::FanoutResult;
use oleanderwind_wire::SearchHit;

use crate::edge::OpaqueRequest;

/// What a query sends and what it has got so far.
pub(crate) enum QueryWork {
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
        parts: Vec<TargetPart>,
        /// The last signed failure of a target.
        failure: Option<TargetPart>,
    },
}

/// A target's own signed reply.
#[derive(Debug)]
pub(crate) struct TargetPart {
    pub(crate) signature: HeaderValue,
    pub(crate) reply: ClientReply,
}

/// An answer that waits for the engine's decision.
pub(crate) enum CallAnswer {
    Hits(Vec<SearchHit>),
    Part(Box<TargetPart>),
}

/// What a query came to.
pub(crate) struct FanoutReply {
    pub(crate) result: FanoutResult,
    pub(crate) work: QueryWork,
}

impl QueryWork {
    /// A search without hits yet.
    pub(crate) fn search(text: &str) -> QueryWork {
        QueryWork::Search { text: Rc::from(text), hits: Vec::new() }
    }

    /// A request without answers yet.
    pub(crate) fn forward(request: Rc<OpaqueRequest>) -> QueryWork {
        QueryWork::Forward { request, parts: Vec::new(), failure: None }
    }

    /// Takes in an answer that counts.
    pub(crate) fn merge(&mut self, answer: CallAnswer) {
        match (self, answer) {
            (QueryWork::Search { hits, .. }, CallAnswer::Hits(more)) => hits.extend(more),
            (QueryWork::Forward { parts, .. }, CallAnswer::Part(part)) => parts.push(*part),
            (QueryWork::Search { .. }, CallAnswer::Part(_))
            | (QueryWork::Forward { .. }, CallAnswer::Hits(_)) => {
                log::error!("an answer does not fit its query");
            }
        }
    }
}
