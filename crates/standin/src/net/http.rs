//! Bodies of requests and replies.

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Every reply of the stand-ins.
pub(crate) type HttpReply = Response<BoxBody>;

/// Reads a whole body, or `None` when it is larger than `limit` bytes or breaks off.
pub(crate) async fn read_body(request: &mut Request, limit: usize) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    Some(body.freeze())
}

/// Reads a body of JSON.
///
/// # Errors
///
/// Text for people when the body is too large or isn't the expected JSON.
pub(crate) async fn parse_body<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, String> {
    let body = read_body(request, limit).await.ok_or("the body is too large or incomplete")?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// A reply of JSON.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// A reply without a body.
pub(crate) fn empty_reply(status: StatusCode) -> HttpReply {
    Response::new(status).map_into_boxed_body()
}
