//! Accepting connections for one endpoint on the shared thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Protocol;
use actix_http::Request;
use actix_http::error::DispatchError;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::net::FaultStream;
use crate::net::HttpReply;
use crate::net::StreamControl;
use crate::server::ServedEndpoint;

/// Pending connections that the kernel keeps.
const BACKLOG: u32 = 1_024;

/// Time for a connection to close.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// A connection as [`HttpService`] takes it.
type ServedConnection = (FaultStream, Protocol, Option<SocketAddr>);

/// Limits the connections of one endpoint and knows those that are open.
#[derive(Debug)]
pub(crate) struct ConnectionGate {
    limit: u32,
    setup: Duration,
    silent_timeout: Duration,
    next: Cell<u64>,
    open: RefCell<Vec<(u64, StreamControl)>>,
    peak: Cell<u32>,
    refused: Cell<u64>,
}

/// The running accept loop of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointListener {
    task: JoinHandle<()>,
}

/// Leaves the gate when its connection ends.
struct GatePass {
    gate: Rc<ConnectionGate>,
    number: u64,
}

impl ConnectionGate {
    /// A gate for `limit` connections that cost `setup` each and end after `silent_timeout` of
    /// silence.
    pub(crate) fn new(limit: u32, setup: Duration, silent_timeout: Duration) -> ConnectionGate {
        ConnectionGate {
            limit,
            setup,
            silent_timeout,
            next: Cell::new(0),
            open: RefCell::default(),
            peak: Cell::new(0),
            refused: Cell::new(0),
        }
    }

    /// Connections that are open.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.open.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Most connections that were open at once.
    pub(crate) fn peak(&self) -> u32 {
        self.peak.get()
    }

    /// Connections that were closed for being over the limit.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Makes every open connection silent for good.
    pub(crate) fn silence(&self) {
        self.open.borrow().iter().for_each(|(_, control)| control.silence());
    }

    /// Closes every open connection.
    pub(crate) fn close(&self) {
        self.open.borrow().iter().for_each(|(_, control)| control.close());
    }

    /// Lets a connection in, or counts it as refused.
    fn enter(self: &Rc<ConnectionGate>, control: StreamControl) -> Option<GatePass> {
        if self.count() >= self.limit {
            self.refused.set(self.refused.get() + 1);
            return None;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.borrow_mut().push((number, control));
        self.peak.set(self.peak.get().max(self.count()));
        Some(GatePass { gate: Rc::clone(self), number })
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        self.gate.open.borrow_mut().retain(|(number, _)| *number != self.number);
    }
}

impl Drop for EndpointListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps a loopback port from others without listening on it.
pub(crate) fn reserve(port: u16) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
    Ok(socket)
}

/// Binds a loopback port, 0 for any.
pub(crate) fn bind(port: u16) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = reserve(port)?;
    let listener = socket.listen(BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves an endpoint until the returned handle is dropped.
pub(crate) fn serve(
    listener: TcpListener,
    gate: Rc<ConnectionGate>,
    endpoint: ServedEndpoint,
) -> EndpointListener {
    EndpointListener { task: actix_rt::spawn(accept_all(listener, gate, endpoint)) }
}

/// Accepts connections forever.
async fn accept_all(listener: TcpListener, gate: Rc<ConnectionGate>, endpoint: ServedEndpoint) {
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &FaultStream, data| {
            data.insert(stream.control());
        })
        .finish(fn_service(move |request: Request| {
            let endpoint = endpoint.clone();
            async move { Ok::<HttpReply, Infallible>(endpoint.answer(request).await) }
        }));
    // One service for all connections: each one owns a timer for the date header.
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept_one(stream, &gate, &service),
            Err(error) => {
                log::warn!("accept failed: {error}");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Starts a connection's task unless the gate is full.
fn accept_one<S>(stream: TcpStream, gate: &Rc<ConnectionGate>, service: &Rc<S>)
where
    S: Service<ServedConnection, Error = DispatchError> + 'static,
{
    let _ = stream.set_nodelay(true);
    let stream = FaultStream::new(stream);
    let control = stream.control();
    let Some(pass) = gate.enter(control.clone()) else { return };
    let service = Rc::clone(service);
    actix_rt::spawn(async move {
        let gate = &pass.gate;
        tokio::select! {
            () = serve_one(stream, &*service, gate.setup) => {}
            () = control.silent_for(gate.silent_timeout) => {}
            () = control.closed() => {}
        }
    });
}

/// Serves the requests of one connection.
async fn serve_one<S>(stream: FaultStream, service: &S, setup: Duration)
where
    S: Service<ServedConnection, Error = DispatchError>,
{
    if !setup.is_zero() {
        actix_rt::time::sleep(setup).await;
    }
    if let Err(error) = service.call((stream, Protocol::Http1, None)).await {
        log::debug!("connection ended: {error}");
    }
}
