//! Listeners that accept connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::CallerGuard;
use crate::CloseRule;
use crate::HttpHandler;
use crate::HttpLimits;
use crate::connection::ConnectionContext;
use crate::connection::DrainPhase;
use crate::connection::MAX_RUNNING_AHEAD;
use crate::connection::serve_connection;
use crate::registry::ConnectionCalls;
use crate::registry::ConnectionRegistry;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a new connection after which a drain takes none to be waiting.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(5);
/// Maximum time for which a drain accepts connections that wait.
const MAX_LAST_ACCEPT_TIME: Duration = Duration::from_millis(50);
/// Interval at which a drain checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which connections that are slow or idle are closed.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Size of the receive buffer of a caller's connection, in bytes; the kernel doubles it.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;
/// Size of the send buffer of a caller's connection, in bytes; the kernel doubles it.
const SEND_BUFFER_BYTES: usize = 64 * 1_024;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// A listener on one address, which accepts connections until it is drained.
#[derive(Clone)]
pub struct HttpListener {
    address: SocketAddr,
    state: Rc<ListenerState>,
}

struct ListenerState {
    connections: ConnectionRegistry,
    over_limit: Cell<u64>,
    context: Rc<ConnectionContext>,
    phase: watch::Sender<DrainPhase>,
    /// Whether new connections may still be served.
    is_accepting: Cell<bool>,
}

impl ListenerState {
    /// Returns whether the listener still accepts or a connection is open.
    fn has_work(&self) -> bool {
        self.is_accepting.get() || self.connections.len() > 0
    }
}

impl HttpListener {
    /// Binds `address` and starts to serve on the current thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: HttpLimits,
        handler: HttpHandler,
    ) -> io::Result<HttpListener> {
        HttpListener::bind_guarded(address, limits, handler, CallerGuard::default())
    }

    /// Binds `address` and starts to serve on the current thread, within a budget of memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind_guarded(
        address: SocketAddr,
        limits: HttpLimits,
        handler: HttpHandler,
        guard: CallerGuard,
    ) -> io::Result<HttpListener> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let state = Rc::new(ListenerState {
            connections: ConnectionRegistry::default(),
            over_limit: Cell::new(0),
            context: Rc::new(ConnectionContext {
                limits: RefCell::new(Rc::new(limits)),
                handler,
                guard,
                ahead: Semaphore::new(MAX_RUNNING_AHEAD),
            }),
            phase: watch::Sender::new(DrainPhase::Serving),
            is_accepting: Cell::new(true),
        });
        actix_rt::spawn(accept(listener, state.clone()));
        actix_rt::spawn(close_overdue(state.clone()));
        Ok(HttpListener { address, state })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the limits of all calls from now on, also on open connections.
    pub fn set_limits(&self, limits: HttpLimits) {
        self.state.context.limits.replace(Rc::new(limits));
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.connections.len()
    }

    /// Returns the number of connections accepted at the limit, each of which caused an idle one to
    /// be evicted or was closed itself.
    pub fn connections_over_limit(&self) -> u64 {
        self.state.over_limit.get()
    }

    /// Closes each connection after its next reply. New connections are still accepted.
    pub fn close_after_replies(&self) {
        self.state.phase.send_replace(DrainPhase::Closing);
    }

    /// Stops accepting, closes idle connections and waits for open calls, for at most `timeout`.
    ///
    /// Returns the number of connections that are still open after the timeout; 0 if the drain is
    /// complete.
    pub async fn drain(&self, timeout: Duration) -> usize {
        self.state.phase.send_replace(DrainPhase::Draining);
        let deadline = Instant::now() + timeout;
        while self.state.has_work() && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.state.connections.len()
    }
}

/// Binds `address` with receive buffers of a modest size, which accepted connections inherit.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("receive buffers keep the system's size: {error}");
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Closes connections that are slow or idle, until the listener has drained.
async fn close_overdue(state: Rc<ListenerState>) {
    while state.has_work() {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        let limits = state.context.limits.borrow().clone();
        for (rule, count) in state.connections.close_overdue(Instant::now(), &limits) {
            if rule != CloseRule::Idle {
                log::info!(rule = rule.as_str(), count = count; "connections of callers are closed");
            }
        }
    }
}

/// Accepts connections until the listener drains.
async fn accept(listener: TcpListener, state: Rc<ListenerState>) {
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == DrainPhase::Draining) => break,
        };
        match accepted {
            Ok((stream, peer)) => admit(stream, peer, &state),
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_waiting(&listener, &state).await;
    state.is_accepting.set(false);
}

/// Accepts the connections that are established already, whose callers may have sent a request. They
/// would be reset when the listener closes.
async fn accept_waiting(listener: &TcpListener, state: &Rc<ListenerState>) {
    let end = Instant::now() + MAX_LAST_ACCEPT_TIME;
    while Instant::now() < end {
        match timeout(LAST_ACCEPT_TIME, listener.accept()).await {
            Ok(Ok((stream, peer))) => admit(stream, peer, state),
            Ok(Err(error)) => {
                log::warn!("failed to accept a last connection: {error}");
                return;
            }
            Err(_) => return,
        }
    }
}

/// Serves one connection.
///
/// At the limit, another connection is evicted; if all wait for this process, the new one is closed.
fn admit(stream: TcpStream, peer: SocketAddr, state: &Rc<ListenerState>) {
    let max_connections = state.context.limits.borrow().max_connections;
    if state.connections.len() >= max_connections {
        state.over_limit.set(state.over_limit.get() + 1);
        if !state.connections.evict(Instant::now()) {
            return;
        }
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    if let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!("the send buffer keeps the system's size: {error}");
    }
    let guard = OpenConnection::new(state.clone());
    let context = state.context.clone();
    let phase = state.phase.subscribe();
    actix_rt::spawn(async move {
        let calls = guard.calls.clone();
        serve_connection(stream, peer, context, calls, phase).await;
        drop(guard);
    });
}

/// Registers a connection with the listener until it is dropped.
struct OpenConnection {
    state: Rc<ListenerState>,
    id: u64,
    calls: Rc<ConnectionCalls>,
}

impl OpenConnection {
    fn new(state: Rc<ListenerState>) -> OpenConnection {
        let (id, calls) = state.connections.insert();
        OpenConnection { state, id, calls }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.connections.remove(self.id);
    }
}
