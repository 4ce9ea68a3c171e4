//! Listeners under peers that send bad, slow, too much or nothing.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::FutureExt;
use oleanderwind_http::HttpLimits;
use oleanderwind_http::HttpListener;
use oleanderwind_http::HttpReply;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Connections that the listener serves at once.
const CONNECTIONS: usize = 8;
/// Longest body in bytes.
const BODY_BYTES: usize = 1_000;
/// Longest time for a head, a body and between two calls.
const SHORT_TIME: Duration = Duration::from_millis(200);
/// Longest wait for what has to come.
const PATIENCE: Duration = Duration::from_secs(15);
/// A whole request.
const GOOD: &str = "POST /echo HTTP/1.1\r\nhost: vm\r\ncontent-length: 2\r\n\r\nhi";

async fn bind() -> HttpListener {
    let limits = HttpLimits {
        max_connections: CONNECTIONS,
        max_body_bytes: BODY_BYTES,
        head_timeout: SHORT_TIME,
        body_timeout: SHORT_TIME,
        keep_alive: SHORT_TIME,
    };
    let handler = Rc::new(|call: oleanderwind_http::HttpCall| {
        async move { HttpReply::bytes(StatusCode::OK, "text/plain", call.body) }.boxed_local()
    });
    HttpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits, handler).await.unwrap()
}

/// Sends bytes and reads until the listener closes the connection, as it must by itself.
async fn exchange(listener: &HttpListener, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    // The listener may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_to_close(&mut stream).await
}

async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut reply = Vec::new();
    let end = timeout(PATIENCE, stream.read_to_end(&mut reply)).await;
    assert!(end.is_ok(), "the listener still holds the connection");
    String::from_utf8_lossy(&reply).into_owned()
}

/// Waits until no connection is open, then gets a good request served.
async fn expect_free(listener: &HttpListener) {
    let freed = async {
        while listener.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, freed).await.unwrap();
    let reply = exchange(listener, GOOD.as_bytes()).await;
    assert!(reply.starts_with("HTTP/1.1 200") && reply.ends_with("hi"), "{reply}");
}

#[actix_rt::test]
async fn serve_survives_malformed_bytes() {
    let listener = bind().await;
    let mut generator = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..60 {
        let mut bytes = GOOD.as_bytes().to_vec();
        for _ in 0..generator.random_range(1..6) {
            let place = generator.random_range(0..bytes.len());
            bytes[place] = generator.random();
        }
        exchange(&listener, &bytes).await;
    }
    expect_free(&listener).await;
}

#[actix_rt::test]
async fn serve_refuses_a_long_body_as_not_run() {
    let listener = bind().await;
    let head = "POST /echo HTTP/1.1\r\nhost: vm\r\n";
    let body = "x".repeat(BODY_BYTES + 1);
    let told = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    let chunked =
        format!("{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    for request in [told, chunked] {
        let reply = exchange(&listener, request.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 413") && reply.contains("\"ran\":\"no\""), "{reply}");
    }
    expect_free(&listener).await;
}

#[actix_rt::test]
async fn serve_refuses_a_slow_body_as_not_run() {
    let listener = bind().await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let head = "POST /echo HTTP/1.1\r\nhost: vm\r\ncontent-length: 900\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let drip = actix_rt::spawn(async move {
        while writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let mut reply = vec![0; 1_024];
    let length = timeout(PATIENCE, reader.read(&mut reply)).await.unwrap().unwrap();
    let reply = String::from_utf8_lossy(&reply[..length]).into_owned();
    assert!(reply.starts_with("HTTP/1.1 408") && reply.contains("\"ran\":\"no\""), "{reply}");
    drip.abort();
    drop(reader);
    expect_free(&listener).await;
}

#[actix_rt::test]
async fn serve_frees_slow_heads_and_idle_and_half_closed_connections() {
    let listener = bind().await;
    let mut slow = TcpStream::connect(listener.address()).await.unwrap();
    for byte in GOOD.bytes() {
        // A write fails once the listener has closed the connection.
        if slow.write_all(&[byte]).await.is_err() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop(slow);
    exchange(&listener, b"").await;
    exchange(&listener, b"POST /echo HTTP/1.1\r\nhost").await;
    exchange(&listener, GOOD.as_bytes()).await;
    let mut half = TcpStream::connect(listener.address()).await.unwrap();
    half.write_all(b"POST /echo HTTP/1.1\r\nhost: vm\r\ncontent-length: 9\r\n\r\n").await.unwrap();
    half.shutdown().await.unwrap();
    read_to_close(&mut half).await;
    expect_free(&listener).await;
}

#[actix_rt::test]
async fn serve_bounds_the_connections_of_a_flood() {
    let listener = bind().await;
    let mut streams = Vec::new();
    for _ in 0..10 * CONNECTIONS {
        streams.push(TcpStream::connect(listener.address()).await.unwrap());
        tokio::task::yield_now().await;
        assert!(listener.open_connections() <= CONNECTIONS);
    }
    let flooded = async {
        while listener.connections_over_limit() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, flooded).await.unwrap();
    drop(streams);
    expect_free(&listener).await;
}

/// Pattern: a flood of callers that send half a head and stop, beside callers that speak.
#[actix_rt::test]
async fn serve_lets_half_heads_give_way_to_callers_that_speak() {
    let listener = bind().await;
    let mut silent = Vec::new();
    for _ in 0..4 * CONNECTIONS {
        let mut stream = TcpStream::connect(listener.address()).await.unwrap();
        stream.write_all(b"POST /echo HTTP/1.1\r\nhost").await.unwrap();
        silent.push(stream);
        let reply = exchange(&listener, GOOD.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
        assert!(listener.open_connections() <= CONNECTIONS);
    }
    drop(silent);
    expect_free(&listener).await;
}
