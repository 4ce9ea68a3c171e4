//! Calls to a VM's admin API.

use std::fmt;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest body in bytes that is read.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Why a command could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ControlError {
    /// The VM was not reached or did not answer.
    NotReached {
        /// Which address was called.
        admin: String,
        /// What happened.
        problem: String,
    },
    /// The VM refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        text: String,
    },
    /// A file or an argument is wrong.
    BadInput {
        /// Which one.
        place: String,
        /// What is wrong.
        problem: String,
    },
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::NotReached { admin, problem } => {
                write!(f, "{admin} was not reached: {problem}; try another VM with --admin")
            }
            ControlError::Refused { status, text } => {
                write!(f, "refused with status {status}: {}", text.trim_end())
            }
            ControlError::BadInput { place, problem } => write!(f, "{place}: {problem}"),
        }
    }
}

/// A reply that was read whole.
pub(crate) struct AdminReply {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl AdminReply {
    /// The reply's JSON.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, ControlError> {
        serde_json::from_slice(&self.body).map_err(|_| ControlError::Refused {
            status: self.status.as_u16(),
            text: String::from_utf8_lossy(&self.body).into_owned(),
        })
    }
}

/// A client of one VM.
pub(crate) struct AdminClient {
    admin: String,
    token: Option<String>,
    client: Client,
}

impl AdminClient {
    /// A client of the VM at `admin`.
    pub(crate) fn new(admin: String, token: Option<String>) -> AdminClient {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        AdminClient { admin, token, client }
    }

    /// Gets a path's JSON; any status but success is an error.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ControlError> {
        let reply = self.call(Method::GET, path, None).await?;
        if reply.status.is_success() {
            return reply.read();
        }
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        Err(ControlError::Refused { status: reply.status.as_u16(), text })
    }

    /// Sends JSON; the caller reads the status.
    pub(crate) async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<AdminReply, ControlError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.call(method, path, Some(Bytes::from(body))).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<AdminReply, ControlError> {
        let mut request = self.client.request(method, format!("http://{}{path}", self.admin));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = request.send_body(body.unwrap_or_default()).await;
        let mut response = sent.map_err(|error| self.not_reached(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| self.not_reached(error.to_string()))?;
        Ok(AdminReply { status, body })
    }

    fn not_reached(&self, problem: String) -> ControlError {
        ControlError::NotReached { admin: self.admin.clone(), problem }
    }
}
