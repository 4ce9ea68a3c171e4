//! Endpoints that a listener can serve.

use std::rc::Rc;

use actix_http::Request;

use crate::control::answer_control;
use crate::net::HttpReply;
use crate::platform::PlatformNode;
use crate::searcher::SearcherNode;
use crate::server::ServerState;

/// Endpoint that a listener serves.
#[derive(Clone, Debug)]
pub(crate) enum ServedEndpoint {
    /// The Object API.
    Platform(Rc<PlatformNode>),
    /// A searcher.
    Searcher(Rc<SearcherNode>),
    /// The control port.
    Control(Rc<ServerState>),
}

impl ServedEndpoint {
    /// Handles a request and returns the reply.
    pub(crate) async fn answer(&self, request: Request) -> HttpReply {
        match self {
            ServedEndpoint::Platform(platform) => platform.answer(request).await,
            ServedEndpoint::Searcher(searcher) => searcher.answer(request).await,
            ServedEndpoint::Control(state) => answer_control(state, request).await,
        }
    }
}
