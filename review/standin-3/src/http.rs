//! HTTP/1.1 as far as the stand-ins need it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A request or a reply: first line, headers with names in lower case, body.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a reply; 0 if this is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut message = Message { start: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line => {
                let (name, value) = line.split_once(':')?;
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Returns a reply with a body.
pub fn reply(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let lines: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("HTTP/1.1 {status} X\r\n{lines}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Listens on a free port; each connection is served by a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, patience).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        Some(Connection { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its reply; `None` if there is none.
    pub fn exchange(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
    ) -> Option<Message> {
        let lines: String =
            headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let request = format!("{method} {target} HTTP/1.1\r\nHost: site.example\r\n{lines}\r\n");
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        read(&mut self.reader)
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    patience: Duration,
) -> Option<Message> {
    Connection::open(address, patience)?.exchange("GET", target, headers)
}
