//! Reading request bodies and building replies.

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

/// HTTP reply of a stand-in.
pub(crate) type HttpReply = Response<BoxBody>;

/// Reads a whole body; returns `None` if it exceeds `limit` bytes or is incomplete.
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

/// Reads a JSON body.
///
/// # Errors
///
/// Returns a message if the body is too large, incomplete, or not the expected JSON.
pub(crate) async fn parse_body<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, String> {
    let body = read_body(request, limit).await.ok_or("the body is too large or incomplete")?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Builds a reply with a JSON body.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// Builds a reply without a body.
pub(crate) fn empty_reply(status: StatusCode) -> HttpReply {
    Response::new(status).map_into_boxed_body()
}
