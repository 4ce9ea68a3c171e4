//! Accept loops and connection limits of endpoints.

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

/// Maximum length of the queue of connections not yet accepted.
const BACKLOG: u32 = 1_024;

/// Time-out for closing a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Connection in the form that [`HttpService`] takes.
type ServedConnection = (FaultStream, Protocol, Option<SocketAddr>);

/// Limits and tracks the open connections of one endpoint.
#[derive(Debug)]
pub(crate) struct ConnectionLimiter {
    limit: u32,
    setup: Duration,
    silent_timeout: Duration,
    next: Cell<u64>,
    open: RefCell<Vec<(u64, StreamControl)>>,
    peak: Cell<u32>,
    rejected: Cell<u64>,
}

/// Running accept loop of an endpoint; dropping it stops the loop.
#[derive(Debug)]
pub(crate) struct EndpointListener {
    task: JoinHandle<()>,
}

/// Entry of an open connection; dropping it removes the connection from its limiter.
struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
}

impl ConnectionLimiter {
    /// Creates a limiter for `limit` connections.
    ///
    /// `setup` delays the first read of each connection. A silenced connection is closed after
    /// `silent_timeout`.
    pub(crate) fn new(limit: u32, setup: Duration, silent_timeout: Duration) -> ConnectionLimiter {
        ConnectionLimiter {
            limit,
            setup,
            silent_timeout,
            next: Cell::new(0),
            open: RefCell::default(),
            peak: Cell::new(0),
            rejected: Cell::new(0),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> u32 {
        u32::try_from(self.open.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Returns the maximum number of connections that were open at once.
    pub(crate) fn peak_count(&self) -> u32 {
        self.peak.get()
    }

    /// Returns the number of connections rejected because of the limit.
    pub(crate) fn rejected_count(&self) -> u64 {
        self.rejected.get()
    }

    /// Silences every open connection permanently.
    pub(crate) fn silence(&self) {
        self.open.borrow().iter().for_each(|(_, control)| control.silence());
    }

    /// Closes every open connection.
    pub(crate) fn close(&self) {
        self.open.borrow().iter().for_each(|(_, control)| control.close());
    }

    /// Admits a connection, or counts it as rejected if the limit is reached.
    fn admit(self: &Rc<ConnectionLimiter>, control: StreamControl) -> Option<ConnectionPermit> {
        if self.open_count() >= self.limit {
            self.rejected.set(self.rejected.get() + 1);
            return None;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.borrow_mut().push((number, control));
        self.peak.set(self.peak.get().max(self.open_count()));
        Some(ConnectionPermit { limiter: Rc::clone(self), number })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.open.borrow_mut().retain(|(number, _)| *number != self.number);
    }
}

impl Drop for EndpointListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a loopback port without listening on it, so that no other process can bind it.
pub(crate) fn reserve(port: u16) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
    Ok(socket)
}

/// Binds a loopback port and listens on it; 0 lets the system choose the port.
pub(crate) fn bind(port: u16) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = reserve(port)?;
    let listener = socket.listen(BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Starts serving an endpoint until the returned listener is dropped.
pub(crate) fn serve(
    listener: TcpListener,
    limiter: Rc<ConnectionLimiter>,
    endpoint: ServedEndpoint,
) -> EndpointListener {
    EndpointListener { task: actix_rt::spawn(accept_all(listener, limiter, endpoint)) }
}

/// Accepts connections until the task is aborted.
async fn accept_all(
    listener: TcpListener,
    limiter: Rc<ConnectionLimiter>,
    endpoint: ServedEndpoint,
) {
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
    // All connections share one service, because each service owns a timer for the date header.
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept_one(stream, &limiter, &service),
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                actix_rt::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Spawns the task of a connection, or closes the connection if the limit is reached.
fn accept_one<S>(stream: TcpStream, limiter: &Rc<ConnectionLimiter>, service: &Rc<S>)
where
    S: Service<ServedConnection, Error = DispatchError> + 'static,
{
    let _ = stream.set_nodelay(true);
    let stream = FaultStream::new(stream);
    let control = stream.control();
    let Some(permit) = limiter.admit(control.clone()) else { return };
    let service = Rc::clone(service);
    actix_rt::spawn(async move {
        let limiter = &permit.limiter;
        tokio::select! {
            () = serve_one(stream, &*service, limiter.setup) => {}
            () = control.silent_for(limiter.silent_timeout) => {}
            () = control.closed() => {}
        }
    });
}

/// Serves the requests of one connection after its set-up delay.
async fn serve_one<S>(stream: FaultStream, service: &S, setup: Duration)
where
    S: Service<ServedConnection, Error = DispatchError>,
{
    if !setup.is_zero() {
        actix_rt::time::sleep(setup).await;
    }
    if let Err(error) = service.call((stream, Protocol::Http1, None)).await {
        log::debug!("connection closed with an error: {error}");
    }
}
