//! Case: a machine that stops cuts answers that its clients are still reading.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Request;
use crate::client::request_bytes;
use crate::deployment::Deployment;
use crate::load::new_id;
use crate::machine::SIGTERM;
use crate::names::Route;
use crate::names::single;
use crate::record::Record;
use crate::searcher::Treatment;

/// Length of an answer.
const ANSWER_BYTES: usize = 900 * 1_024;
/// Bytes that a client reads at once, and the pause after it: 800 KB/s.
const READ_BYTES: usize = 8 * 1_024;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Receive buffer of a client.
const RECEIVE_BUFFER: i32 = 32 * 1_024;
/// Segment size of an Ethernet path. That of the loopback interface is so large that the sender's buffer holds an
/// answer whole.
const SEGMENT_BYTES: i32 = 1_460;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    safe fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

/// Connects with a small receive buffer and the segment size of an Ethernet path.
fn connect_as_far_client(address: SocketAddr) -> std::io::Result<std::net::TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(address) = address else { return Err(std::io::ErrorKind::Other.into()) };
    let raw = socket(AF_INET, SOCK_STREAM, 0);
    if raw < 0 {
        return Err(std::io::Error::last_os_error());
    }
    // SAFETY: `raw` is an open socket that nothing else owns.
    let stream = unsafe { std::net::TcpStream::from_raw_fd(raw) };
    let target = SocketAddressV4 {
        family: 2,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(address.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: the pointers are valid for the calls and of the lengths given.
    let result = unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4);
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        connect(stream.as_raw_fd(), &target, 16)
    };
    match result {
        0 => Ok(stream),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Sends one request and reads its answer slowly; returns the bytes of the body and whether it is whole.
fn read_slowly(address: SocketAddr, record: &Record) -> std::io::Result<(usize, bool)> {
    let mut stream = connect_as_far_client(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let id = new_id();
    let request =
        Request { id: &id, method: "GET", path: "/photo/9", deadline_ms: 8_000, body: b"" };
    record.add(format!("client: sends {id}"));
    stream.write_all(&request_bytes(&request))?;
    let mut answer = Vec::new();
    let mut block = [0; READ_BYTES];
    let end = loop {
        match stream.read(&mut block) {
            Ok(0) => break "end".to_owned(),
            Ok(count) => answer.extend_from_slice(&block[..count]),
            Err(error) => break error.to_string(),
        }
        if answer.len() > ANSWER_BYTES {
            let head = answer.windows(4).position(|window| window == b"\r\n\r\n").unwrap_or(0);
            if answer.len() >= head + 4 + ANSWER_BYTES {
                break "whole".to_owned();
            }
        }
        std::thread::sleep(READ_PAUSE);
    };
    record.add(format!("client: {id} got {} bytes, then: {end}", answer.len()));
    Ok((answer.len(), end == "whole"))
}

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<Verdict> {
    for _ in 0..3 {
        let plan = |_: &crate::http::Message| Treatment {
            work: Duration::from_millis(20),
            status: 200,
            body: vec![b'p'; ANSWER_BYTES],
        };
        deployment.add_searcher("photo-archive", 6, 24, Arc::new(plan), None)?;
    }
    deployment.configure(
        1,
        &[Route {
            name: "photo",
            prefix: "/photo/",
            is_idempotent: true,
            timeout_ms: 8_000,
            goal_ms: 500,
            attempts: 2,
            destination: single("photo-archive"),
        }],
    );
    if !deployment.start_machines(3)? {
        return Ok(Verdict::NotRun("a machine is not ready".to_owned()));
    }
    let record = deployment.record.clone();
    let front = deployment.machines[0].front;
    // Requests are sent until the drain begins; the process reads all of them.
    let begun_at = Instant::now();
    let clients: Vec<_> = (0..40u32)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(
                    Duration::from_millis(500) + Duration::from_millis(100) * number,
                );
                read_slowly(front, &record)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        deployment.machines[0].signal(SIGTERM);
    }
    let results: Vec<std::io::Result<(usize, bool)>> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    record.add(format!("all clients are done after {} ms", begun_at.elapsed().as_millis()));
    let whole = results.iter().filter(|result| matches!(result, Ok((_, true)))).count();
    let cut = results.iter().filter(|result| matches!(result, Ok((1.., false)))).count();
    let none = results.len() - whole - cut;
    let runs = deployment.runs().len();
    let summary = format!(
        "{cut} answers were cut while they were read, {whole} were read whole, {none} requests got no byte; {runs} runs"
    );
    Ok(if cut == 0 { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
