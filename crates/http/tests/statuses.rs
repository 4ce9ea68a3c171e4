//! Replies with statuses that end no exchange of HTTP.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
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

/// Time after which a call counts as one that gets no reply.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that answers the first request of each connection with `reply` and closes the connection after the second.
async fn serve(reply: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reply = reply.clone();
            actix_rt::spawn(async move {
                let mut request = [0; 4_096];
                if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    // The client may have closed the connection.
                    let _ = stream.write_all(reply.as_bytes()).await;
                    let _ = stream.read(&mut request).await;
                }
            });
        }
    });
    address
}

async fn read(client: &HttpClient) -> Result<ClientReply, ClientError> {
    timeout(WAIT_TIMEOUT, client.get("/x")).await.expect("the reply ends the call")
}

async fn client_of(reply: String) -> HttpClient {
    HttpClient::new(serve(reply).await, SETTINGS, Rc::default())
}

/// Guards against a switch of protocols that nobody asked for, and statuses of no class, that are taken for answers.
#[actix_rt::test]
async fn reply_with_a_status_of_no_answer_fails() {
    for status in [101, 600, 601, 700, 999] {
        let reply = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody");
        let client = client_of(reply).await;
        assert_eq!(read(&client).await.err(), Some(ClientError::Broken), "status {status}");
        assert!(!client.is_open(), "status {status}: the connection is kept");
    }
}

/// Guards against a switch of protocols behind interim replies, with the head that a switch has.
#[actix_rt::test]
async fn reply_that_switches_protocols_fails() {
    for interim in ["", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"] {
        let switch =
            "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
        let client = client_of(format!("{interim}{switch}{answer}")).await;
        assert_eq!(read(&client).await.err(), Some(ClientError::Broken), "{interim:?}");
        assert!(!client.is_open(), "{interim:?}: the connection is kept");
    }
}

/// Guards against statuses that no parser reads as a number of HTTP.
#[actix_rt::test]
async fn reply_without_a_number_of_three_digits_as_status_fails() {
    for status in ["000", "001", "099", "1000", "20", "2x0", "", "-20", "２００"] {
        let reply = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody");
        let client = client_of(reply).await;
        assert!(read(&client).await.is_err(), "status {status:?}");
        assert!(!client.is_open(), "status {status:?}: the connection is kept");
    }
}

#[actix_rt::test]
async fn reply_with_any_final_status_is_read() {
    for status in 200..600 {
        let reply = format!("HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n\r\n");
        let reply = read(&client_of(reply).await).await.unwrap();
        assert_eq!(reply.status.as_u16(), status);
    }
}
