//! Reading of request bodies within the limits of size, time and memory.

use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::HttpLimits;
use crate::flow::ConnectionFlow;
use crate::flow::PROGRESS_BYTES;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryPurpose;
use crate::memory_budget::MemoryShare;

/// Memory for which a body asks first, in bytes.
const FIRST_SHARE_BYTES: usize = 4 * 1_024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// There is no body.
    None,
    /// After so many bytes.
    Length(u64),
    /// By its last chunk.
    Chunks,
}

impl BodyFraming {
    /// Returns the framing that a request's head states.
    pub(crate) fn of(request: &Request) -> BodyFraming {
        if request.chunked().unwrap_or(false) {
            return BodyFraming::Chunks;
        }
        let length = request.headers().get("content-length").and_then(|value| value.to_str().ok());
        match length.and_then(|length| length.trim().parse().ok()) {
            None | Some(0) => BodyFraming::None,
            Some(length) => BodyFraming::Length(length),
        }
    }

    /// Returns whether the body is no longer than `bytes`.
    pub(crate) fn is_within(self, bytes: usize) -> bool {
        match self {
            BodyFraming::None => true,
            BodyFraming::Length(length) => length <= bytes as u64,
            BodyFraming::Chunks => false,
        }
    }
}

/// The reason that a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body exceeds the maximum length.
    TooLong,
    /// The body did not arrive in full before the timeout.
    TooSlow,
    /// The peer disconnected, or the framing is invalid.
    Broken,
    /// Memory is short.
    NoMemory,
}

impl BodyError {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(crate) fn problem(self) -> &'static str {
        match self {
            BodyError::TooLong => "is too long",
            BodyError::TooSlow => "did not arrive in time",
            BodyError::Broken => "broke off",
            BodyError::NoMemory => "finds no memory",
        }
    }
}

/// A body that has been read, and the memory that it takes.
pub(crate) struct ReadBody {
    pub(crate) bytes: Bytes,
    pub(crate) share: Option<MemoryShare>,
}

/// Reads a whole body.
pub(crate) async fn read_body(
    payload: Payload,
    framing: BodyFraming,
    limits: &HttpLimits,
    memory: Option<Rc<MemoryBudget>>,
    flow: &ConnectionFlow,
) -> Result<ReadBody, BodyError> {
    let max_bytes = match framing {
        BodyFraming::None => return Ok(ReadBody { bytes: Bytes::new(), share: None }),
        BodyFraming::Length(length) if length > limits.max_body_bytes as u64 => {
            return Err(BodyError::TooLong);
        }
        BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        BodyFraming::Chunks => limits.max_body_bytes,
    };
    let closing = Rc::new(Notify::new());
    let share =
        memory.map(|memory| MemoryShare::new(memory, MemoryPurpose::Bodies, closing.clone()));
    let reading = collect(payload, framing, max_bytes, share.as_ref(), flow);
    let read = tokio::select! {
        read = timeout(limits.body_timeout, reading) => read.unwrap_or(Err(BodyError::TooSlow)),
        () = closing.notified() => Err(BodyError::NoMemory),
    };
    if let Some(share) = &share {
        share.complete();
    }
    read.map(|bytes| ReadBody { bytes, share })
}

async fn collect(
    mut payload: Payload,
    framing: BodyFraming,
    max_bytes: usize,
    share: Option<&MemoryShare>,
    flow: &ConnectionFlow,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    let mut marked = 0;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        let length = body.len() + chunk.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > body.capacity() {
            let room = (2 * length).max(FIRST_SHARE_BYTES).min(max_bytes);
            if let Some(share) = share {
                flow.pause(true);
                let is_granted = share.grow(room).await;
                flow.pause(false);
                if !is_granted {
                    return Err(BodyError::NoMemory);
                }
            }
            body.reserve(room - body.len());
        }
        body.extend_from_slice(&chunk);
        if body.len() - marked >= PROGRESS_BYTES {
            marked = body.len();
            if let Some(share) = share {
                share.mark();
            }
        }
        // The framing of an offered upgrade has no end of its own.
        if framing == BodyFraming::Length(length as u64) {
            break;
        }
    }
    Ok(body.freeze())
}
