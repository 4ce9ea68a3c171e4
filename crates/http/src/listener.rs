//! Accepting connections.

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

use crate::HttpHandler;
use crate::HttpLimits;
use crate::connection::DrainPhase;
use crate::connection::serve_connection;
use crate::registry::ConnectionCalls;
use crate::registry::ConnectionRegistry;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often a drain looks for connections that are left.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Accepts on one address until it is drained.
#[derive(Clone)]
pub struct HttpListener {
    address: SocketAddr,
    state: Rc<ListenerState>,
}

struct ListenerState {
    connections: ConnectionRegistry,
    refused: Cell<u64>,
    limits: RefCell<Rc<HttpLimits>>,
    phase: watch::Sender<DrainPhase>,
    is_accepting: Cell<bool>,
}

impl HttpListener {
    /// Binds `address` and starts to serve on the current thread.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: HttpLimits,
        handler: HttpHandler,
    ) -> io::Result<HttpListener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(ListenerState {
            connections: ConnectionRegistry::default(),
            refused: Cell::new(0),
            limits: RefCell::new(Rc::new(limits)),
            phase: watch::Sender::new(DrainPhase::Serving),
            is_accepting: Cell::new(true),
        });
        actix_rt::spawn(accept(listener, handler, state.clone()));
        Ok(HttpListener { address, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the bounds of connections that are accepted from now on.
    pub fn set_limits(&self, limits: HttpLimits) {
        self.state.limits.replace(Rc::new(limits));
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.state.connections.len()
    }

    /// Connections that found too many open, so that one was closed.
    pub fn connections_over_limit(&self) -> u64 {
        self.state.refused.get()
    }

    /// Makes each reply close its connection from now on; new connections are still served.
    pub fn close_after_replies(&self) {
        self.state.phase.send_replace(DrainPhase::Closing);
    }

    /// Stops accepting, closes idle connections and waits for open calls.
    ///
    /// Returns the connections that were still open after `patience`; 0 is a clean end.
    pub async fn drain(&self, patience: Duration) -> usize {
        self.state.is_accepting.set(false);
        self.state.phase.send_replace(DrainPhase::Ending);
        let end = Instant::now() + patience;
        while self.state.connections.len() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.state.connections.len()
    }
}

/// Accepts until the listener ends.
async fn accept(listener: TcpListener, handler: HttpHandler, state: Rc<ListenerState>) {
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == DrainPhase::Ending) => return,
        };
        match accepted {
            Ok((stream, peer)) => admit(stream, peer, &handler, &state),
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection; when too many are open another gives way, or it is closed.
fn admit(stream: TcpStream, peer: SocketAddr, handler: &HttpHandler, state: &Rc<ListenerState>) {
    let limits = state.limits.borrow().clone();
    if state.connections.len() >= limits.max_connections {
        state.refused.set(state.refused.get() + 1);
        if !state.connections.evict() {
            return;
        }
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY could not be set: {error}");
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

/// Keeps a connection in the listener's registry.
struct OpenConnection {
    state: Rc<ListenerState>,
    id: u64,
    calls: Rc<ConnectionCalls>,
}

impl OpenConnection {
    fn new(state: Rc<ListenerState>) -> OpenConnection {
        let (id, calls) = state.connections.enter();
        OpenConnection { state, id, calls }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.connections.leave(self.id);
    }
}
