//! Client of the Object API over HTTP.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::Method;
use awc::http::StatusCode;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use oleanderwind_http::is_unsent;
use oleanderwind_policy as policy;
use oleanderwind_policy::Revision;
use oleanderwind_wire::API_PREFIX;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectList;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::edge::ObjectKind;
use crate::edge::PlatformClient;
use crate::edge::PlatformError;
use crate::edge::WatchHold;
use crate::edge::WatchStream;
use crate::edge::announced_length;
use crate::platform::watch_events::WatchEventDecoder;

/// Timeout for a call other than a watch, and for the start of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration for which the platform is asked to keep a watch open.
const WATCH_DURATION: Duration = Duration::from_secs(4);
/// Time without data after which a watch fails.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of connections for calls other than watches.
const MAX_CALL_CONNECTIONS: usize = 16;
/// Maximum size of a reply's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Client of the Object API at one address.
pub(crate) struct HttpPlatformClient {
    base: String,
    calls: Client,
    watches: Client,
}

impl HttpPlatformClient {
    /// Creates a client, which connects on first use.
    pub(crate) fn new(address: SocketAddr) -> HttpPlatformClient {
        HttpPlatformClient {
            base: format!("http://{address}{API_PREFIX}"),
            calls: build_client(MAX_CALL_CONNECTIONS),
            watches: build_client(policy::ObjectKind::ALL.len() * 2),
        }
    }

    /// Makes one call and parses the JSON reply.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: String,
        body: Option<&ObjectDocument>,
    ) -> Result<T, PlatformError> {
        match timeout(CALL_TIMEOUT, self.send(method, path, body)).await {
            Ok(result) => result.and_then(|body| parse_json(&body)),
            Err(_) => Err(PlatformError::Uncertain("no answer in time".to_owned())),
        }
    }

    /// Sends a call and reads the whole reply.
    async fn send(
        &self,
        method: Method,
        path: String,
        body: Option<&ObjectDocument>,
    ) -> Result<Bytes, PlatformError> {
        let request = self.calls.request(method.clone(), format!("{}/{path}", self.base));
        let sent = match body {
            Some(object) => request.content_type("application/json").send_body(object.to_bytes()),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|error| convert_send_error(&error))?;
        let status = response.status();
        let content_length = announced_length(&response);
        let body = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|error| PlatformError::Uncertain(error.to_string()))?;
        if content_length.is_some_and(|length| length != body.len()) {
            return Err(PlatformError::Uncertain("the reply broke off".to_owned()));
        }
        match status.is_success() {
            true => Ok(body),
            false => Err(convert_status(&method, status, &body)),
        }
    }
}

impl PlatformClient for HttpPlatformClient {
    fn kinds(&self) -> &'static [policy::ObjectKind] {
        &[
            policy::ObjectKind::Contracts,
            policy::ObjectKind::Snapshots,
            policy::ObjectKind::Targets,
            policy::ObjectKind::Vms,
        ]
    }

    fn has_evacuations(&self) -> bool {
        false
    }

    fn requires_self_registration(&self) -> bool {
        false
    }

    fn supports_watch_resume(&self) -> bool {
        true
    }

    fn list(&self, kind: ObjectKind) -> LocalBoxFuture<'_, Result<ObjectList, PlatformError>> {
        self.call(Method::GET, kind.as_str().to_owned(), None).boxed_local()
    }

    fn get<'a>(
        &'a self,
        kind: ObjectKind,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>> {
        self.call(Method::GET, format!("{}/{name}", kind.as_str()), None).boxed_local()
    }

    fn create<'a>(
        &'a self,
        kind: ObjectKind,
        object: &'a ObjectDocument,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>> {
        self.call(Method::POST, kind.as_str().to_owned(), Some(object)).boxed_local()
    }

    fn update<'a>(
        &'a self,
        kind: ObjectKind,
        object: &'a ObjectDocument,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>> {
        let path = format!("{}/{}", kind.as_str(), object.metadata.name);
        self.call(Method::PUT, path, Some(object)).boxed_local()
    }

    fn watch(
        &self,
        kind: ObjectKind,
        after: Revision,
        _hold: WatchHold,
    ) -> LocalBoxFuture<'_, Result<WatchStream, PlatformError>> {
        let url = format!(
            "{}/{}?watch=1&resourceVersion={after}&timeoutSeconds={}",
            self.base,
            kind.as_str(),
            WATCH_DURATION.as_secs()
        );
        async move {
            let sent = timeout(CALL_TIMEOUT, self.watches.get(url).send()).await;
            let mut response = sent
                .map_err(|_| PlatformError::Uncertain("no answer in time".to_owned()))?
                .map_err(|error| convert_send_error(&error))?;
            if !response.status().is_success() {
                let body = response.body().await.unwrap_or_default();
                return Err(convert_status(&Method::GET, response.status(), &body));
            }
            let state = WatchState {
                response: response.boxed_local(),
                decoder: WatchEventDecoder::default(),
                ready: VecDeque::new(),
            };
            Ok(stream::unfold(state, next_event).boxed_local())
        }
        .boxed_local()
    }
}

/// State of a running watch.
struct WatchState {
    response: stream::LocalBoxStream<'static, Result<Bytes, awc::error::PayloadError>>,
    decoder: WatchEventDecoder,
    ready: VecDeque<Result<oleanderwind_wire::WatchEvent, PlatformError>>,
}

/// Returns the next event; `None` at the end of the watch.
async fn next_event(
    mut state: WatchState,
) -> Option<(Result<oleanderwind_wire::WatchEvent, PlatformError>, WatchState)> {
    loop {
        if let Some(event) = state.ready.pop_front() {
            return Some((event, state));
        }
        match timeout(WATCH_IDLE_TIMEOUT, state.response.next()).await {
            Ok(Some(Ok(chunk))) => state.ready.extend(state.decoder.decode(&chunk)),
            Ok(None) => return None,
            Ok(Some(Err(_))) | Err(_) => {
                let error = PlatformError::Uncertain("the watch broke off".to_owned());
                return Some((Err(error), state));
            }
        }
    }
}

fn build_client(max_connections: usize) -> Client {
    let connector = Connector::new().timeout(CALL_TIMEOUT).limit(max_connections);
    Client::builder().connector(connector).disable_timeout().finish()
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Uncertain(format!("the reply is not as agreed: {error}")))
}

/// Converts a send error: a call that was not sent had no effect, any other may have had one.
fn convert_send_error(error: &awc::error::SendRequestError) -> PlatformError {
    match is_unsent(error) {
        true => PlatformError::Refused(error.to_string()),
        false => PlatformError::Uncertain(error.to_string()),
    }
}

/// Converts a status other than success.
fn convert_status(method: &Method, status: StatusCode, body: &[u8]) -> PlatformError {
    match status {
        // A proxy that timed out may have forwarded the call.
        StatusCode::REQUEST_TIMEOUT => PlatformError::Uncertain(format!("status {status}")),
        _ => PlatformError::from_status(status.as_u16(), *method == Method::POST, body),
    }
}
