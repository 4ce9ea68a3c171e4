//! Tests of the probe of listeners.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::poll;
use oleanderwind_http::ListenerState;
use oleanderwind_http::probe_listener;

const PATIENCE: Duration = Duration::from_millis(15);

fn listen() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[actix_rt::test]
async fn probe_listener_of_a_process_that_lives_is_listening() {
    let (_listener, address) = listen();
    assert_eq!(probe_listener(address, PATIENCE).await, ListenerState::Listening);
}

#[actix_rt::test]
async fn probe_listener_of_a_process_that_has_ended_is_refusing() {
    let (listener, address) = listen();
    drop(listener);
    assert_eq!(probe_listener(address, PATIENCE).await, ListenerState::Refusing);
}

/// Guards against an end that is missed, since the listener is closed after the handshake of the probe's connection.
#[actix_rt::test]
async fn probe_listener_reset_while_connecting_is_refusing() {
    let (listener, address) = listen();
    let mut probe = Box::pin(probe_listener(address, PATIENCE));
    assert!(poll!(&mut probe).is_pending());
    drop(listener);
    assert_eq!(probe.await, ListenerState::Refusing);
}

/// Guards against an end that is missed, since a connection is closed while the probe waits on it.
#[actix_rt::test]
async fn probe_listener_closed_after_connecting_is_refusing() {
    let (listener, address) = listen();
    let closing = async {
        tokio::time::sleep(PATIENCE / 2).await;
        drop(listener);
    };
    let (state, ()) = tokio::join!(probe_listener(address, PATIENCE), closing);
    assert_eq!(state, ListenerState::Refusing);
}
