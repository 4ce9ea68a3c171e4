//! Tests of listeners against malformed, slow, oversized and missing requests.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::FutureExt;
use oleanderwind_http::CallerGuard;
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

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 8;
/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 1_000;
/// Timeout for a head, for a body and between two calls.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time to wait for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);
/// A valid request.
const VALID_REQUEST: &str = "POST /echo HTTP/1.1\r\nhost: vm\r\ncontent-length: 2\r\n\r\nhi";

async fn bind() -> HttpListener {
    let limits = HttpLimits {
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        head_timeout: REQUEST_TIMEOUT,
        body_timeout: REQUEST_TIMEOUT,
        keep_alive: REQUEST_TIMEOUT,
        ..HttpLimits::default()
    };
    let handler = Rc::new(|call: oleanderwind_http::HttpCall| {
        async move { HttpReply::bytes(StatusCode::OK, "text/plain", call.body) }.boxed_local()
    });
    HttpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits, handler).await.unwrap()
}

/// Sends bytes and reads until the listener closes the connection, which it must do on its own.
async fn exchange(listener: &HttpListener, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    // The listener may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    read_to_close(&mut stream).await
}

async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut reply = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut reply)).await;
    assert!(end.is_ok(), "the listener did not close the connection in time");
    String::from_utf8_lossy(&reply).into_owned()
}

/// Waits until no connection is open, then expects that a valid request is served.
async fn expect_recovered(listener: &HttpListener) {
    let closed = async {
        while listener.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, closed).await.unwrap();
    let reply = exchange(listener, VALID_REQUEST.as_bytes()).await;
    assert!(reply.starts_with("HTTP/1.1 200") && reply.ends_with("hi"), "{reply}");
}

#[actix_rt::test]
async fn serve_survives_malformed_bytes() {
    let listener = bind().await;
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..60 {
        let mut bytes = VALID_REQUEST.as_bytes().to_vec();
        for _ in 0..rng.random_range(1..6) {
            let position = rng.random_range(0..bytes.len());
            bytes[position] = rng.random();
        }
        exchange(&listener, &bytes).await;
    }
    expect_recovered(&listener).await;
}

#[actix_rt::test]
async fn serve_refuses_an_oversized_body_as_not_run() {
    let listener = bind().await;
    let head = "POST /echo HTTP/1.1\r\nhost: vm\r\n";
    let body = "x".repeat(MAX_BODY_BYTES + 1);
    let with_length = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    let chunked =
        format!("{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    for request in [with_length, chunked] {
        let reply = exchange(&listener, request.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 413") && reply.contains("\"ran\":\"no\""), "{reply}");
    }
    expect_recovered(&listener).await;
}

#[actix_rt::test]
async fn serve_refuses_a_slow_body_as_not_run() {
    let listener = bind().await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let head = "POST /echo HTTP/1.1\r\nhost: vm\r\ncontent-length: 900\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let slow_writer = actix_rt::spawn(async move {
        while writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let mut reply = vec![0; 1_024];
    let length = timeout(TEST_TIMEOUT, reader.read(&mut reply)).await.unwrap().unwrap();
    let reply = String::from_utf8_lossy(&reply[..length]).into_owned();
    assert!(reply.starts_with("HTTP/1.1 408") && reply.contains("\"ran\":\"no\""), "{reply}");
    slow_writer.abort();
    drop(reader);
    expect_recovered(&listener).await;
}

