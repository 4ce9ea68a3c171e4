//! A client with a single connection.
//!
//! It is built on hyper's client connection instead of awc's pool, because it has to know whether
//! its connection is open and whether any part of a request was sent, and it has to be able to
//! close the connection at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::metered_stream::ByteMeter;
use crate::metered_stream::MeteredStream;
use crate::metered_stream::WIRE_BYTES_PER_BODY_BYTE;
use crate::reply_memory::ReplyMemory;
use crate::reply_memory::ReplyReservation;

/// Maximum time for which an idle connection is reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Safety margin before the idle timeout that a server announces. The server's timer started
/// earlier, and the bytes that close the connection may still be in transit.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Size of the read buffer; most replies are a few kilobytes.
const READ_BUFFER_BYTES: usize = 16 * 1_024;

/// Maximum number of bytes before the body of a reply, interim replies included.
const MAX_HEAD_BYTES: usize = 32 * 1_024;
/// Bytes that the framing of a body may take beyond [`WIRE_BYTES_PER_BODY_BYTE`]: what is read ahead,
/// chunk sizes and extensions, trailers.
const FRAMING_BYTES: usize = 32 * 1_024;

/// Pieces of a body in chunks that are read whatever their length.
const MIN_BODY_PIECES: usize = 2_048;
/// Bytes of a body in chunks for each further piece. A piece costs about the same processor time whatever its length.
const BODY_BYTES_PER_PIECE: usize = 64;

/// Settings of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Maximum time to connect.
    pub connect_timeout: Duration,
    /// Maximum time for which sent bytes may stay unacknowledged; then the connection is closed.
    pub unacknowledged_timeout: Duration,
    /// TCP keep-alive time and interval. The connection is closed after two unanswered probes.
    pub keepalive_interval: Option<Duration>,
    /// Maximum length of a reply body, in bytes.
    pub max_body_bytes: usize,
}

/// The reason that a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the request was sent.
    NotConnected,
    /// The connection broke after part of the request may have been sent, or the reply was none of HTTP.
    Broken,
    /// The reply was longer than it may be, in its head, its framing or its body, came in too many chunks,
    /// or there was no memory for it. The connection is closed.
    OverLimit,
}

/// Called with the status and the headers of each reply, before its body is read.
pub type HeadObserver = Rc<dyn Fn(StatusCode, &HeaderMap)>;

/// Called with whether a connection was opened, after each attempt.
pub type ConnectObserver = Rc<dyn Fn(bool)>;

/// A call in progress. It owns the connection until the reply is complete. Dropping it closes the
/// connection.
pub type ClientExchange = LocalBoxFuture<'static, Result<ClientReply, ClientError>>;

/// A reply with its body as bytes.
#[derive(Debug)]
pub struct ClientReply {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A client with a single connection, which is opened on first use and again after it has closed.
pub struct HttpClient {
    state: Rc<ClientState>,
}

/// What a client shares with others.
#[derive(Clone, Default)]
pub struct ClientContext {
    /// Number of attempts to connect.
    pub connects: Rc<Cell<u64>>,
    /// Sees the head of each reply, also of one whose body is cut or that belongs to another request.
    pub head_observer: Option<HeadObserver>,
    /// Learns of each attempt to connect.
    pub connect_observer: Option<ConnectObserver>,
    /// Bound of the memory for bodies.
    pub memory: Option<Rc<ReplyMemory>>,
}

struct ClientState {
    address: SocketAddr,
    settings: ClientSettings,
    connection: RefCell<Option<ClientConnection>>,
    context: ClientContext,
}

/// An open connection.
struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<ByteMeter>,
    driver: JoinHandle<()>,
    usable_until: Instant,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpClient {
    /// Returns a client that connects on first use; `connects` counts the attempts to connect.
    pub fn new(
        address: SocketAddr,
        settings: ClientSettings,
        connects: Rc<Cell<u64>>,
    ) -> HttpClient {
        let context = ClientContext { connects, ..ClientContext::default() };
        HttpClient::with_context(address, settings, context)
    }

    /// Returns a client like [`HttpClient::new`] with all that it may share with others.
    pub fn with_context(
        address: SocketAddr,
        settings: ClientSettings,
        context: ClientContext,
    ) -> HttpClient {
        let connection = RefCell::new(None);
        let state = ClientState { address, settings, connection, context };
        HttpClient { state: Rc::new(state) }
    }

    /// Returns whether the connection is open and may be reused.
    pub fn is_open(&self) -> bool {
        self.state.connection.borrow().as_ref().is_some_and(ClientConnection::is_usable)
    }

    /// Posts JSON and reads the whole reply, without a timeout.
    pub fn post<T: Serialize>(&self, path: &str, call: &T) -> ClientExchange {
        let body = match serde_json::to_vec(call) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!("failed to serialize a request body: {error}");
                return std::future::ready(Err(ClientError::NotConnected)).boxed_local();
            }
        };
        let request = Request::post(path)
            .header(header::HOST, self.state.address.to_string())
            .header(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(Full::new(body));
        self.send_built(request)
    }

