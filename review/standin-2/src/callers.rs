//! Ordinary callers, and the rule on requests that are unanswered at the time limit of their route.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::name;
use crate::http::read_message;
use crate::record::Record;
use crate::vm::Vm;

/// Interval between two requests of a caller.
const CALLER_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of the route in `config.json`, and the time after it in which the rule wants an answer.
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time that a caller waits; its deadline is the same.
const PATIENCE: Duration = Duration::from_secs(10);
/// Number of late requests, and the part of all as a divisor, from which on the rule is broken.
const MIN_LATE: usize = 8;
const LATE_DIVISOR: usize = 4;

/// A request of an ordinary caller.
pub(crate) struct Call {
    id: String,
    status: Option<String>,
    time: Duration,
}

/// Asks once a second for some time whether the VM is ready, and records the answers.
pub(crate) fn check_readiness(vm: &Vm, time: Duration, record: &Record) {
    let (mut checks, mut failed, mut in_a_row, mut most_in_a_row) = (0, 0, 0, 0);
    let end = Instant::now() + time;
    while Instant::now() < end {
        checks += 1;
        match vm.is_ready(Duration::from_secs(1)) {
            true => in_a_row = 0,
            false => {
                failed += 1;
                in_a_row += 1;
            }
        }
        most_in_a_row = most_in_a_row.max(in_a_row);
        std::thread::sleep(Duration::from_secs(1));
    }
    record.line(&format!(
        "ready checks: {failed} of {checks} failed, {most_in_a_row} in a row at most"
    ));
}

/// Records the requests and judges them; targets ran `ran` requests.
pub(crate) fn judge(calls: &[Call], ran: u64, record: &Record) -> Verdict {
    for call in calls {
        let status = call.status.as_deref().unwrap_or("no answer");
        record.line(&format!("{}: {status} after {} ms", call.id, call.time.as_millis()));
    }
    let unanswered = calls.iter().filter(|call| call.time > TIME_LIMIT).count();
    let late = calls.iter().filter(|call| call.time > TIME_LIMIT + ANSWER_SLACK).count();
    record.line(&format!(
        "ordinary requests: {} sent, {unanswered} unanswered at the route's time limit, {late} half a second later; targets ran {ran} of all",
        calls.len()
    ));
    let is_broken = late >= MIN_LATE && late * LATE_DIVISOR > calls.len() && late * 2 > unanswered;
    match is_broken {
        true => {
            record.line("the rule is broken");
            Verdict::Broken
        }
        false => {
            record.line("the rule is kept");
            Verdict::Kept
        }
    }
}

/// Sends ordinary requests, each on a new connection.
pub(crate) fn call_on(
    address: SocketAddr,
    caller: usize,
    is_over: &AtomicBool,
    calls: &Mutex<Vec<Call>>,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("caller-{caller}-{number}");
        if let Ok((status, time)) = call_once(address, &id)
            && let Ok(mut calls) = calls.lock()
        {
            calls.push(Call { id, status, time });
        }
        std::thread::sleep(CALLER_INTERVAL);
    }
}

/// Returns the status of the answer, if there was one, and the time since the request was sent.
///
/// # Errors
///
/// Returns an error if the request could not be sent; it does not count then.
fn call_once(address: SocketAddr, id: &str) -> io::Result<(Option<String>, Duration)> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let request = format!(
        "GET /one/ordinary HTTP/1.1\r\nHost: site.example\r\n{}: {id}\r\n{}: {}\r\nConnection: close\r\n\r\n",
        name("request-id"),
        name("remaining"),
        PATIENCE.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    let sent_at = Instant::now();
    let reply = read_message(&mut BufReader::new(stream)).ok().flatten();
    Ok((reply.map(|reply| reply.word(1).to_owned()), sent_at.elapsed()))
}
