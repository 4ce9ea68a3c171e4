//! The store turns the two watch holders of seven VMs away, and serves the other five and the operator, who moves a route.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::call;
use crate::http::name;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::Vm;

/// VMs, and how many of them the store may turn away: a share of 0.35.
const VMS: usize = 7;
const MAX_REFUSED: usize = 2;
/// Time in which the watches settle, and for which they are counted then.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const COUNT_TIME: Duration = Duration::from_secs(8);
/// Time for which the store turns them away, and from its start to the change.
const REFUSAL_TIME: Duration = Duration::from_millis(9_000);
const CHANGE_DELAY: Duration = Duration::from_millis(500);
/// Time after which a change is in force, as in the settings, and for which requests are sent after the change.
const CHANGE_LIMIT: Duration = Duration::from_millis(5_000);
const PLAY_TIME: Duration = Duration::from_millis(14_000);
/// Interval between two requests to a VM.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a client waits.
const PATIENCE: Duration = Duration::from_secs(4);
/// Requests handled by the earlier version that break the rule.
const MIN_STALE: usize = 5;

/// A request, and the service whose target ran it.
struct Call {
    vm: usize,
    sent_at: Instant,
    status: String,
    ran_at: String,
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
    let _old = Target::start_listed("one", 2, &store).map_err(problem)?;
    let _new = Target::start_listed("two", 2, &store).map_err(problem)?;
    store.put("config", "main", &configuration(1, "one"));
    let mut doors = Vec::new();
    let mut vms = Vec::new();
    for number in 0..VMS {
        let door = store.open_door().map_err(problem)?;
        vms.push(Vm::start(&format!("vm-{number}"), door.address, temporary).map_err(problem)?);
        doors.push(door.state);
    }
    if !vms.iter().all(Vm::wait_until_ready) {
        return Err("a VM did not become ready".to_owned());
    }
    std::thread::sleep(SETTLE_TIME);
    let watches =
        || -> Vec<u64> { doors.iter().map(|door| door.watches.load(Ordering::Relaxed)).collect() };
    let before = watches();
    std::thread::sleep(COUNT_TIME);
    let after = watches();
    let holders: Vec<usize> = (0..VMS).filter(|vm| after[*vm] > before[*vm]).collect();
    record.line(&format!("watches are held by the VMs {holders:?}"));
    if holders.is_empty() || holders.len() > MAX_REFUSED {
        return Err(format!("{} VMs hold watches", holders.len()));
    }
    let set_closed = |is_closed: bool| {
        for holder in holders.iter().filter(|_| is_troubled) {
            doors[*holder].is_closed.store(is_closed, Ordering::Relaxed);
        }
    };
    let is_over = AtomicBool::new(false);
    let calls: Mutex<Vec<Call>> = Mutex::default();
    let mut changed_at = Instant::now();
    std::thread::scope(|scope| {
        for vm in (0..VMS).filter(|vm| !holders.contains(vm)) {
            let (address, is_over, calls) = (vms[vm].caller, &is_over, &calls);
            scope.spawn(move || call_on(vm, address, is_over, calls));
        }
        std::thread::sleep(Duration::from_secs(1));
        let refused_at = Instant::now();
        set_closed(true);
        record.line("the store turns these VMs away from now on");
        std::thread::sleep(CHANGE_DELAY);
        store.put("config", "main", &configuration(2, "two"));
        changed_at = Instant::now();
        record.line("the store has acknowledged version 2, which moves the route from one to two");
        std::thread::sleep(REFUSAL_TIME.saturating_sub(refused_at.elapsed()));
        set_closed(false);
        record.line("the store serves all VMs again");
        std::thread::sleep(PLAY_TIME.saturating_sub(changed_at.elapsed()));
        is_over.store(true, Ordering::Relaxed);
    });
    let calls = calls.into_inner().unwrap_or_default();
    let mut stale = 0;
    let mut checked = 0;
    for call in &calls {
        let Some(age) = call.sent_at.checked_duration_since(changed_at) else { continue };
        let Call { vm, status, ran_at, .. } = call;
        record.line(&format!(
            "vm-{vm}: sent {} ms after version 2, {status}, run by {ran_at}",
            age.as_millis()
        ));
        if age > CHANGE_LIMIT {
            checked += 1;
            stale += usize::from(ran_at.starts_with("i-one-"));
        }
    }
    record.line(&format!(
        "{checked} requests were sent later than {} ms after version 2 to VMs that the store served, {stale} of them were run by the old service",
        CHANGE_LIMIT.as_millis()
    ));
    match stale >= MIN_STALE {
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

fn configuration(version: u64, service: &str) -> String {
    let text = include_str!("../config-two.json").trim();
    text.replace("VERSION", &version.to_string()).replace("SERVICE", service)
}

/// Sends one request after the other to a VM.
fn call_on(vm: usize, address: SocketAddr, is_over: &AtomicBool, calls: &Mutex<Vec<Call>>) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let request = format!(
            "GET /one/x HTTP/1.1\r\nHost: site.example\r\n{}: call-{vm}-{number}\r\n{}: 4000\r\nConnection: close\r\n\r\n",
            name("request-id"),
            name("remaining")
        );
        let sent_at = Instant::now();
        let reply = call(address, request.as_bytes(), PATIENCE).ok().flatten();
        let (status, ran_at) = match reply {
            Some(reply) => {
                let signature = reply.header(name("signature")).unwrap_or("nobody");
                (reply.word(1).to_owned(), signature.to_owned())
            }
            None => ("no answer".to_owned(), "nobody".to_owned()),
        };
        if let Ok(mut calls) = calls.lock() {
            calls.push(Call { vm, sent_at, status, ran_at });
        }
        std::thread::sleep(CALL_INTERVAL);
    }
}
