//! The reply to a call.

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use serde::Serialize;

/// A reply under construction.
#[derive(Debug)]
pub struct HttpReply {
    pub(crate) response: Response<BoxBody>,
}

impl HttpReply {
    /// An empty reply.
    pub fn empty(status: StatusCode) -> HttpReply {
        HttpReply { response: Response::with_body(status, BoxBody::new(())) }
    }

    /// A JSON reply.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
        match serde_json::to_vec(value) {
            Ok(body) => HttpReply::bytes(status, "application/json", Bytes::from(body)),
            Err(error) => {
                log::error!("a reply could not be written as JSON: {error}");
                HttpReply::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// A JSON reply to a call that went well.
    pub fn json_ok<T: Serialize>(value: &T) -> HttpReply {
        HttpReply::json(StatusCode::OK, value)
    }

    /// A reply of plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> HttpReply {
        HttpReply::bytes(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
    }

    /// A reply of bytes with their content type.
    pub fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpReply {
        HttpReply::empty(status)
            .with_body(BoxBody::new(body))
            .with_header("content-type", content_type)
    }

    /// A reply whose body is streamed in chunks; an error cuts it short.
    pub fn stream(
        status: StatusCode,
        chunks: LocalBoxStream<'static, Result<Bytes, std::io::Error>>,
    ) -> HttpReply {
        HttpReply::empty(status).with_body(BoxBody::new(BodyStream::new(chunks)))
    }

    /// A reply of bytes without a content type.
    pub fn raw(status: StatusCode, body: Bytes) -> HttpReply {
        HttpReply::empty(status).with_body(BoxBody::new(body))
    }

    /// Adds a header given as bytes, beside others of its name.
    pub fn add_header(&mut self, name: &[u8], value: &[u8]) {
        let name = actix_http::header::HeaderName::from_bytes(name);
        let value = actix_http::header::HeaderValue::from_bytes(value);
        match (name, value) {
            (Ok(name), Ok(value)) => self.response.headers_mut().append(name, value),
            _ => log::warn!("a header of a reply is left out, as it is not valid"),
        }
    }

    /// Makes the reply close its connection.
    pub fn closing(mut self) -> HttpReply {
        self.response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        self
    }

    /// Adds a header; an invalid value is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> HttpReply {
        if let Ok(value) = value.parse() {
            let name = actix_http::header::HeaderName::from_static(name);
            self.response.headers_mut().insert(name, value);
        }
        self
    }

    /// The reply's status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    fn with_body(self, body: BoxBody) -> HttpReply {
        HttpReply { response: self.response.set_body(body) }
    }
}
