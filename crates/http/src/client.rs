//! One client connection under full control.
//!
//! hyper's client connection stands here in place of awc's pool: a lane has to know whether its
//! connection is open, whether a request left at all, and to end the connection at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An idle connection older than this is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// A server may close an idle connection this much before the time that it announced, as its clock
/// started earlier and its bytes are still on the way.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Bytes read at once; most replies are a few kilobytes.
const READ_BUFFER_BYTES: usize = 16 * 1_024;

/// Bounds of one lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time to connect.
    pub connect_timeout: Duration,
    /// Sent bytes that stay unacknowledged this long break the connection.
    pub unacknowledged_timeout: Duration,
    /// An idle connection is probed after this time; a second probe without an answer breaks it.
    pub keepalive_interval: Option<Duration>,
    /// Longest body in bytes that is read.
    pub max_body_bytes: usize,
}

/// Why a call over a lane has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// Nothing was sent.
    NotConnected,
    /// The connection broke after something may have been sent.
    Broken,
}

/// A call under way; it owns its connection until its reply is whole, and dropping it closes the
/// connection.
pub type ClientExchange = LocalBoxFuture<'static, Result<ClientReply, ClientError>>;

/// A reply as bytes.
#[derive(Debug)]
pub struct ClientReply {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// One connection, made when it is first used and after it broke.
pub struct HttpClient {
    state: Rc<LaneState>,
}

struct LaneState {
    address: SocketAddr,
    settings: ClientSettings,
    link: RefCell<Option<LaneLink>>,
    /// Connections made.
    connects: Rc<Cell<u64>>,
}

/// An open connection.
struct LaneLink {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    usable_until: Instant,
}

impl Drop for LaneLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpClient {
    /// A lane that connects when it is first used; `connects` counts its connections.
    pub fn new(
        address: SocketAddr,
        settings: ClientSettings,
        connects: Rc<Cell<u64>>,
    ) -> HttpClient {
        let link = RefCell::new(None);
        HttpClient { state: Rc::new(LaneState { address, settings, link, connects }) }
    }

    /// Whether its connection is open and may be used.
    pub fn is_open(&self) -> bool {
        self.state.link.borrow().as_ref().is_some_and(LaneLink::is_usable)
    }

    /// Posts JSON and reads the whole reply, however long it takes.
    pub fn post<T: Serialize>(&self, path: &str, call: &T) -> ClientExchange {
        let body = match serde_json::to_vec(call) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!("a call could not be written as JSON: {error}");
                return std::future::ready(Err(ClientError::NotConnected)).boxed_local();
            }
        };
        let request = Request::post(path)
            .header(header::HOST, self.state.address.to_string())
            .header(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(Full::new(body));
        self.send_built(request)
    }

    /// Gets a path, however long it takes.
    pub fn get(&self, path: &str) -> ClientExchange {
        let request = Request::get(path)
            .header(header::HOST, self.state.address.to_string())
            .body(Full::default());
        self.send_built(request)
    }

    /// Sends a request and reads the whole reply, however long it takes.
    pub fn send(&self, request: Request<Full<Bytes>>) -> ClientExchange {
        exchange(self.state.clone(), request).boxed_local()
    }

    fn send_built(&self, request: http::Result<Request<Full<Bytes>>>) -> ClientExchange {
        match request {
            Ok(request) => self.send(request),
            Err(error) => {
                log::error!("a call could not be built: {error}");
                std::future::ready(Err(ClientError::NotConnected)).boxed_local()
            }
        }
    }
}

async fn exchange(
    state: Rc<LaneState>,
    request: Request<Full<Bytes>>,
) -> Result<ClientReply, ClientError> {
    let held = state.link.borrow_mut().take().filter(LaneLink::is_usable);
    let mut link = match held {
        Some(link) => link,
        None => connect(&state).await?,
    };
    let reply = link.exchange(request, state.settings.max_body_bytes).await?;
    if link.is_usable() {
        *state.link.borrow_mut() = Some(link);
    }
    Ok(reply)
}

async fn connect(state: &LaneState) -> Result<LaneLink, ClientError> {
    state.connects.set(state.connects.get() + 1);
    let connected =
        timeout(state.settings.connect_timeout, TcpStream::connect(state.address)).await;
    let Ok(Ok(stream)) = connected else { return Err(ClientError::NotConnected) };
    if let Err(error) = set_options(&stream, &state.settings) {
        log::debug!("options of a connection to {} could not be set: {error}", state.address);
    }
    let handshake =
        http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|_| ClientError::NotConnected)?;
    // What breaks a connection shows in the exchange under way.
    let driver = actix_rt::spawn(async move { drop(connection.await) });
    Ok(LaneLink { sender, driver, usable_until: Instant::now() + IDLE_TIME })
}

fn set_options(stream: &TcpStream, settings: &ClientSettings) -> std::io::Result<()> {
    let options = SockRef::from(stream);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(settings.unacknowledged_timeout))?;
    if let Some(time) = settings.keepalive_interval {
        let probes = TcpKeepalive::new().with_time(time).with_interval(time).with_retries(2);
        options.set_tcp_keepalive(&probes)?;
    }
    Ok(())
}

impl LaneLink {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && Instant::now() < self.usable_until
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
    ) -> Result<ClientReply, ClientError> {
        self.sender.ready().await.map_err(|_| ClientError::NotConnected)?;
        let response = self.sender.try_send_request(request).await.map_err(|error| {
            // The request comes back when none of it was written.
            match error.message() {
                Some(_) => ClientError::NotConnected,
                None => ClientError::Broken,
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, body_bytes).collect().await;
        let body = body.map_err(|_| ClientError::Broken)?.to_bytes();
        self.usable_until = Instant::now() + idle_time(&head.headers);
        Ok(ClientReply { status: head.status, headers: head.headers, body })
    }
}

/// How long the connection may stay idle after a reply with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let parameters = announced.into_iter().flat_map(|text| text.split(','));
    let seconds = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    seconds.map_or(IDLE_TIME, |seconds| {
        Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(IDLE_TIME)
    })
}
