//! Tests of replies without an end, in every place of a reply.
#![allow(clippy::unwrap_used)]

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use oleanderwind_http::ClientContext;
use oleanderwind_http::ClientError;
use oleanderwind_http::ClientReply;
use oleanderwind_http::ClientSettings;
use oleanderwind_http::HttpClient;
use oleanderwind_http::ReplyMemory;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::support::SETTINGS;

/// Bytes that a server can write before it notices that nobody reads: buffers of both sockets.
const MAX_BUFFERED_BYTES: usize = 8 * 1_024 * 1_024;
/// Timeout for what the limits should have ended long before.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A server that answers each request with `prefix`, then repeats `pattern` until the connection is
/// closed.
struct FloodServer {
    address: SocketAddr,
    /// Bytes written so far.
    written: Rc<Cell<usize>>,
    is_closed: Rc<Cell<bool>>,
}

impl FloodServer {
    async fn start(prefix: &str, pattern: &'static str) -> FloodServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (written, is_closed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
        let (count, closed, prefix) = (written.clone(), is_closed.clone(), prefix.to_owned());
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(prefix.as_bytes()).await.unwrap();
            let block = pattern.repeat(16 * 1_024 / pattern.len() + 1);
            while let Ok(bytes) = stream.write(block.as_bytes()).await {
                count.set(count.get() + bytes);
            }
            closed.set(true);
        });
        FloodServer { address, written, is_closed }
    }

    fn client(&self) -> HttpClient {
        HttpClient::new(self.address, SETTINGS, Rc::default())
    }

    /// Asserts that the client closes the connection although the server goes on writing.
    async fn expect_close(&self) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.is_closed.get() {
            let written = self.written.get();
            assert!(written <= MAX_BUFFERED_BYTES, "the client goes on reading: {written} bytes");
            assert!(Instant::now() < end, "the connection stays open after {written} bytes");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let written = self.written.get();
        assert!(written <= MAX_BUFFERED_BYTES, "the client has read {written} bytes");
    }
}

async fn get(client: &HttpClient) -> Result<ClientReply, ClientError> {
    let request = Request::get("/x").header("host", "h").body(Full::<Bytes>::default()).unwrap();
    timeout(WAIT_TIMEOUT, client.send(request)).await.expect("the reply ends within its limits")
}

/// Expects that the call fails, the connection is closed and the server can't go on writing.
async fn expect_refused(prefix: &str, pattern: &'static str) {
    let server = FloodServer::start(prefix, pattern).await;
    let client = server.client();
    assert!(get(&client).await.is_err());
    assert!(!client.is_open());
    server.expect_close().await;
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[actix_rt::test]
async fn reply_with_an_endless_status_line_fails() {
    expect_refused("HTTP/1.1 200 ", "a").await;
}

#[actix_rt::test]
async fn reply_with_an_endless_header_name_fails() {
    expect_refused(OK, "a").await;
}

#[actix_rt::test]
async fn reply_with_an_endless_header_value_fails() {
    expect_refused("HTTP/1.1 200 OK\r\nX: ", "a").await;
}

#[actix_rt::test]
async fn reply_with_endless_headers_fails() {
    expect_refused(OK, "A: b\r\n").await;
}

/// Guards against interim replies one after the other, each of which is short and complete.
#[actix_rt::test]
async fn reply_with_endless_interim_replies_fails() {
    expect_refused("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n").await;
}

#[actix_rt::test]
async fn reply_with_a_body_of_a_false_length_fails() {
    expect_refused("HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "a").await;
}

#[actix_rt::test]
async fn reply_with_a_body_until_close_fails() {
    expect_refused("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a").await;
}

#[actix_rt::test]
async fn reply_with_endless_chunks_fails() {
    expect_refused(CHUNKED, "4\r\nabcd\r\n").await;
}

/// Guards against chunks of one byte, which cost many times their content.
#[actix_rt::test]
async fn reply_with_tiny_chunks_fails_long_before_its_body_is_too_long() {
    let server = FloodServer::start(CHUNKED, "1\r\na\r\n").await;
    let settings = ClientSettings { max_body_bytes: 16 * 1_024 * 1_024, ..SETTINGS };
    let client = HttpClient::new(server.address, settings, Rc::default());
    assert!(get(&client).await.is_err());
    server.expect_close().await;
}

/// Answers one request with a whole reply whose body comes in chunks of this length.
async fn read_in_chunks(body_bytes: usize, chunk_bytes: usize) -> Result<ClientReply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), SETTINGS, Rc::default());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "a".repeat(chunk_bytes));
        let reply = format!("{CHUNKED}{}0\r\n\r\n", chunk.repeat(body_bytes / chunk_bytes));
        // The client may have closed the connection.
        let _ = stream.write_all(reply.as_bytes()).await;
        let _ = stream.read(&mut [0; 4_096]).await;
    });
    get(&client).await
}

/// Guards against chunks that each cost as much processor time as a long one, in a body of legal length.
#[actix_rt::test]
async fn reply_in_very_many_chunks_fails() {
    for (body_bytes, chunk_bytes) in [(3_000, 1), (20_000, 4), (50_000, 5), (60_000, 16)] {
        let read = read_in_chunks(body_bytes, chunk_bytes).await;
        let place = format!("{body_bytes} bytes in chunks of {chunk_bytes}");
        assert_eq!(read.err(), Some(ClientError::OverLimit), "{place}");
    }
}

