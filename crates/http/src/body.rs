//! Reading of request bodies within the limits of size and time.

use actix_http::Payload;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use tokio::time::timeout;

use crate::HttpLimits;

/// The reason that a body could not be read.
pub(crate) enum BodyError {
    /// The body exceeds the maximum length.
    TooLong,
    /// The body did not arrive in full before the timeout.
    TooSlow,
    /// The peer disconnected, or the framing is invalid.
    Broken,
}

impl BodyError {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
        }
    }

    pub(crate) fn problem(&self) -> &'static str {
        match self {
            BodyError::TooLong => "is too long",
            BodyError::TooSlow => "did not arrive in time",
            BodyError::Broken => "broke off",
        }
    }
}

/// Reads a whole body.
pub(crate) async fn read_body(payload: Payload, limits: &HttpLimits) -> Result<Bytes, BodyError> {
    match timeout(limits.body_timeout, collect(payload, limits.max_body_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect(mut payload: Payload, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
