//! Changes of the configuration, requests that show which version is in force, and the judgement on them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::vm::Vm;
use crate::wire;

/// Service of each version of the configuration, so that who runs a request shows the version.
pub const SERVICES: [&str; 5] = ["one", "two", "three", "four", "five"];
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const WORK: Duration = Duration::from_millis(5);

struct Sent {
    id: String,
    vm: String,
    at: Instant,
    status: u16,
}

/// The operator, the searchers and the clients of a case.
pub struct Deployment {
    pub store: Store,
    record: Record,
    searchers: Vec<Searcher>,
    versions: Vec<(usize, Instant)>,
    sent: Arc<Mutex<Vec<Sent>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Addresses of machines that were killed for good, and when.
    killed: HashMap<SocketAddr, (String, Instant)>,
    /// Answers that named such machines too long after.
    stale_answers: usize,
    named_by: HashSet<String>,
}

impl Deployment {
    /// Starts the searchers of all services, `replicas` in each of two zones, and writes the first version.
    pub fn start(record: &Record, domains: &[&str], replicas: usize) -> Deployment {
        let store = Store::default();
        let mut searchers = Vec::new();
        for service in SERVICES {
            let places = domains
                .iter()
                .take(2)
                .flat_map(|domain| (0..replicas).map(move |own| (domain, own)));
            for (domain, replica) in places {
                let id = format!("i-{service}-{domain}-{replica}");
                let searcher = Searcher::start(&id, service, domain, WORK, None);
                store.put(wire::name("target_list"), &id, &searcher.entry(Duration::ZERO));
                searchers.push(searcher);
            }
        }
        let mut deployment = Deployment {
            store,
            record: record.clone(),
            searchers,
            versions: Vec::new(),
            sent: Arc::default(),
            is_over: Arc::default(),
            threads: Vec::new(),
            killed: HashMap::new(),
            stale_answers: 0,
            named_by: HashSet::new(),
        };
        deployment.change();
        deployment
    }

    /// Returns the addresses of all searchers.
    pub fn searcher_addresses(&self) -> Vec<SocketAddr> {
        self.searchers.iter().map(|searcher| searcher.address).collect()
    }

    /// Writes the next version, which moves all requests to the next service.
    pub fn change(&mut self) {
        let version = self.versions.len() + 1;
        let service = SERVICES[version - 1];
        let number = u64::try_from(version).unwrap_or(0);
        let text = wire::config(number, "idempotent", service, &SERVICES, 0.0);
        self.store.put("config", "main", &text);
        let at = Instant::now();
        self.versions.push((version, at));
        let line = format!("version {version} acknowledged: all requests to {service}");
        self.record.line_at(at, &line);
    }

    /// Kills a machine, which does not come back.
    pub fn kill(&mut self, vm: &mut Vm) {
        vm.kill();
        self.killed.insert(vm.caller, (vm.name.clone(), Instant::now()));
        self.record.line(&format!("{} is killed and does not come back", vm.name));
    }