#[actix_rt::test]
async fn serve_closes_slow_idle_and_half_closed_connections() {
    let listener = bind().await;
    let mut slow = TcpStream::connect(listener.address()).await.unwrap();
    for byte in VALID_REQUEST.bytes() {
        // A write fails once the listener has closed the connection.
        if slow.write_all(&[byte]).await.is_err() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop(slow);
    exchange(&listener, b"").await;
    exchange(&listener, b"POST /echo HTTP/1.1\r\nhost").await;
    exchange(&listener, VALID_REQUEST.as_bytes()).await;
    let mut half = TcpStream::connect(listener.address()).await.unwrap();
    half.write_all(b"POST /echo HTTP/1.1\r\nhost: vm\r\ncontent-length: 9\r\n\r\n").await.unwrap();
    half.shutdown().await.unwrap();
    read_to_close(&mut half).await;
    expect_recovered(&listener).await;
}

#[actix_rt::test]
async fn serve_limits_connections_under_a_flood() {
    let listener = bind().await;
    let mut streams = Vec::new();
    for _ in 0..10 * MAX_CONNECTIONS {
        streams.push(TcpStream::connect(listener.address()).await.unwrap());
        tokio::task::yield_now().await;
        assert!(listener.open_connections() <= MAX_CONNECTIONS);
    }
    let limit_reached = async {
        while listener.connections_over_limit() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, limit_reached).await.unwrap();
    drop(streams);
    expect_recovered(&listener).await;
}

/// Guards against denial of service by callers that send an incomplete head and then stall: they
/// are evicted in favor of callers with complete requests.
#[actix_rt::test]
async fn serve_evicts_connections_with_incomplete_heads() {
    let listener = bind().await;
    let mut stalled = Vec::new();
    for _ in 0..4 * MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(listener.address()).await.unwrap();
        stream.write_all(b"POST /echo HTTP/1.1\r\nhost").await.unwrap();
        stalled.push(stream);
        let reply = exchange(&listener, VALID_REQUEST.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
        assert!(listener.open_connections() <= MAX_CONNECTIONS);
    }
    drop(stalled);
    expect_recovered(&listener).await;
}

/// Bytes that a caller can write before it notices that nobody reads: buffers of both sockets.
const MAX_BUFFERED_BYTES: usize = 8 * 1_024 * 1_024;

/// Sends `prefix`, then `pattern` until the listener closes the connection; returns the bytes sent.
async fn flood(listener: &HttpListener, prefix: &str, pattern: &str) -> usize {
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    stream.write_all(prefix.as_bytes()).await.unwrap();
    let block = pattern.repeat(16 * 1_024 / pattern.len() + 1);
    let mut sent = 0;
    let write = async {
        while let Ok(bytes) = stream.write(block.as_bytes()).await {
            sent += bytes;
            // Yields to the listener, which runs on the same thread.
            tokio::task::yield_now().await;
            assert!(sent <= 4 * MAX_BUFFERED_BYTES, "the listener goes on reading: {pattern:?}");
        }
    };
    timeout(TEST_TIMEOUT, write).await.expect("the listener closes the connection");
    sent
}

/// Guards against requests without an end, in any place of a request.
#[actix_rt::test]
async fn serve_closes_connections_whose_requests_have_no_end() {
    const POST: &str = "POST /echo HTTP/1.1\r\nhost: vm\r\n";
    let chunked = format!("{POST}transfer-encoding: chunked\r\n\r\n");
    let floods = [
        ("GET /".to_owned(), "a"),
        (format!("{POST}x: "), "a"),
        (POST.to_owned(), "x: a\r\n"),
        (format!("{POST}content-length: 900000000\r\n\r\n"), "a"),
        (chunked.clone(), "4\r\nabcd\r\n"),
        (format!("{chunked}1;"), "a"),
        (chunked.clone(), "0"),
        (format!("{chunked}0\r\n"), "x: a\r\n"),
    ];
    let listener = bind().await;
    for (prefix, pattern) in floods {
        let sent = flood(&listener, &prefix, pattern).await;
        assert!(sent <= MAX_BUFFERED_BYTES, "{sent} bytes after {prefix:?}");
        expect_recovered(&listener).await;
    }
}

/// Guards against connections that were established, and whose requests had arrived, when the listener
/// stopped to accept: they were reset without an answer.
#[actix_rt::test]
async fn drain_serves_connections_that_wait_to_be_accepted() {
    for _ in 0..20 {
        let listener = bind().await;
        // No task of the listener runs while these block.
        let streams: Vec<std::net::TcpStream> = (0..MAX_CONNECTIONS)
            .map(|_| {
                let mut stream = std::net::TcpStream::connect(listener.address()).unwrap();
                std::io::Write::write_all(&mut stream, VALID_REQUEST.as_bytes()).unwrap();
                stream.set_nonblocking(true).unwrap();
                stream
            })
            .collect();
        assert_eq!(listener.drain(TEST_TIMEOUT).await, 0);
        for stream in streams {
            let reply = read_to_close(&mut TcpStream::from_std(stream).unwrap()).await;
            assert!(reply.starts_with("HTTP/1.1 200"), "no answer: {reply:?}");
        }
    }
}

/// Guards against a connection that keeps for good the limits that held when it was accepted: callers
/// that connect before a VM has its configuration were refused bodies that it allows.
#[actix_rt::test]
async fn set_limits_holds_for_open_connections() {
    let listener = bind().await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    stream.write_all(VALID_REQUEST.as_bytes()).await.unwrap();
    let mut reply = vec![0; 1_024];
    assert!(timeout(TEST_TIMEOUT, stream.read(&mut reply)).await.unwrap().unwrap() > 0);
    listener.set_limits(HttpLimits { max_body_bytes: 100_000, ..HttpLimits::default() });
    let head =
        "POST /echo HTTP/1.1\r\nhost: vm\r\nconnection: close\r\ncontent-length: 90000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&[b'x'; 90_000]).await.unwrap();
    let reply = read_to_close(&mut stream).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{}", &reply[..reply.len().min(200)]);
}

/// Guards against a planned stop that cuts an answer whose caller is still reading it.
#[actix_rt::test]
async fn drain_waits_for_answers_that_are_being_read() {
    const ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
    let handler = Rc::new(|_: oleanderwind_http::HttpCall| {
        let answer = bytes::Bytes::from(vec![b'x'; ANSWER_BYTES]);
        async move { HttpReply::bytes(StatusCode::OK, "text/plain", answer) }.boxed_local()
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(address, HttpLimits::default(), handler).await.unwrap();
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    stream.write_all(VALID_REQUEST.as_bytes()).await.unwrap();
    let mut first = [0; 1];
    stream.read_exact(&mut first).await.unwrap();
    let drain = actix_rt::spawn(async move { listener.drain(TEST_TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut rest = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await.unwrap();
    assert!(end.is_ok() && rest.len() > ANSWER_BYTES, "cut after {} bytes: {end:?}", rest.len());
    assert_eq!(drain.await.unwrap(), 0);
}

/// Guards against waiting for the body of a request that has none: the framing of an offered upgrade
/// has no end.
#[actix_rt::test]
async fn serve_answers_an_offered_upgrade_without_a_body() {
    let listener = bind().await;
    let upgrade = "host: vm\r\nconnection: upgrade\r\nupgrade: websocket\r\n";
    let without = format!("GET /echo HTTP/1.1\r\n{upgrade}\r\n");
    let with = format!("POST /echo HTTP/1.1\r\n{upgrade}content-length: 2\r\n\r\nhi");
    for request in [without, with] {
        let reply = exchange(&listener, request.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    }
    expect_recovered(&listener).await;
}

/// Guards against callers that send ahead without an end: each connection gets some answers, in order,
/// and is closed then.
#[actix_rt::test]
async fn serve_answers_some_requests_sent_ahead_and_closes() {
    let listener = bind().await;
    let reply = exchange(&listener, VALID_REQUEST.repeat(200).as_bytes()).await;
    let answers = reply.matches("HTTP/1.1 200").count();
    assert!((10..40).contains(&answers), "{answers} answers");
    expect_recovered(&listener).await;
    let few = VALID_REQUEST.repeat(8);
    let reply = exchange(&listener, few.as_bytes()).await;
    assert_eq!(reply.matches("HTTP/1.1 200").count(), 8, "{reply}");
}

/// A caller may send a call again elsewhere that it sent behind an answer which closes the connection.
#[actix_rt::test]
async fn serve_runs_nothing_behind_an_answer_that_closes() {
    let served = Rc::new(Cell::new(0));
    let handler = {
        let served = served.clone();
        Rc::new(move |_| {
            served.set(served.get() + 1);
            std::future::ready(HttpReply::empty(StatusCode::NOT_FOUND)).boxed_local()
        })
    };
    let guard = CallerGuard { body_check: Some(Rc::new(|_| false)), ..CallerGuard::default() };
    let address = "127.0.0.1:0".parse().unwrap();
    let listener =
        HttpListener::bind_guarded(address, HttpLimits::default(), handler, guard).unwrap();
    let unneeded = "POST /none HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
                    5\r\nabcde\r\n0\r\n\r\n";
    let next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    let reply = exchange(&listener, format!("{unneeded}{next}{next}").as_bytes()).await;
    assert_eq!(reply.matches("HTTP/1.1 404").count(), 1, "{reply}");
    assert_eq!(served.get(), 1);
}
