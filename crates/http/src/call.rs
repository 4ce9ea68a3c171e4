//! Calls to a listener.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::HttpReply;

/// A function that serves one call.
pub type HttpHandler = Rc<dyn Fn(HttpCall) -> LocalBoxFuture<'static, HttpReply>>;

/// A call whose head and body have been read.
#[derive(Debug)]
pub struct HttpCall {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Whether there is a query, be it empty: `/path?` is not `/path`.
    pub has_query: bool,
    /// All headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Address of the client.
    pub peer: SocketAddr,
    /// When the head had arrived.
    pub arrived: Instant,
}

impl HttpCall {
    /// Returns the value of a header, if present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}
