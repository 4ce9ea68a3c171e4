//! HTTP/1.1 messages on blocking sockets.

use std::io::Read;
use std::net::TcpStream;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Words of the first line.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn is_last(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The reason that there is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was closed before the first byte.
    Closed,
    /// It was closed or reset within the message, or the bytes are no message.
    Broken,
    /// The time-out of the socket has passed.
    TimedOut,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Returns whether bytes have been read ahead.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads one message; `has_no_body` holds for an answer to a HEAD request.
    pub fn read(&mut self) -> Result<Message, ReadError> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned).collect();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { line, headers, body: Vec::new() };
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.body = self.take(length)?;
        } else if message.header("transfer-encoding").is_some() {
            message.body = self.take_chunks()?;
        }
        Ok(message)
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < length {
            self.fill().map_err(broken)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn take_chunks(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match find(&self.buffer, b"\r\n") {
                    Some(at) => break at,
                    None => self.fill().map_err(broken)?,
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ReadError::Broken)?;
            self.buffer.drain(..end + 2);
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn fill(&mut self) -> Result<(), ReadError> {
        let mut block = [0; 16 * 1024];
        match self.stream.read(&mut block) {
            Ok(0) if self.buffer.is_empty() => Err(ReadError::Closed),
            Ok(0) => Err(ReadError::Broken),
            Ok(count) => {
                self.buffer.extend_from_slice(&block[..count]);
                Ok(())
            }
            Err(error) => Err(match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                    ReadError::TimedOut
                }
                _ if self.buffer.is_empty() => ReadError::Closed,
                _ => ReadError::Broken,
            }),
        }
    }
}

fn broken(error: ReadError) -> ReadError {
    if error == ReadError::TimedOut { error } else { ReadError::Broken }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Returns the bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
