//! Messages of HTTP/1.1, as far as the stand-ins need them.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Lines of `names.txt`: the words of the stand-ins and the names of the platform.
const NAMES: &str = include_str!("../names.txt");

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub(crate) start: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        self.headers.iter().find(|(key, _)| *key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub(crate) fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Returns the platform's name for a word of the stand-ins.
///
/// # Panics
///
/// Panics if `names.txt` has no such word.
pub(crate) fn name(word: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once('='));
    lines.find(|(key, _)| *key == word).map(|(_, name)| name).expect("the word is in names.txt")
}

/// Reads a message with a body of the stated length; `None` if the connection ends before it.
pub(crate) fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (message.start.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => message.start = line.to_owned(),
            (false, true) => break,
            (false, false) => {
                if let Some((key, value)) = line.split_once(':') {
                    message.headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends one request on a new connection and returns the answer.
pub(crate) fn call(
    address: SocketAddr,
    request: &[u8],
    patience: Duration,
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))
}

/// Builds an answer with the given headers and body.
pub(crate) fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}
