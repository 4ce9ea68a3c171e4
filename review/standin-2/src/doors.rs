//! A crowd that keeps its connections to both doors of a VM in use, fewer at each than one listener accepts and
//! together more than the VM has descriptors for.

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
use crate::callers::Call;
use crate::callers::call_on;
use crate::callers::check_readiness;
use crate::callers::judge;
use crate::http::name;
use crate::http::read_message;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::Vm;

/// Connections of the crowd to each door, and without trouble.
const CONNECTIONS: usize = 1_980;
const FEW_CONNECTIONS: usize = 198;
/// Descriptors of a VM: 3,900 for sockets, and some for files.
const DESCRIPTORS: usize = 3_910;
/// Threads that serve the connections to a door.
const THREADS: usize = 4;
/// Interval between two requests on a connection of the crowd; the idle limit is 15 s.
const USE_INTERVAL: Duration = Duration::from_secs(3);
/// Time in which the crowd arrives.
const ARRIVAL_TIME: Duration = Duration::from_secs(6);
/// Ordinary callers, and the time for which they send.
const CALLERS: usize = 20;
const PLAY_TIME: Duration = Duration::from_secs(15);
/// Time that a client of the crowd waits.
const PATIENCE: Duration = Duration::from_secs(3);

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
    let vm = Vm::start_limited("vm-0", store.address, temporary, Some(DESCRIPTORS));
    let vm = vm.map_err(problem)?;
    if !vm.wait_until_ready() {
        return Err("the VM did not become ready".to_owned());
    }
    let connections = if is_troubled { CONNECTIONS } else { FEW_CONNECTIONS };
    let front = format!(
        "GET /one/kept HTTP/1.1\r\nHost: site.example\r\n{}: kept\r\n{}: 2000\r\n\r\n",
        name("request-id"),
        name("remaining")
    );
    let addresses = format!(
        "GET {}?name=site.example&region=r&zone=a HTTP/1.1\r\nHost: door\r\n\r\n",
        name("addresses")
    );
    let is_over = AtomicBool::new(false);
    let (answered, broken) = (AtomicU64::new(0), AtomicU64::new(0));
    let calls: Mutex<Vec<Call>> = Mutex::default();
    std::thread::scope(|scope| {
        for (door, request) in [(vm.caller, &front), (vm.addresses, &addresses)] {
            for _ in 0..THREADS {
                let (is_over, answered, broken) = (&is_over, &answered, &broken);
                scope.spawn(move || {
                    keep(door, request, connections / THREADS, is_over, answered, broken);
                });
            }
        }
        std::thread::sleep(ARRIVAL_TIME);
        let was_answered = answered.load(Ordering::Relaxed);
        record.line(&format!(
            "{connections} connections to each door, {was_answered} answers so far"
        ));
        for caller in 0..CALLERS {
            let (address, is_over, calls) = (vm.caller, &is_over, &calls);
            scope.spawn(move || call_on(address, caller, is_over, calls));
        }
        check_readiness(&vm, PLAY_TIME, record);
        is_over.store(true, Ordering::Relaxed);
    });
    record.line(&format!(
        "the crowd got {} answers, {} of its requests got none",
        answered.load(Ordering::Relaxed),
        broken.load(Ordering::Relaxed)
    ));
    let calls = calls.into_inner().unwrap_or_default();
    let ran: u64 = targets.iter().map(|target| target.ran.load(Ordering::Relaxed)).sum();
    Ok(judge(&calls, ran, record))
}

/// Opens connections and sends a request on each from time to time; one that breaks is opened again.
fn keep(
    door: SocketAddr,
    request: &str,
    count: usize,
    is_over: &AtomicBool,
    answered: &AtomicU64,
    broken: &AtomicU64,
) {
    let mut connections: Vec<Option<TcpStream>> = (0..count).map(|_| open(door)).collect();
    while !is_over.load(Ordering::Relaxed) {
        let begun_at = Instant::now();
        for connection in &mut connections {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let is_answered = connection.as_ref().is_some_and(|stream| ask(stream, request));
            match is_answered {
                true => drop(answered.fetch_add(1, Ordering::Relaxed)),
                false => {
                    broken.fetch_add(1, Ordering::Relaxed);
                    *connection = open(door);
                }
            }
        }
        std::thread::sleep(USE_INTERVAL.saturating_sub(begun_at.elapsed()));
    }
}

fn open(door: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&door, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}

/// Sends a request and reads the answer; returns whether there was one.
fn ask(stream: &TcpStream, request: &str) -> bool {
    let mut writer = stream;
    let Ok(copy) = stream.try_clone() else { return false };
    writer.write_all(request.as_bytes()).is_ok()
        && read_message(&mut BufReader::new(copy)).is_ok_and(|reply| reply.is_some())
}