    /// Sends a GET request and reads the whole reply, without a timeout.
    pub fn get(&self, path: &str) -> ClientExchange {
        let request = Request::get(path)
            .header(header::HOST, self.state.address.to_string())
            .body(Full::default());
        self.send_built(request)
    }

    /// Sends a request and reads the whole reply, without a timeout.
    pub fn send(&self, request: Request<Full<Bytes>>) -> ClientExchange {
        exchange(self.state.clone(), request).boxed_local()
    }

    fn send_built(&self, request: http::Result<Request<Full<Bytes>>>) -> ClientExchange {
        match request {
            Ok(request) => self.send(request),
            Err(error) => {
                log::error!("failed to build a request: {error}");
                std::future::ready(Err(ClientError::NotConnected)).boxed_local()
            }
        }
    }
}

async fn exchange(
    state: Rc<ClientState>,
    request: Request<Full<Bytes>>,
) -> Result<ClientReply, ClientError> {
    let idle = state.connection.borrow_mut().take().filter(ClientConnection::is_usable);
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(&state).await?,
    };
    let reply = connection.exchange(request, &state).await?;
    if connection.is_usable() {
        *state.connection.borrow_mut() = Some(connection);
    }
    Ok(reply)
}

async fn connect(state: &ClientState) -> Result<ClientConnection, ClientError> {
    let connects = &state.context.connects;
    connects.set(connects.get() + 1);
    let connected =
        timeout(state.settings.connect_timeout, TcpStream::connect(state.address)).await;
    if let Some(observe) = &state.context.connect_observer {
        observe(matches!(connected, Ok(Ok(_))));
    }
    let Ok(Ok(stream)) = connected else { return Err(ClientError::NotConnected) };
    if let Err(error) = set_options(&stream, &state.settings) {
        log::debug!("failed to set socket options of the connection to {}: {error}", state.address);
    }
    let meter = Rc::new(ByteMeter::default());
    meter.begin(MAX_HEAD_BYTES);
    let stream = TokioIo::new(MeteredStream::new(stream, meter.clone()));
    let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream);
    let (sender, connection) = handshake.await.map_err(|_| ClientError::NotConnected)?;
    // An error of the connection is reported by the exchange in progress.
    let driver = actix_rt::spawn(async move { drop(connection.await) });
    Ok(ClientConnection { sender, meter, driver, usable_until: Instant::now() + IDLE_TIMEOUT })
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

impl ClientConnection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && Instant::now() < self.usable_until
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        state: &ClientState,
    ) -> Result<ClientReply, ClientError> {
        self.sender.ready().await.map_err(|_| ClientError::NotConnected)?;
        let response = self.sender.try_send_request(request).await.map_err(|error| {
            // hyper returns the request if no part of it was written.
            match error.message() {
                Some(_) => ClientError::NotConnected,
                None => self.reply_error(),
            }
        })?;
        let (head, body) = response.into_parts();
        if !is_final(head.status) {
            return Err(ClientError::Broken);
        }
        self.meter.begin(FRAMING_BYTES);
        if let Some(observe) = &state.context.head_observer {
            observe(head.status, &head.headers);
        }
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let body = self.read_body(body, is_chunked, state).await?;
        // Allows the head of the next reply.
        self.meter.begin(MAX_HEAD_BYTES);
        self.usable_until = Instant::now() + idle_time(&head.headers);
        Ok(ClientReply { status: head.status, headers: head.headers, body })
    }
}

impl ClientConnection {
    /// Reads a body into memory of its own, so that no read buffer is kept with it.
    async fn read_body(
        &self,
        mut incoming: Incoming,
        is_chunked: bool,
        state: &ClientState,
    ) -> Result<Bytes, ClientError> {
        let mut body = BytesMut::new();
        let mut pieces = 0_usize;
        let mut reservation = ReplyReservation::new(state.context.memory.clone());
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| self.reply_error())?;
            let Ok(data) = frame.into_data() else { continue };
            self.meter.extend(data.len().saturating_mul(WIRE_BYTES_PER_BODY_BYTE));
            let length = body.len() + data.len();
            pieces += 1;
            let max_pieces = MIN_BODY_PIECES + length / BODY_BYTES_PER_PIECE;
            if length > state.settings.max_body_bytes
                || is_chunked && pieces > max_pieces
                || !reservation.grow_to(length)
            {
                return Err(ClientError::OverLimit);
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Returns the reason that a reply broke off.
    fn reply_error(&self) -> ClientError {
        match self.meter.is_exceeded() {
            true => ClientError::OverLimit,
            false => ClientError::Broken,
        }
    }
}

/// Returns whether a status ends an exchange of HTTP.
///
/// No request asks for another protocol, so 101 does not, and there are no classes above 5xx (RFC 9110, section 15). After
/// either the two ends may not agree on what the next bytes are.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns how long the connection may stay idle after a reply with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let parameters = announced.into_iter().flat_map(|text| text.split(','));
    let seconds = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    seconds.map_or(IDLE_TIMEOUT, |seconds| {
        Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT)
    })
}
