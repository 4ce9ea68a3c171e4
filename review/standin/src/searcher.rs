//! Stand-in of a searcher.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::answer;
use crate::names::name;
use crate::names::server_spec;
use crate::record::Record;

/// How the searcher treats a request that it has room for.
#[derive(Clone, Debug)]
pub struct Treatment {
    /// Time for which it works.
    pub work: Duration,
    pub status: u16,
    pub body: Vec<u8>,
}

/// Decides how a request is treated.
pub type Plan = Arc<dyn Fn(&Message) -> Treatment + Send + Sync>;

/// Decides whether a second copy of an answer comes late, where the next answer is expected. The argument is
/// whether the answer says that the request was not run.
pub type Repeat = Arc<dyn Fn(bool) -> bool + Send + Sync>;

/// Settings of a searcher.
#[derive(Clone)]
pub struct SearcherSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
    pub plan: Plan,
    pub repeat: Option<Repeat>,
}

/// A run: the searcher began to work on a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the client attempt.
    pub request: String,
}

#[derive(Default)]
struct Room {
    running: u32,
    waiting: u32,
}

/// A searcher on a free port; clones share it.
#[derive(Clone)]
pub struct Searcher {
    pub settings: SearcherSettings,
    pub address: SocketAddr,
    pub born: u64,
    room: Arc<(Mutex<Room>, Condvar)>,
    runs: Arc<Mutex<Vec<Run>>>,
    answers: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

/// Interval at which the listener looks for connections and for its end.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

impl Searcher {
    /// Starts a searcher that adds its runs to `runs`.
    pub fn start(
        ip: &str,
        settings: SearcherSettings,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Record,
    ) -> std::io::Result<Searcher> {
        let listener = TcpListener::bind((ip, 0))?;
        let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let searcher = Searcher {
            settings,
            address: listener.local_addr()?,
            born: u64::try_from(since_epoch.as_millis()).unwrap_or(1),
            room: Arc::default(),
            runs,
            answers: Arc::default(),
            is_down: Arc::default(),
            connections: Arc::default(),
            record,
        };
        listener.set_nonblocking(true)?;
        let shared = searcher.clone();
        std::thread::spawn(move || shared.accept(&listener));
        Ok(searcher)
    }

    /// Ends as a process that crashes: its connections are closed, and nobody listens at its address.
    pub fn crash(&self) {
        self.record.add(format!("{}: crashes", self.settings.id));
        self.is_down.store(true, Ordering::Relaxed);
        std::thread::sleep(ACCEPT_INTERVAL * 10);
        for stream in self.connections.lock().expect("no thread panics").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_down.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let Ok(kept) = stream.set_nonblocking(false).and_then(|()| stream.try_clone()) else {
                continue;
            };
            self.connections.lock().expect("no thread panics").push(kept);
            let searcher = self.clone();
            std::thread::spawn(move || searcher.serve(stream));
        }
    }

    /// Returns the spec of its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let SearcherSettings { service, zone, slots, .. } = &self.settings;
        server_spec(service, &self.address.to_string(), zone, *slots, state, self.born)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(call) = connection.read() {
            if let Some(copy) = late_copy.take() {
                self.record.add(format!("{}: second copy of an earlier answer", self.settings.id));
                if connection.stream.write_all(&copy).is_err() {
                    return;
                }
            }
            let Some((bytes, is_refusal)) = self.handle(&call, &connection.stream) else { return };
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
            let repeats = |repeat: &Repeat| repeat(is_refusal);
            if self.settings.repeat.as_ref().is_some_and(repeats) {
                late_copy = Some(bytes);
            }
        }
    }

    /// Returns the answer and whether it says that the request was not run; `None` if the caller is gone.
    fn handle(&self, call: &Message, stream: &TcpStream) -> Option<(Vec<u8>, bool)> {
        let id = self.settings.id.as_str();
        let request = call.header(name("request_id")).unwrap_or_default().to_owned();
        let refuse = |status: u16, why: &str| {
            self.record.add(format!("{id}: {status} not run ({why}) {request}"));
            let headers = [(name("request_id"), request.as_str()), (name("not_run"), "1")];
            Some((answer(status, &headers, b""), true))
        };
        if call.line[1] == "/healthz" {
            return Some((answer(200, &[(name("instance"), id)], b""), false));
        }
        if request.is_empty() {
            return refuse(400, "no id");
        }
        if call.header(name("expected")).is_some_and(|expected| expected != id) {
            return refuse(421, "another searcher is meant");
        }
        let left: u64 = call.header(name("remaining")).and_then(|text| text.parse().ok())?;
        let deadline = Instant::now() + Duration::from_millis(left);
        let (room, freed) = &*self.room;
        {
            let mut room = room.lock().expect("no thread panics");
            if room.running >= self.settings.slots && room.waiting >= self.settings.queue {
                drop(room);
                return refuse(503, "full");
            }
            room.waiting += 1;
            while room.running >= self.settings.slots {
                let now = Instant::now();
                if now >= deadline {
                    room.waiting -= 1;
                    drop(room);
                    return refuse(503, "deadline passed in the queue");
                }
                if is_closed(stream) {
                    room.waiting -= 1;
                    return None;
                }
                let pause = (deadline - now).min(Duration::from_millis(5));
                room = freed.wait_timeout(room, pause).expect("no thread panics").0;
            }
            room.waiting -= 1;
            room.running += 1;
        }
        let result = self.run(call, &request, stream, deadline);
        room.lock().expect("no thread panics").running -= 1;
        freed.notify_all();
        result
    }

    fn run(
        &self,
        call: &Message,
        request: &str,
        stream: &TcpStream,
        deadline: Instant,
    ) -> Option<(Vec<u8>, bool)> {
        let SearcherSettings { id, plan, .. } = &self.settings;
        let treatment = plan(call);
        self.record.add(format!("{id}: runs {request} {} {}", call.line[0], call.line[1]));
        let run = Run { request: request.to_owned() };
        self.runs.lock().expect("no thread panics").push(run);
        let end = Instant::now() + treatment.work;
        let is_late = end > deadline;
        let end = end.min(deadline);
        while Instant::now() < end {
            if is_closed(stream) {
                self.record.add(format!("{id}: caller of {request} is gone"));
                return None;
            }
            let left = end.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(Duration::from_millis(5)));
        }
        let status = if is_late { 504 } else { treatment.status };
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let signature = format!("{id}.{number:x}.{request}");
        let headers = [(name("request_id"), request), (name("signature"), signature.as_str())];
        self.record.add(format!("{id}: answers {status} {request}"));
        Some((answer(status, &headers, &treatment.body), false))
    }
}

/// Returns whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
