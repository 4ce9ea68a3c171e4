//! Requests of legal size that stop just short of their end, on 2,000 connections to each of two VMs.
//!
//! The case acts as the platform does: it ends a process that exceeds the memory of its machine, and starts it again.

use std::fs;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::call;
use crate::http::name;
use crate::http::read_message;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::Vm;

/// Memory of a machine, in kB: 160 MB as in the settings.
const MEMORY_KB: u64 = 160 * 1_024;
/// Machines, and ends of each that break the rule.
const MACHINES: usize = 2;
const ENDS: usize = 3;
/// Connections of the misbehaving clients to one machine.
const CONNECTIONS: usize = 2_000;
/// Length of a head, below the limit of 16,384, and its fields beside those that every request has.
const HEAD_BYTES: usize = 16_000;
const FIELDS: usize = 88;
/// Length of a body, far below the limit of 262,144.
const BODY_BYTES: usize = 8_192;
/// Time for which the connections stay open, less than a body may take.
const HOLD_TIME: Duration = Duration::from_millis(3_000);
/// Interval at which memory is looked at, and between two ordinary requests.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
const ORDINARY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which an ended process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time that a client waits.
const PATIENCE: Duration = Duration::from_secs(2);

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
    let targets = Target::start_listed("one", 4, &store).map_err(problem)?;
    store.put("config", "main", include_str!("../config.json").trim());
    let mut broken = 0;
    for machine in 0..MACHINES {
        let mut vm =
            Vm::start(&format!("vm-{machine}"), store.address, temporary).map_err(problem)?;
        if !vm.wait_until_ready() {
            return Err(format!("{} did not become ready", vm.name));
        }
        let mut ends = 0;
        for round in 1..=ENDS {
            if flood(record, &mut vm, round, is_troubled)? {
                ends += 1;
                std::thread::sleep(RESTART_DELAY);
                vm.restart().map_err(problem)?;
            }
            if !vm.wait_until_ready() {
                return Err(format!("{} did not become ready again", vm.name));
            }
        }
        record.line(&format!("{}: {ends} ends in {ENDS} rounds", vm.name));
        broken += usize::from(ends >= ENDS);
    }
    let ran: u64 = targets.iter().map(|target| target.ran.load(Ordering::Relaxed)).sum();
    record.line(&format!("targets ran {ran} requests"));
    match broken == MACHINES {
        true => {
            record.line("the rule is broken: the processes of both machines exceeded their memory three times");
            Ok(Verdict::Broken)
        }
        false => {
            record.line("the rule is kept");
            Ok(Verdict::Kept)
        }
    }
}

/// Opens the connections; returns whether the process had to be ended.
fn flood(record: &Record, vm: &mut Vm, round: usize, is_troubled: bool) -> Result<bool, String> {
    let is_over = AtomicBool::new(false);
    let (sent, served) = (AtomicU64::new(0), AtomicU64::new(0));
    let (name, caller) = (vm.name.clone(), vm.caller);
    let mut has_ended = false;
    std::thread::scope(|scope| {
        let clients = scope.spawn(|| misbehave(caller, is_troubled, &is_over));
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let number = sent.fetch_add(1, Ordering::Relaxed);
                let request = ordinary_request(number);
                let reply = call(caller, request.as_bytes(), PATIENCE);
                if reply.ok().flatten().is_some_and(|reply| reply.word(1) == "200") {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                std::thread::sleep(ORDINARY_INTERVAL);
            }
        });
        let mut peak = 0;
        while !clients.is_finished() {
            match vm.memory_kb() {
                Some((resident, highest)) => {
                    peak = peak.max(highest);
                    if resident > MEMORY_KB {
                        record.line(&format!(
                            "{name} round {round}: {resident} kB of {MEMORY_KB} kB, the platform ends the process"
                        ));
                        vm.kill();
                        has_ended = true;
                        is_over.store(true, Ordering::Relaxed);
                    }
                }
                None if !has_ended => {
                    record.line(&format!("{name} round {round}: the process has ended by itself"));
                    has_ended = true;
                    is_over.store(true, Ordering::Relaxed);
                }
                None => {}
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        is_over.store(true, Ordering::Relaxed);
        let opened = clients.join().unwrap_or_default();
        record.line(&format!(
            "{name} round {round}: {opened} connections with an {} request, peak {peak} kB, ordinary requests served {} of {}",
            if is_troubled { "unended" } else { "ended" },
            served.load(Ordering::Relaxed),
            sent.load(Ordering::Relaxed)
        ));
    });
    Ok(has_ended)
}

/// Opens the connections and keeps them open for a while; returns how many there were.
///
/// Without trouble each request is sent whole and its answer is read.
fn misbehave(caller: std::net::SocketAddr, is_troubled: bool, is_over: &AtomicBool) -> usize {
    let mut connections = Vec::new();
    let request = large_request();
    let length = request.len() - usize::from(is_troubled);
    for _ in 0..CONNECTIONS {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&caller, PATIENCE) else { break };
        let is_set = stream.set_write_timeout(Some(PATIENCE)).is_ok()
            && stream.set_read_timeout(Some(PATIENCE)).is_ok();
        if !is_set || stream.write_all(&request[..length]).is_err() {
            continue;
        }
        if !is_troubled && let Ok(copy) = stream.try_clone() {
            // What the answer says is not judged.
            let _ = read_message(&mut BufReader::new(copy));
        }
        connections.push(stream);
    }
    let end = Instant::now() + HOLD_TIME;
    while Instant::now() < end && !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(LOOK_INTERVAL);
    }
    connections.len()
}

fn ordinary_request(number: u64) -> String {
    format!(
        "GET /one/ordinary HTTP/1.1\r\nHost: site.example\r\n{}: ordinary-{number}\r\n{}: 2000\r\nConnection: close\r\n\r\n",
        name("request-id"),
        name("remaining")
    )
}

/// Builds a request that is legal in size.
fn large_request() -> Vec<u8> {
    let mut head = format!(
        "POST /one/large HTTP/1.1\r\nHost: site.example\r\n{}: large\r\n{}: 4000\r\nContent-Length: {BODY_BYTES}\r\n",
        name("request-id"),
        name("remaining")
    );
    let left = HEAD_BYTES - head.len() - 2;
    for field in 0..FIELDS {
        let line = format!("field-{field:03}: ");
        let value = "v".repeat(left / FIELDS - line.len() - 2);
        head.push_str(&format!("{line}{value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), &vec![b'b'; BODY_BYTES]].concat()
}