    /// Sends requests to a VM until the end.
    pub fn send_requests(&mut self, vm: &Vm) {
        let (name, address) = (vm.name.clone(), vm.caller);
        let (sent, is_over) = (self.sent.clone(), self.is_over.clone());
        let client = self.threads.len();
        self.threads.push(std::thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let (id, at) = (format!("{name}-{client}-{number}"), Instant::now());
                let headers = [("X-Request-Id", id.as_str()), (wire::name("deadline"), "1000")];
                let path = format!("/r/{id}");
                let reply = http::call(address, &path, &headers, Duration::from_secs(1));
                let status = reply.map_or(0, |reply| reply.status());
                sent.lock().unwrap().push(Sent { id, vm: name.clone(), at, status });
                std::thread::sleep(REQUEST_INTERVAL);
            }
        }));
    }

    /// Asks a VM where to connect, and counts an answer that names a machine killed over `limit` before.
    pub fn ask_addresses(&mut self, vm: &Vm, limit: Duration) {
        let query = format!("{}{}", wire::name("addresses"), vm.domain);
        let Some(reply) = http::call(vm.addresses, &query, &[], Duration::from_secs(1)) else {
            return;
        };
        let is_stale = |address: &SocketAddr, killed_at: Instant| {
            killed_at.elapsed() > limit && reply.body.contains(&format!("\"{address}\""))
        };
        let stale = self.killed.iter().filter(|(address, (_, at))| is_stale(address, *at));
        let mut names: Vec<&str> = stale.map(|(_, (name, _))| name.as_str()).collect();
        if names.is_empty() {
            return;
        }
        names.sort_unstable();
        self.stale_answers += 1;
        if self.named_by.insert(vm.name.clone()) {
            let names = names.join(" ");
            self.record.line(&format!("{} names killed machines as addresses: {names}", vm.name));
        }
    }

    /// Ends the clients; returns whether a VM went back: a request that was sent to it more than `slack` after a searcher
    /// had run a request sent to it by a later version was run by a service that only an earlier version allows.
    pub fn judge_rollback(mut self, slack: Duration) -> bool {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let mut runs: HashMap<String, (usize, Instant)> = HashMap::new();
        for searcher in &self.searchers {
            let version = SERVICES.iter().position(|own| *own == searcher.service);
            let Some(version) = version.map(|place| place + 1) else { continue };
            for run in searcher.runs() {
                runs.insert(run.id, (version, run.at));
            }
        }
        let sent = self.sent.lock().unwrap();
        let run_of = |request: &Sent| runs.get(&request.id).copied();
        let mut count = 0;
        for request in sent.iter() {
            let service = run_of(request).map_or("none", |(version, _)| SERVICES[version - 1]);
            let Sent { id, vm, at, status } = request;
            let line = format!("{id} sent to {vm}: status {status}, run by {service}");
            self.record.line_at(*at, &line);
            let Some((version, _)) = run_of(request) else { continue };
            let shown = sent.iter().filter(|other| other.vm == *vm).filter_map(&run_of);
            let earlier = shown.filter(|(other, ran_at)| *other > version && *ran_at + slack < *at);
            if let Some(first) = earlier.map(|(_, ran_at)| ran_at).min() {
                count += 1;
                let late = at.duration_since(first).as_secs_f64();
                self.record.line_at(*at, &format!(
                    "{id} was run by {service}, {late:.2} s after a searcher had run a request of {vm} by a later \
                     version"
                ));
            }
        }
        self.record.line(&format!("requests by which a VM went back: {count}"));
        count > 0
    }

    /// Ends the clients; returns whether a request was run by an older service than the version that had been
    /// acknowledged `limit` before it was sent allows.
    pub fn judge(mut self, limit: Duration) -> bool {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let mut service_of: HashMap<String, &str> = HashMap::new();
        for searcher in &self.searchers {
            let service = SERVICES.iter().find(|service| **service == searcher.service);
            for run in searcher.runs() {
                service_of.insert(run.id, service.copied().unwrap_or_default());
            }
        }
        let mut counts: HashMap<(String, usize), (usize, f64)> = HashMap::new();
        for request in self.sent.lock().unwrap().iter() {
            let service = service_of.get(&request.id).copied().unwrap_or("none");
            let Sent { id, vm, at, status } = request;
            let line = format!("{id} sent to {vm}: status {status}, run by {service}");
            self.record.line_at(*at, &line);
            let run_version =
                SERVICES.iter().position(|own| *own == service).map(|place| place + 1);
            let due = self.versions.iter().rev().find(|(_, due_at)| *due_at + limit < *at);
            let (Some(run_version), Some((due, due_at))) = (run_version, due) else { continue };
            if run_version < *due {
                let late = at.duration_since(*due_at).as_secs_f64();
                let entry = counts.entry((vm.clone(), *due)).or_default();
                *entry = (entry.0 + 1, entry.1.max(late));
            }
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_by(|left, right| left.0.cmp(&right.0));
        for ((vm, version), (count, late)) in &counts {
            self.record.line(&format!(
                "{vm}: {count} requests were run by an older service than version {version} allows, the last \
                 was sent {late:.1} s after its acknowledgement"
            ));
        }
        let answers = self.stale_answers;
        self.record.line(&format!("answers that name machines killed too long before: {answers}"));
        !counts.is_empty()
    }
}
