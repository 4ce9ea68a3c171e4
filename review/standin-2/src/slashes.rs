//! Requests of legal size whose paths have very many short parts, from 200 clients that each wait for their answers.

use std::fs;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::name;
use crate::http::read_message;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::Vm;

/// Clients that misbehave, each with one connection and one request at a time.
const CLIENTS: usize = 200;
/// Length of their paths; with it a head stays below the limit of 16,384 bytes.
const PATH_BYTES: usize = 15_900;
/// Ordinary callers, and the interval between two requests of each.
const CALLERS: usize = 20;
const CALLER_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which all of them send.
const PLAY_TIME: Duration = Duration::from_secs(15);
/// Time limit of the route in `config.json`, and the time after it in which the rule wants an answer.
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time that a caller waits; its deadline is the same.
const PATIENCE: Duration = Duration::from_secs(10);
/// Number of late requests, and the part of all as a divisor, from which on the rule is broken.
const MIN_LATE: usize = 8;
const LATE_DIVISOR: usize = 4;

/// A request of an ordinary caller.
struct Call {
    id: String,
    status: Option<String>,
    time: Duration,
}

/// Runs the case.
pub(crate) fn run(folder: &Path, is_troubled: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
    let verdict = play(&record, &temporary, is_troubled);
    // Nothing depends on the files.
    let _ = fs::remove_dir_all(&temporary);
    verdict
}

fn play(record: &Record, temporary: &Path, is_troubled: bool) -> Result<Verdict, String> {
    let problem = |error: io::Error| error.to_string();
    let store = Store::start().map_err(problem)?;
    let targets = Target::start_listed(4, &store).map_err(problem)?;
    store.put("config", "main", include_str!("../config.json").trim());
    let vm = Vm::start("vm-0", store.address, temporary).map_err(problem)?;
    if !vm.wait_until_ready() {
        return Err("the VM did not become ready".to_owned());
    }
    let is_over = AtomicBool::new(false);
    let answered = AtomicU64::new(0);
    let calls: Mutex<Vec<Call>> = Mutex::default();
    let (mut checks, mut failed_checks, mut failed_in_a_row, mut most_in_a_row) = (0, 0, 0, 0);
    let address = vm.caller;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (is_over, answered) = (&is_over, &answered);
            scope.spawn(move || misbehave(address, client, is_troubled, is_over, answered));
        }
        for caller in 0..CALLERS {
            let (is_over, calls) = (&is_over, &calls);
            scope.spawn(move || call_on(address, caller, is_over, calls));
        }
        let end = Instant::now() + PLAY_TIME;
        while Instant::now() < end {
            checks += 1;
            match vm.is_ready(Duration::from_secs(1)) {
                true => failed_in_a_row = 0,
                false => {
                    failed_checks += 1;
                    failed_in_a_row += 1;
                }
            }
            most_in_a_row = most_in_a_row.max(failed_in_a_row);
            std::thread::sleep(Duration::from_secs(1));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let calls = calls.into_inner().unwrap_or_default();
    for call in &calls {
        let status = call.status.as_deref().unwrap_or("no answer");
        record.line(&format!("{}: {status} after {} ms", call.id, call.time.as_millis()));
    }
    let unanswered = calls.iter().filter(|call| call.time > TIME_LIMIT).count();
    let late = calls.iter().filter(|call| call.time > TIME_LIMIT + ANSWER_SLACK).count();
    let ran: u64 = targets.iter().map(|target| target.ran.load(Ordering::Relaxed)).sum();
    record.line(&format!(
        "{CLIENTS} clients with paths of {PATH_BYTES} bytes got {} answers, {:.1} a second",
        answered.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed) as f64 / PLAY_TIME.as_secs_f64()
    ));
    record.line(&format!(
        "ready checks: {failed_checks} of {checks} failed, {most_in_a_row} in a row at most"
    ));
    record.line(&format!(
        "ordinary requests: {} sent, {ran} run, {unanswered} unanswered at the route's time limit, {late} half a second later",
        calls.len()
    ));
    let is_broken = late >= MIN_LATE && late * LATE_DIVISOR > calls.len() && late * 2 > unanswered;
    match is_broken {
        true => {
            record.line("the rule is broken");
            Ok(Verdict::Broken)
        }
        false => {
            record.line("the rule is kept");
            Ok(Verdict::Kept)
        }
    }
}

/// Sends one request after the other at a path without a route, and reads each answer.
///
/// Without trouble the paths have the same length and one part.
fn misbehave(
    address: SocketAddr,
    client: usize,
    is_troubled: bool,
    is_over: &AtomicBool,
    answered: &AtomicU64,
) {
    let part = if is_troubled { "/" } else { "p" };
    let request = format!(
        "GET /none/{} HTTP/1.1\r\nHost: site.example\r\n{}: client-{client}\r\n{}: 4000\r\n\r\n",
        part.repeat(PATH_BYTES),
        name("request-id"),
        name("remaining")
    );
    while !is_over.load(Ordering::Relaxed) {
        // A connection that breaks is opened again.
        let _ = converse(address, &request, is_over, answered);
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn converse(
    address: SocketAddr,
    request: &str,
    is_over: &AtomicBool,
    answered: &AtomicU64,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while !is_over.load(Ordering::Relaxed) {
        writer.write_all(request.as_bytes())?;
        if read_message(&mut reader)?.is_none() {
            return Ok(());
        }
        answered.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// Sends ordinary requests, each on a new connection.
fn call_on(address: SocketAddr, caller: usize, is_over: &AtomicBool, calls: &Mutex<Vec<Call>>) {
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
