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

/// Clients that misbehave, each with one connection and one request at a time.
const CLIENTS: usize = 200;
/// Length of their paths; with it a head stays below the limit of 16,384 bytes.
const PATH_BYTES: usize = 15_900;
/// Ordinary callers.
const CALLERS: usize = 20;
/// Time for which all of them send.
const PLAY_TIME: Duration = Duration::from_secs(15);
/// Time that a client waits.
const PATIENCE: Duration = Duration::from_secs(10);

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
    let vm = Vm::start("vm-0", store.address, temporary).map_err(problem)?;
    if !vm.wait_until_ready() {
        return Err("the VM did not become ready".to_owned());
    }
    let is_over = AtomicBool::new(false);
    let answered = AtomicU64::new(0);
    let calls: Mutex<Vec<Call>> = Mutex::default();
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
        check_readiness(&vm, PLAY_TIME, record);
        is_over.store(true, Ordering::Relaxed);
    });
    let calls = calls.into_inner().unwrap_or_default();
    let ran: u64 = targets.iter().map(|target| target.ran.load(Ordering::Relaxed)).sum();
    record.line(&format!(
        "{CLIENTS} clients with paths of {PATH_BYTES} bytes got {} answers, {:.1} a second",
        answered.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed) as f64 / PLAY_TIME.as_secs_f64()
    ));
    Ok(judge(&calls, ran, record))
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
