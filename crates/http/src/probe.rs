//! Probes of listeners.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time in which a host that is up accepts or refuses a connection.
const CONNECT_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of connections that are accepted and closed at once, after which a process counts as alive: a server may
/// close those beyond its limit.
const MAX_CONNECT_PROBES: u32 = 3;

/// What a probe of a listener shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// A connection is accepted, or there is no sign that nobody listens.
    Listening,
    /// Nobody listens at the address.
    Refusing,
    /// The host does not answer.
    Silent,
}

/// Connects to an address to find out whether a process listens there, and closes the connection again.
///
/// A process that is ending may accept connections until its listener is closed, so that a connection counts only
/// if it stays open for `patience`.
pub async fn probe_listener(address: SocketAddr, patience: Duration) -> ListenerState {
    for _ in 0..MAX_CONNECT_PROBES {
        match timeout(CONNECT_PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) if stays_open(&stream, patience).await => {
                return ListenerState::Listening;
            }
            Ok(Ok(_)) => {}
            Ok(Err(error)) => match error.kind() {
                io::ErrorKind::ConnectionRefused => return ListenerState::Refusing,
                // The listener was closed between the handshake and the accept.
                io::ErrorKind::ConnectionReset => {}
                _ => {
                    log::warn!(address:% = address; "listener cannot be probed: {error}");
                    return ListenerState::Listening;
                }
            },
            Err(_) => return ListenerState::Silent,
        }
    }
    ListenerState::Listening
}

/// Returns whether a new connection is still open after `patience`.
async fn stays_open(stream: &TcpStream, patience: Duration) -> bool {
    timeout(patience, stream.readable()).await.is_err()
}
