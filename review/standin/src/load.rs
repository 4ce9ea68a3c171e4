//! Clients that send one request after the other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Ending;
use crate::client::Request;
use crate::record::Record;
use crate::searcher::Run;

/// What the clients of a load send.
#[derive(Clone)]
pub struct Load {
    pub addresses: Vec<SocketAddr>,
    pub clients: usize,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub body: &'static [u8],
    /// Mean pause of a client between two requests.
    pub pause: Duration,
    pub time: Duration,
}

/// One client attempt and its end.
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    pub ending: Ending,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other attempt of this process has.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

impl Load {
    /// Runs the load and returns all attempts.
    pub fn run(&self, record: &Record) -> Vec<Attempt> {
        let load = Arc::new(self.clone());
        let clients: Vec<_> = (0..self.clients)
            .map(|number| {
                let (load, record) = (load.clone(), record.clone());
                std::thread::spawn(move || load.run_client(number, record))
            })
            .collect();
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    }

    fn run_client(&self, number: usize, record: Record) -> Vec<Attempt> {
        let address = self.addresses[number % self.addresses.len()];
        let mut client = Client::new(address, record);
        let mut attempts = Vec::new();
        let end = Instant::now() + self.time;
        let mut pauses = Pauses::new(number, self.pause);
        std::thread::sleep(pauses.next());
        while Instant::now() < end {
            let id = new_id();
            let sent_at = Instant::now();
            let ending = client.send(&Request {
                id: &id,
                method: self.method,
                path: &format!("{}{}", self.path, id),
                deadline_ms: self.deadline_ms,
                body: self.body,
            });
            attempts.push(Attempt { id, sent_at, ending });
            std::thread::sleep(pauses.next());
        }
        attempts
    }
}

/// Pauses of one client, exponentially distributed; the same in each run.
struct Pauses {
    state: u64,
    mean: Duration,
}

/// Longest pause, in mean pauses.
const MAX_PAUSE: f64 = 5.0;

impl Pauses {
    fn new(number: usize, mean: Duration) -> Pauses {
        let seed = (number as u64 + 1).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        Pauses { state: seed, mean }
    }

    /// Returns the next pause; the numbers are drawn by xorshift.
    fn next(&mut self) -> Duration {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        let share = ((self.state >> 11) as f64 / (1u64 << 53) as f64).max(f64::MIN_POSITIVE);
        self.mean.mul_f64((-share.ln()).min(MAX_PAUSE))
    }
}

/// Returns the number of runs of each request.
pub fn runs_by_request(runs: &[Run]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for run in runs {
        *counts.entry(run.request.as_str()).or_default() += 1;
    }
    counts
}

/// Returns how many attempts ended with each status, for the record.
pub fn statuses(attempts: &[Attempt]) -> String {
    let mut counts: Vec<(u16, usize)> = Vec::new();
    for attempt in attempts {
        let status = attempt.ending.status();
        match counts.iter_mut().find(|(own, _)| *own == status) {
            Some((_, count)) => *count += 1,
            None => counts.push((status, 1)),
        }
    }
    counts.sort_unstable();
    let counts: Vec<String> =
        counts.iter().map(|(status, count)| format!("{status}: {count}")).collect();
    counts.join(", ")
}
