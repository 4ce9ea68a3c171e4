//! Listeners, and connections with injectable faults.

mod fault_stream;
mod http;
mod listener;

pub(crate) use fault_stream::FaultStream;
pub(crate) use fault_stream::StreamControl;
pub(crate) use http::HttpReply;
pub(crate) use http::empty_reply;
pub(crate) use http::json_reply;
pub(crate) use http::parse_body;
pub(crate) use http::read_body;
pub(crate) use listener::ConnectionLimiter;
pub(crate) use listener::EndpointListener;
pub(crate) use listener::bind;
pub(crate) use listener::reserve;
pub(crate) use listener::serve;
