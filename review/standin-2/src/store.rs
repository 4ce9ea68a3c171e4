//! The platform's store, with the calls that a VM makes. Each VM may have a door of its own, which can be closed.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
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

use crate::http::Message;
use crate::http::answer;
use crate::http::name;
use crate::http::read_message;

/// An object: its kind, its name and its document as it is sent.
#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

/// A change of an object.
struct Change {
    revision: u64,
    kind: String,
    document: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// Longest time for which a waiting call does not notice that its door was closed.
const DOOR_INTERVAL: Duration = Duration::from_millis(50);

/// An address of the store, at which it may turn callers away.
pub(crate) struct Door {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<DoorState>,
}

/// State of a door.
#[derive(Default)]
pub(crate) struct DoorState {
    /// Whether all calls are answered 503.
    pub(crate) is_closed: AtomicBool,
    /// Number of watch calls that it answered.
    pub(crate) watches: AtomicU64,
}

/// The store.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub(crate) fn start() -> io::Result<Store> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let door = open_door(&shared)?;
        Ok(Store { address: door.address, shared })
    }

    /// Opens a further address of the store.
    pub(crate) fn open_door(&self) -> io::Result<Door> {
        open_door(&self.shared)
    }

    /// Writes an object.
    pub(crate) fn put(&self, kind: &str, object: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no thread panics with the lock");
        state.put(kind, object, spec);
        changed.notify_all();
    }
}

fn open_door(shared: &Arc<(Mutex<State>, Condvar)>) -> io::Result<Door> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let state: Arc<DoorState> = Arc::default();
    let (own_shared, own_state) = (shared.clone(), state.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, door) = (own_shared.clone(), own_state.clone());
            // A connection that breaks ends its thread.
            std::thread::spawn(move || serve(stream, &shared, &door));
        }
    });
    Ok(Door { address, state })
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(held) = self.objects.get(&key).filter(|held| held.spec == spec) {
            return document(name, held);
        }
        self.revision += 1;
        let object = Object { revision: self.revision, spec: spec.to_owned() };
        let document = document(name, &object);
        self.objects.insert(key, object);
        let change =
            Change { revision: self.revision, kind: kind.to_owned(), document: document.clone() };
        self.changes.push(change);
        document
    }
}

fn document(name: &str, object: &Object) -> String {
    let Object { revision, spec } = object;
    format!(r#"{{"meta":{{"name":"{name}","revision":{revision}}},"spec":{spec}}}"#)
}

fn serve(stream: TcpStream, shared: &(Mutex<State>, Condvar), door: &DoorState) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let (status, body) = reply(&request, shared, door);
        let headers = [("Content-Type", "application/json")];
        writer.write_all(&answer(status, &headers, body.as_bytes()))?;
    }
    Ok(())
}

fn reply(
    request: &Message,
    shared: &(Mutex<State>, Condvar),
    door: &DoorState,
) -> (&'static str, String) {
    const BUSY: &str = "503 Service Unavailable";
    if door.is_closed.load(Ordering::Relaxed) {
        return (BUSY, "{}".to_owned());
    }
    const OK: &str = "200 OK";
    const MISSING: &str = "404 Not Found";
    const CONFLICT: &str = "409 Conflict";
    let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
    let Some(path) = path.strip_prefix(name("objects")) else {
        return (MISSING, "{}".to_owned());
    };
    let (kind, object) = path.split_once('/').unwrap_or((path, ""));
    let parameter = |wanted: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == wanted).map(|(_, value)| value.to_owned())
    };
    let (state, changed) = shared;
    let mut state = state.lock().expect("no thread panics with the lock");
    let body = String::from_utf8_lossy(&request.body).into_owned();
    match request.word(0) {
        "GET" if !object.is_empty() => {
            match state.objects.get(&(kind.to_owned(), object.to_owned())) {
                Some(held) => (OK, document(object, held)),
                None => (MISSING, "{}".to_owned()),
            }
        }
        "GET" => match parameter("watch").and_then(|after| after.parse::<u64>().ok()) {
            Some(after) => {
                let wait_ms = parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait_ms);
                door.watches.fetch_add(1, Ordering::Relaxed);
                loop {
                    if door.is_closed.load(Ordering::Relaxed) {
                        return (BUSY, "{}".to_owned());
                    }
                    let newer = state.changes.iter();
                    let newer =
                        newer.filter(|change| change.kind == kind && change.revision > after);
                    let events: Vec<String> = newer
                        .map(|change| {
                            format!(r#"{{"removed":false,"object":{}}}"#, change.document)
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let position = name("store-position");
                        let (events, revision) = (events.join(","), state.revision);
                        return (OK, format!(r#"{{"events":[{events}],"{position}":{revision}}}"#));
                    }
                    let waited = changed.wait_timeout(state, left.min(DOOR_INTERVAL));
                    state = waited.expect("no thread panics with the lock").0;
                }
            }
            None => {
                let held = state.objects.iter().filter(|((own, _), _)| own == kind);
                let items: Vec<String> =
                    held.map(|((_, name), object)| document(name, object)).collect();
                let position = name("store-position");
                let (items, revision) = (items.join(","), state.revision);
                (OK, format!(r#"{{"items":[{items}],"more":false,"{position}":{revision}}}"#))
            }
        },
        "POST" => {
            let Some(created) = text_member(&body, "name") else {
                return ("400 Bad Request", "{}".to_owned());
            };
            let key = (kind.to_owned(), created.clone());
            if let Some(held) = state.objects.get(&key) {
                return (CONFLICT, document(&created, held));
            }
            let document = state.put(kind, &created, spec_member(&body));
            changed.notify_all();
            (OK, document)
        }
        "PUT" => {
            let key = (kind.to_owned(), object.to_owned());
            let Some(held) = state.objects.get(&key).cloned() else {
                return (MISSING, "{}".to_owned());
            };
            let revision = body
                .split_once("\"revision\":")
                .map(|(_, rest)| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
            if revision.is_some_and(|revision| revision != held.revision.to_string()) {
                return (CONFLICT, document(object, &held));
            }
            let document = state.put(kind, object, spec_member(&body));
            changed.notify_all();
            (OK, document)
        }
        _ => ("405 Method Not Allowed", "{}".to_owned()),
    }
}

/// Returns the first text of a name in a document that a VM wrote.
fn text_member(document: &str, name: &str) -> Option<String> {
    let (_, rest) = document.split_once(&format!("\"{name}\":\""))?;
    rest.split_once('"').map(|(text, _)| text.to_owned())
}

/// Returns the last member of a document that a VM wrote, which is its spec.
fn spec_member(document: &str) -> &str {
    let spec = document.split_once("\"spec\":").map_or("null", |(_, rest)| rest);
    spec.strip_suffix('}').unwrap_or(spec)
}
