//! HTTP client of a VM's admin API.

use std::fmt;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a reply body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ControlError {
    /// The VM could not be reached or did not answer.
    Unreachable {
        /// Address of the admin API.
        address: String,
        /// Description of the transport error.
        problem: String,
    },
    /// The VM refused the request or sent an unexpected reply.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Body of the reply.
        text: String,
    },
    /// A file or an argument is invalid.
    InvalidInput {
        /// Name of the file, argument or field.
        input: String,
        /// What is wrong, or which value is expected.
        problem: String,
    },
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Unreachable { address, problem } => {
                write!(f, "cannot reach {address}: {problem}; use --admin to try another VM")
            }
            ControlError::Refused { status, text } => {
                write!(f, "request failed with HTTP status {status}: {}", text.trim_end())
            }
            ControlError::InvalidInput { input, problem } => write!(f, "{input}: {problem}"),
        }
    }
}

/// A reply whose body was read completely.
pub(crate) struct AdminReply {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl AdminReply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Refused`] with the body as its text if the body is not such JSON.
    pub(crate) fn parse_json<T: DeserializeOwned>(&self) -> Result<T, ControlError> {
        serde_json::from_slice(&self.body).map_err(|_| ControlError::Refused {
            status: self.status.as_u16(),
            text: String::from_utf8_lossy(&self.body).into_owned(),
        })
    }
}

/// Client of one VM's admin API.
pub(crate) struct AdminClient {
    address: String,
    token: Option<String>,
    client: Client,
}

impl AdminClient {
    /// Creates a client of the admin API at `address` (`ip:port`).
    pub(crate) fn new(address: String, token: Option<String>) -> AdminClient {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        AdminClient { address, token, client }
    }

    /// Sends a GET request and parses the JSON reply.
    ///
    /// # Errors
    ///
    /// Any status other than success is an error.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ControlError> {
        let reply = self.call(Method::GET, path, None).await?;
        if reply.status.is_success() {
            return reply.parse_json();
        }
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        Err(ControlError::Refused { status: reply.status.as_u16(), text })
    }

    /// Sends a request with a JSON body.
    ///
    /// The reply is returned whatever its status is; checking it is left to the caller.
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
        let mut request = self.client.request(method, format!("http://{}{path}", self.address));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = request.send_body(body.unwrap_or_default()).await;
        let mut response = sent.map_err(|error| self.unreachable_error(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| self.unreachable_error(error.to_string()))?;
        Ok(AdminReply { status, body })
    }

    fn unreachable_error(&self, problem: String) -> ControlError {
        ControlError::Unreachable { address: self.address.clone(), problem }
    }
}