#[actix_rt::test]
async fn reply_in_short_chunks_is_read() {
    for (body_bytes, chunk_bytes) in [(2_000, 1), (40_000, 16), (64_000, 64), (64_000, 4_000)] {
        let body = read_in_chunks(body_bytes, chunk_bytes).await.unwrap().body;
        assert_eq!(body.len(), body_bytes, "chunks of {chunk_bytes}");
    }
}

#[actix_rt::test]
async fn reply_with_an_endless_chunk_extension_fails() {
    expect_refused(CHUNKED, "1;a").await;
}

#[actix_rt::test]
async fn reply_with_an_endless_chunk_size_fails() {
    expect_refused(CHUNKED, "0").await;
}

#[actix_rt::test]
async fn reply_with_endless_trailers_fails() {
    let prefix = format!("{CHUNKED}0\r\n");
    expect_refused(&prefix, "A: b\r\n").await;
}

#[actix_rt::test]
async fn bytes_behind_a_complete_reply_close_the_connection() {
    let prefix = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let server = FloodServer::start(prefix, "HTTP/1.1 200 OK\r\n").await;
    let client = server.client();
    let reply = get(&client).await.unwrap();
    assert_eq!(&reply.body[..], b"ok");
    server.expect_close().await;
    assert!(!client.is_open());
}

#[actix_rt::test]
async fn bytes_on_an_idle_connection_close_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), SETTINGS, Rc::default());
    let server = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        while stream.write_all(&[b'a'; 1_024]).await.is_ok() {}
    });
    assert_eq!(&get(&client).await.unwrap().body[..], b"ok");
    timeout(WAIT_TIMEOUT, server).await.expect("the client closes the connection").unwrap();
    assert!(!client.is_open());
}

/// Guards against many sick targets that take the memory of a VM together, each within its own limit.
#[actix_rt::test]
async fn bodies_of_many_replies_share_a_bound() {
    const SHARED_BYTES: usize = 48 * 1_024;
    const CLIENTS: usize = 8;
    let memory = Rc::new(ReplyMemory::new(SHARED_BYTES));
    let context = ClientContext { memory: Some(memory.clone()), ..ClientContext::default() };
    let mut calls = Vec::new();
    for _ in 0..CLIENTS {
        let server =
            FloodServer::start("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "a").await;
        let client = HttpClient::with_context(server.address, SETTINGS, context.clone());
        calls.push((server, client));
    }
    // Each body needs more than the bound, so that none can be read.
    for (_, client) in &calls {
        assert_eq!(get(client).await.unwrap_err(), ClientError::OverLimit);
        assert!(memory.used() <= SHARED_BYTES, "{} bytes", memory.used());
    }
    assert_eq!(memory.used(), 0, "memory of unfinished replies is returned");
    // A small body takes nothing from the bound.
    let prefix = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let server = FloodServer::start(prefix, "HTTP/1.1").await;
    let context =
        ClientContext { memory: Some(Rc::new(ReplyMemory::new(0))), ..ClientContext::default() };
    let client = HttpClient::with_context(server.address, SETTINGS, context);
    assert_eq!(&get(&client).await.unwrap().body[..], b"ok");
}

/// Connections of a VM to 450 services with three targets each.
const FLEET_CONNECTIONS: usize = 1_350;
/// Connections that are opened at once.
const CONNECT_BATCH: usize = 50;

/// Starts a server that sends a body of 100,000 bytes but for its last ones, and goes on waiting.
async fn start_unfinished_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let reply = Bytes::from(
        [b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", &*vec![b'a'; 60_000]].concat(),
    );
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reply = reply.clone();
            actix_rt::spawn(async move {
                assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
                // The client may close the connection before it has read all bytes.
                let _ = stream.write_all(&reply).await;
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// Guards against replies of a whole fleet that stay unfinished: their memory has a bound.
#[actix_rt::test]
async fn bodies_of_a_fleet_of_unfinished_replies_stay_within_the_bound() {
    const SHARED_BYTES: usize = 16 * 1_024 * 1_024;
    let memory = Rc::new(ReplyMemory::new(SHARED_BYTES));
    let context = ClientContext { memory: Some(memory.clone()), ..ClientContext::default() };
    let settings = ClientSettings { max_body_bytes: 1_024 * 1_024, ..SETTINGS };
    let address = start_unfinished_server().await;
    let failed = Rc::new(Cell::new(0));
    let mut calls = Vec::new();
    for number in 0..FLEET_CONNECTIONS {
        let client = HttpClient::with_context(address, settings, context.clone());
        let failed = failed.clone();
        calls.push(actix_rt::spawn(async move {
            let request = Request::get("/x").body(Full::<Bytes>::default()).unwrap();
            if client.send(request).await.is_err_and(|error| error == ClientError::OverLimit) {
                failed.set(failed.get() + 1);
            }
        }));
        // Leaves the server time to accept.
        if number % CONNECT_BATCH == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    // As many bodies as fit stay open; others fail.
    let end = Instant::now() + WAIT_TIMEOUT;
    while failed.get() == 0 {
        assert!(Instant::now() < end, "no body exceeds the bound");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(memory.used() <= SHARED_BYTES, "{} bytes", memory.used());
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find(|line| line.starts_with("VmHWM"));
    println!("{} of {FLEET_CONNECTIONS} failed, {peak:?}", failed.get());
    calls.iter().for_each(|call| call.abort());
}
