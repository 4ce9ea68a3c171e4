//! Replies to calls.

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use serde::Serialize;

/// A reply to a call.
#[derive(Debug)]
pub struct HttpReply {
    pub(crate) response: Response<BoxBody>,
}

impl HttpReply {
    /// Returns an empty reply.
    pub fn empty(status: StatusCode) -> HttpReply {
        HttpReply { response: Response::with_body(status, BoxBody::new(())) }
    }

    /// Returns a JSON reply.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
        match serde_json::to_vec(value) {
            Ok(body) => HttpReply::bytes(status, "application/json", Bytes::from(body)),
            Err(error) => {
                log::error!("failed to serialize a reply: {error}");
                HttpReply::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Returns a JSON reply with status 200.
    pub fn json_ok<T: Serialize>(value: &T) -> HttpReply {
        HttpReply::json(StatusCode::OK, value)
    }

    /// Returns a plain-text reply.
    pub fn text(status: StatusCode, text: impl Into<String>) -> HttpReply {
        HttpReply::bytes(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
    }

    /// Returns a reply of bytes with a content type.
    pub fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpReply {
        HttpReply::empty(status)
            .with_body(BoxBody::new(body))
            .with_header("content-type", content_type)
    }

    /// Returns a reply whose body is streamed in chunks. An error in the stream truncates the body.
    pub fn stream(
        status: StatusCode,
        chunks: LocalBoxStream<'static, Result<Bytes, std::io::Error>>,
    ) -> HttpReply {
        HttpReply::empty(status).with_body(BoxBody::new(BodyStream::new(chunks)))
    }

    /// Returns a reply of bytes without a content type.
    pub fn raw(status: StatusCode, body: Bytes) -> HttpReply {
        HttpReply::empty(status).with_body(BoxBody::new(body))
    }

    /// Appends a header given as bytes, in addition to others of the same name. An invalid header
    /// is omitted.
    pub fn add_header(&mut self, name: &[u8], value: &[u8]) {
        let name = actix_http::header::HeaderName::from_bytes(name);
        let value = actix_http::header::HeaderValue::from_bytes(value);
        match (name, value) {
            (Ok(name), Ok(value)) => self.response.headers_mut().append(name, value),
            _ => log::warn!("omitted an invalid header from a reply"),
        }
    }

    /// Closes the connection after this reply.
    pub fn closing(mut self) -> HttpReply {
        self.response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        self
    }

    /// Sets a header. A header with an invalid value is omitted.
    pub fn with_header(mut self, name: &'static str, value: &str) -> HttpReply {
        if let Ok(value) = value.parse() {
            let name = actix_http::header::HeaderName::from_static(name);
            self.response.headers_mut().insert(name, value);
        }
        self
    }

    /// Returns the status of the reply.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    fn with_body(self, body: BoxBody) -> HttpReply {
        HttpReply { response: self.response.set_body(body) }
    }
}
