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
use tokio::sync::watch;
use tokio::time::timeout;

use crate::HttpHandler;
use crate::HttpLimits;
use crate::connection::DrainPhase;
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

/// A listener on one address, which accepts connections until it is drained.
#[derive(Clone)]
pub struct HttpListener {
    address: SocketAddr,
    state: Rc<ListenerState>,
}

struct ListenerState {
    connections: ConnectionRegistry,
    over_limit: Cell<u64>,
    limits: RefCell<Rc<HttpLimits>>,
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(ListenerState {
            connections: ConnectionRegistry::default(),
            over_limit: Cell::new(0),
            limits: RefCell::new(Rc::new(limits)),
            phase: watch::Sender::new(DrainPhase::Serving),
            is_accepting: Cell::new(true),
        });
        actix_rt::spawn(accept(listener, handler, state.clone()));
        Ok(HttpListener { address, state })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the limits of connections that are accepted from now on.
    pub fn set_limits(&self, limits: HttpLimits) {
        self.state.limits.replace(Rc::new(limits));
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

/// Accepts connections until the listener drains.
async fn accept(listener: TcpListener, handler: HttpHandler, state: Rc<ListenerState>) {
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == DrainPhase::Draining) => break,
        };
        match accepted {
            Ok((stream, peer)) => admit(stream, peer, &handler, &state),
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_waiting(&listener, &handler, &state).await;
    state.is_accepting.set(false);
}

/// Accepts the connections that are established already, whose callers may have sent a request. They
/// would be reset when the listener closes.
async fn accept_waiting(listener: &TcpListener, handler: &HttpHandler, state: &Rc<ListenerState>) {
    let end = Instant::now() + MAX_LAST_ACCEPT_TIME;
    while Instant::now() < end {
        match timeout(LAST_ACCEPT_TIME, listener.accept()).await {
            Ok(Ok((stream, peer))) => admit(stream, peer, handler, state),
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
/// At the limit, an idle connection is evicted; if there is none, the new one is closed.
fn admit(stream: TcpStream, peer: SocketAddr, handler: &HttpHandler, state: &Rc<ListenerState>) {
    let limits = state.limits.borrow().clone();
    if state.connections.len() >= limits.max_connections {
        state.over_limit.set(state.over_limit.get() + 1);
        if !state.connections.evict() {
            return;
        }
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let guard = OpenConnection::new(state.clone());
    let handler = handler.clone();
    let phase = state.phase.subscribe();
    actix_rt::spawn(async move {
        let calls = guard.calls.clone();
        serve_connection(stream, peer, limits, handler, calls, phase).await;
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
