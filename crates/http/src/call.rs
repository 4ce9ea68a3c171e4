//! One call to a listener.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::HttpReply;

/// Serves one call.
pub type HttpHandler = Rc<dyn Fn(HttpCall) -> LocalBoxFuture<'static, HttpReply>>;

/// A call whose head and body have been read.
#[derive(Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty if there is none.
    pub query: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Where the call came from.
    pub peer: SocketAddr,
}

impl HttpCall {
    /// A header's text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The value of a query parameter, not percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}
