//! One connection to a target.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::StatusCode;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use oleanderwind_http::is_unsent;
use serde::Serialize;

use crate::edge::announced_length;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An idle connection older than this is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Longest body in bytes that is read.
const MAX_BODY_BYTES: usize = 1_024 * 1_024;

/// Why a call over a lane has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LaneError {
    /// The connection could not be made; nothing was sent.
    NotConnected,
    /// The connection broke after something may have been sent.
    Broken,
}

/// A call under way; it owns its connection until its reply is whole.
pub(crate) type LaneExchange = LocalBoxFuture<'static, Result<LaneReply, LaneError>>;

/// A reply as bytes.
#[derive(Debug)]
pub(crate) struct LaneReply {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// A client limited to one connection.
pub(crate) struct Lane {
    base: String,
    client: Client,
}

impl Lane {
    /// A lane that connects when it is first used.
    pub(crate) fn new(address: SocketAddr) -> Lane {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_TIME)
            .conn_lifetime(Duration::from_secs(3_600))
            .limit(1);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Lane { base: format!("http://{address}"), client }
    }

    /// Posts JSON and reads the whole reply, however long it takes.
    pub(crate) fn post<T: Serialize>(&self, path: &str, call: &T) -> LaneExchange {
        read_reply(self.client.post(format!("{}{path}", self.base)).send_json(call)).boxed_local()
    }

    /// Gets a path, however long it takes.
    pub(crate) fn get(&self, path: &str) -> LaneExchange {
        read_reply(self.client.get(format!("{}{path}", self.base)).send()).boxed_local()
    }
}

async fn read_reply(request: awc::SendClientRequest) -> Result<LaneReply, LaneError> {
    let mut response = request.await.map_err(|error| lane_error(&error))?;
    let status = response.status();
    let length = announced_length(&response);
    let body = response.body().limit(MAX_BODY_BYTES).await.map_err(|_| LaneError::Broken)?;
    // The client takes a body that breaks off for a whole one.
    if length.is_some_and(|length| length != body.len()) {
        return Err(LaneError::Broken);
    }
    Ok(LaneReply { status, body })
}

fn lane_error(error: &awc::error::SendRequestError) -> LaneError {
    match is_unsent(error) {
        true => LaneError::NotConnected,
        false => LaneError::Broken,
    }
}
