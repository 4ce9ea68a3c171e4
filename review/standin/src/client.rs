//! Stand-in of a client.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Message;
use crate::http::ReadError;
use crate::names::HOST;
use crate::names::name;
use crate::record::Record;

/// Time to establish a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Debug)]
pub enum Ending {
    Answered(Message),
    /// The connection was refused.
    Refused,
    /// The connection ended before or within the answer.
    Broken,
    /// There was no answer within the deadline and a second.
    Silent,
}

impl Ending {
    /// Returns the status, or 0 if there was no answer.
    pub fn status(&self) -> u16 {
        match self {
            Ending::Answered(message) => message.status(),
            Ending::Refused | Ending::Broken | Ending::Silent => 0,
        }
    }
}

/// A client with one connection, which it keeps.
pub struct Client {
    pub address: SocketAddr,
    connection: Option<Connection>,
    record: Record,
}

/// What a client asks for.
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Client {
    pub fn new(address: SocketAddr, record: Record) -> Client {
        Client { address, connection: None, record }
    }

    /// Sends a request and reads its answer.
    pub fn send(&mut self, request: &Request<'_>) -> Ending {
        let Request { id, method, path, .. } = request;
        self.record.add(format!("client: sends {id} {method} {path} to {}", self.address));
        let ending = self.exchange(request);
        let text = match &ending {
            Ending::Answered(message) => {
                let signature = message.header(name("signature")).unwrap_or("-");
                let parts = message.header(name("parts")).unwrap_or("-");
                format!("{} signed {signature}, parts {parts}", message.status())
            }
            ending => format!("{ending:?}"),
        };
        self.record.add(format!("client: {id} ended with {text}"));
        ending
    }

    fn exchange(&mut self, request: &Request<'_>) -> Ending {
        let kept = self.connection.take();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match TcpStream::connect_timeout(&self.address, CONNECT_TIME) {
                Ok(stream) => Connection::new(stream),
                Err(_) => return Ending::Refused,
            },
        };
        let patience = Duration::from_millis(request.deadline_ms) + Duration::from_secs(1);
        let _ = connection.stream.set_read_timeout(Some(patience));
        if connection.stream.write_all(&request_bytes(request)).is_err() {
            return Ending::Broken;
        }
        match connection.read() {
            Ok(message) => {
                if !message.is_last() && !connection.has_bytes() {
                    self.connection = Some(connection);
                }
                Ending::Answered(message)
            }
            Err(ReadError::TimedOut) => Ending::Silent,
            Err(ReadError::Closed | ReadError::Broken) => Ending::Broken,
        }
    }
}

/// Returns the bytes of a request.
pub fn request_bytes(request: &Request<'_>) -> Vec<u8> {
    let Request { id, method, path, deadline_ms, body } = request;
    let (id_name, left) = (name("request_id"), name("remaining"));
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{id_name}: {id}\r\n");
    head.push_str(&format!("{left}: {deadline_ms}\r\n"));
    if !body.is_empty() || *method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
