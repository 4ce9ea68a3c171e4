//! Replies that end at any byte, with the connection closed or reset behind it.
#![allow(clippy::unwrap_used)]

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use oleanderwind_http::ClientError;
use oleanderwind_http::ClientReply;
use oleanderwind_http::HttpClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::support::SETTINGS;

/// Time after which the client waits for bytes that never come.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Replies with a body by length, in chunks, without any body, behind an interim one, and of an earlier version.
const FRAMED_REPLIES: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX-Trailer: t\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Signature: s\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
];
/// Replies whose body ends with the connection.
const UNFRAMED_REPLIES: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nbody",
    "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\nbody",
];

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// Returns what a client makes of the first `cut` bytes of a reply.
async fn read(reply: &str, cut: usize, end: ConnectionEnd) -> Result<ClientReply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = reply.as_bytes()[..cut].to_vec();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
        stream.write_all(&sent).await.unwrap();
        match end {
            ConnectionEnd::Close => {}
            ConnectionEnd::Reset => stream.set_zero_linger().unwrap(),
        }
    });
    let client = HttpClient::new(address, SETTINGS, Rc::new(Cell::new(0)));
    timeout(WAIT_TIMEOUT, client.get("/x")).await.expect("the connection has ended")
}

/// Guards against a reply that ends early and is read as a whole one with a short body.
#[actix_rt::test]
async fn framed_reply_that_ends_early_is_an_error() {
    for reply in FRAMED_REPLIES {
        let whole = read(reply, reply.len(), ConnectionEnd::Close).await.unwrap();
        assert!(whole.status.is_success(), "{reply:?}");
        for cut in 0..reply.len() {
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                let read = read(reply, cut, end).await;
                assert_eq!(read.err(), Some(ClientError::Broken), "{reply:?} at {cut}, {end:?}");
            }
        }
    }
}

/// Guards against a head that ends early and is read as one whose body ends with the connection.
#[actix_rt::test]
async fn unframed_reply_is_whole_only_if_its_connection_is_closed_behind_the_head() {
    for reply in UNFRAMED_REPLIES {
        let whole = read(reply, reply.len(), ConnectionEnd::Close).await.unwrap();
        assert_eq!(whole.body, "body", "{reply:?}");
        for cut in 0..reply.len() - "body".len() {
            let read = read(reply, cut, ConnectionEnd::Close).await;
            assert_eq!(read.err(), Some(ClientError::Broken), "{reply:?} at {cut}");
        }
        for cut in 0..reply.len() {
            let read = read(reply, cut, ConnectionEnd::Reset).await;
            assert_eq!(read.err(), Some(ClientError::Broken), "{reply:?} at {cut}, reset");
        }
    }
}
