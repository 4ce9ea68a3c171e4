//! A searcher crashes and starts again, cold. How many requests does it get in a second?

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::record::Record;
use crate::searcher::Frailty;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::vm::TENANT_SITE;
use crate::vm::Vm;
use crate::wire;

const SERVICE: &str = "one";
/// Requests a second that a cold searcher tolerates, as the configuration names them.
const COLD_RATE: f64 = 10.0;
/// `cold_overage` and `cold_slack` of the site.
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests within a second at which a cold searcher crashes, three times what it tolerates.
const CRASH_COUNT: usize = 30;
const DOWN_TIME: Duration = Duration::from_secs(2);
const CLIENTS_PER_VM: usize = 6;
const WORK: Duration = Duration::from_millis(20);
const PAUSE: Duration = Duration::from_millis(90);

struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

/// Sends requests to a VM on kept connections until it is told to stop.
fn send_requests(
    vm: &Vm,
    client: usize,
    sent: &Arc<Mutex<Vec<Sent>>>,
    is_over: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (name, address) = (vm.name.clone(), vm.caller);
    let (sent, is_over) = (sent.clone(), is_over.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let Some(mut connection) = Connection::open(address, Duration::from_secs(4)) else {
                std::thread::sleep(PAUSE);
                continue;
            };
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let (id, at) = (format!("{name}-{client}-{number}"), Instant::now());
                let headers = [
                    ("X-Request-Id", id.as_str()),
                    (wire::name("deadline"), "4000"),
                    ("Content-Length", "0"),
                ];
                let reply = connection.exchange("POST", "/r/x", &headers);
                let status = reply.as_ref().map_or(0, |reply| reply.status());
                sent.lock().unwrap().push(Sent { id, at, status });
                let closes =
                    |reply: &crate::http::Message| reply.header("connection") == Some("close");
                if reply.as_ref().is_none_or(closes) {
                    break;
                }
                std::thread::sleep(PAUSE);
            }
        }
    })
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let store = Store::default();
    let list = wire::name("target_list");
    let searchers: Vec<Searcher> = ["a", "b", "b"]
        .iter()
        .enumerate()
        .map(|(number, domain)| {
            Searcher::start(&format!("i-{number}"), SERVICE, domain, WORK, None)
        })
        .collect();
    for searcher in &searchers {
        store.put(list, searcher.id(), &searcher.entry(Duration::ZERO));
    }
    let text = wire::config(1, wire::name("unsafe"), SERVICE, &[SERVICE], COLD_RATE);
    store.put("config", "main", &text);
    let mut vms = Vec::new();
    for (number, domain) in ["a", "b"].iter().enumerate() {
        match Vm::start(
            TENANT_SITE,
            folder,
            &format!("front-{number}"),
            domain,
            store.open_door().address,
            true,
        ) {
            Ok(vm) => vms.push(vm),
            Err(error) => return Verdict::NotRun(format!("a VM does not start: {error}")),
        }
    }
    let ready_by = Instant::now() + Duration::from_secs(25);
    if !vms.iter().all(|vm| vm.wait_ready(ready_by)) {
        return Verdict::NotRun("a VM is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for vm in &vms {
        for client in 0..CLIENTS_PER_VM {
            threads.push(send_requests(vm, client, &sent, &is_over));
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut cold = None;
    if has_trouble {
        let crashed = &searchers[2];
        crashed.crash();
        record.line(&format!("searcher {} crashes", crashed.id()));
        std::thread::sleep(DOWN_TIME);
        let began_at = Instant::now();
        let frailty = Frailty { cold_until: began_at + COLD_TIME, crash_count: CRASH_COUNT };
        let again = Searcher::start("i-3", SERVICE, "b", WORK, Some(frailty));
        store.remove(list, crashed.id());
        store.put(list, again.id(), &again.entry(COLD_TIME));
        record.line_at(began_at, "searcher i-3 starts in its place, cold for 3 s");
        cold = Some((began_at, again));
    }
    std::thread::sleep(COLD_TIME + Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap();
    let sent_at: HashMap<&str, Instant> =
        sent.iter().map(|request| (request.id.as_str(), request.at)).collect();
    for request in sent.iter() {
        record.line_at(request.at, &format!("{} sent: status {}", request.id, request.status));
    }
    let answered = sent.iter().filter(|request| request.status == 200).count();
    record.line(&format!("{} requests sent, {answered} answered with success", sent.len()));
    let Some((began_at, again)) = cold else { return Verdict::Held };
    let runs = again.runs();
    let mut spans: Vec<(Instant, Instant)> = Vec::new();
    for run in &runs {
        record.line_at(run.at, &format!("{} arrives at the cold searcher", run.id));
        let Some(at) = sent_at.get(run.id.as_str()) else { continue };
        if run.at < began_at + COLD_TIME {
            spans.push((*at, run.at));
        }
    }
    let within = |from: Instant| {
        let end = from + Duration::from_secs(1);
        spans.iter().filter(|(sent, arrived)| *sent >= from && *arrived < end).count()
    };
    let most = spans.iter().map(|(sent, _)| within(*sent)).max().unwrap_or(0);
    let bound = COLD_RATE * COLD_OVERAGE + COLD_SLACK;
    record.line(&format!(
        "most requests sent and arrived within one second while it was cold: {most}; allowed {bound}"
    ));
    if again.is_down() {
        let lost = again.lost();
        record.line(&format!(
            "the cold searcher crashed under them; at work then: {}",
            lost.join(" ")
        ));
    }
    if most as f64 > bound { Verdict::Broken } else { Verdict::Held }
}
