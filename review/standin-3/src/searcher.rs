//! Stand-in of the searchers.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::wire;

/// Body of each answer.
const BODY: &str = "aaaaaaaaaaaaaaaa";

/// A request that a searcher began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// Rate at which a cold searcher crashes, in requests within one second.
#[derive(Clone, Copy, Debug)]
pub struct Frailty {
    pub cold_until: Instant,
    pub crash_count: usize,
}

struct State {
    id: String,
    work: Duration,
    frailty: Option<Frailty>,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    is_down: Mutex<bool>,
    /// Requests that were at work when it crashed.
    lost: Mutex<Vec<String>>,
    at_work: Mutex<Vec<String>>,
}

/// One process of a searcher.
#[derive(Clone)]
pub struct Searcher {
    pub address: SocketAddr,
    pub service: String,
    pub domain: String,
    born: u64,
    state: Arc<State>,
}

impl Searcher {
    pub fn start(
        id: &str,
        service: &str,
        domain: &str,
        work: Duration,
        frailty: Option<Frailty>,
    ) -> Searcher {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.map_or(1, |time| u64::try_from(time.as_millis()).unwrap_or(1));
        let state = Arc::new(State {
            id: id.to_owned(),
            work,
            frailty,
            runs: Mutex::default(),
            connections: Mutex::default(),
            is_down: Mutex::new(false),
            lost: Mutex::default(),
            at_work: Mutex::default(),
        });
        let own = state.clone();
        let address = http::listen(move |stream| own.serve(stream));
        Searcher { address, service: service.to_owned(), domain: domain.to_owned(), born, state }
    }

    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Returns its entry in the store.
    pub fn entry(&self, cold: Duration) -> String {
        let cold_ms = u64::try_from(cold.as_millis()).unwrap_or(0);
        wire::entry(&self.service, &self.address.to_string(), &self.domain, cold_ms, self.born, 1)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Returns the requests that were at work when it crashed.
    pub fn lost(&self) -> Vec<String> {
        self.state.lost.lock().unwrap().clone()
    }

    pub fn is_down(&self) -> bool {
        *self.state.is_down.lock().unwrap()
    }

    /// Ends the process: all connections break, and new ones are closed at once.
    pub fn crash(&self) {
        self.state.crash();
    }
}

impl State {
    fn crash(&self) {
        *self.is_down.lock().unwrap() = true;
        *self.lost.lock().unwrap() = self.at_work.lock().unwrap().clone();
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn is_cold(&self) -> Option<Duration> {
        let until = self.frailty?.cold_until;
        Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())
    }

    fn serve(&self, stream: TcpStream) {
        if *self.is_down.lock().unwrap() {
            return;
        }
        let (Ok(mut writer), Ok(held)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.connections.lock().unwrap().push(held);
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let Some(reply) = self.answer(&request) else { return };
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the reply to a request; `None` if the process has ended.
    fn answer(&self, request: &http::Message) -> Option<String> {
        if request.request().1 == "/healthz" {
            let mut headers = vec![(wire::name("target"), self.id.clone())];
            // Only the answers of the health path tell how long it stays cold.
            headers.extend(
                self.is_cold().map(|left| (wire::name("cold"), left.as_millis().to_string())),
            );
            let headers: Vec<(&str, &str)> =
                headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
            return Some(http::reply(200, &headers, ""));
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let expected = request.header(wire::name("expected"));
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Request-Id", id.as_str()), (wire::name("not_run"), "1")];
            return Some(http::reply(421, &headers, ""));
        }
        let now = Instant::now();
        let recent = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { id: id.clone(), at: now });
            let recent = |run: &&Run| now.duration_since(run.at) < Duration::from_secs(1);
            runs.iter().filter(recent).count()
        };
        self.at_work.lock().unwrap().push(id.clone());
        let is_beyond = |frailty: Frailty| now < frailty.cold_until && recent > frailty.crash_count;
        if self.frailty.is_some_and(is_beyond) {
            self.crash();
            return None;
        }
        std::thread::sleep(self.work);
        if *self.is_down.lock().unwrap() {
            return None;
        }
        self.at_work.lock().unwrap().retain(|own| *own != id);
        let signature = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id.as_str()), (wire::name("signature"), &signature)];
        Some(http::reply(200, &headers, BODY))
    }
}
