//! Stand-in of the platform's store: objects with revisions, lists and long-polling watches.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::answer;
use crate::json::member;
use crate::json::string;
use crate::names::name;
use crate::record::Record;

/// Longest wait of a watch.
const MAX_WAIT_MS: u64 = 30_000;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and JSON of each event.
    events: Vec<(u64, String, String)>,
}

/// A store on a free port; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

fn object_text(key: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{key}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":{{}}}}",
        object.revision, object.spec
    )
}

impl Store {
    /// Starts an empty store.
    pub fn start(ip: &str, record: Record) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store { address: listener.local_addr()?, state: Arc::default(), record };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object; the return is the acknowledgement.
    pub fn put(&self, kind: &str, key: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        state.revision += 1;
        let object = Object { revision: state.revision, spec: spec.to_owned() };
        let event = format!("{{\"object\":{},\"removed\":false}}", object_text(key, &object));
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), event));
        state.objects.insert((kind.to_owned(), key.to_owned()), object);
        changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), key.to_owned())) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = format!("{{\"object\":{},\"removed\":true}}", object_text(key, &object));
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), event));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(call) = connection.read() {
            let bytes = self.reply(&call);
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn reply(&self, call: &Message) -> Vec<u8> {
        let (method, target) = (call.line[0].as_str(), call.line[1].as_str());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix(name("objects_path")) else {
            return answer(404, &[], b"{}");
        };
        let parameter = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(own, _)| *own == key).map(|(_, value)| value.to_owned()).next()
        };
        let (kind, key) = path.split_once('/').unwrap_or((path, ""));
        let (status, body) = match (method, key) {
            ("GET", "") => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(kind, after, wait.unwrap_or(0))
                }
                None => self.list(kind, &parameter("after").unwrap_or_default()),
            },
            ("GET", _) => self.get(kind, key),
            ("POST", _) | ("PUT", _) => self.write(method, kind, key, call),
            ("DELETE", _) => {
                self.remove(kind, key);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        };
        answer(status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("no thread panics");
        let items = state.objects.iter().filter(|((own, key), _)| own == kind && **key > *after);
        let items: Vec<String> = items.map(|((_, key), object)| object_text(key, object)).collect();
        let revision = state.revision;
        let at = name("store_position");
        (200, format!("{{\"items\":[{}],\"more\":false,\"{at}\":{revision}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let (state, changed) = &*self.state;
        let end = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let mut state = state.lock().expect("no thread panics");
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, own, _)| *revision > after && own == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (at, revision) = (name("store_position"), state.revision);
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"{at}\":{revision}}}"));
            }
            state = changed.wait_timeout(state, end - now).expect("no thread panics").0;
        }
    }

    fn get(&self, kind: &str, key: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("no thread panics");
        match state.objects.get(&(kind.to_owned(), key.to_owned())) {
            Some(object) => (200, object_text(key, object)),
            None => (404, "{}".to_owned()),
        }
    }

    fn write(&self, method: &str, kind: &str, key: &str, call: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let meta = member(&text, "meta").unwrap_or("{}");
        let named = member(meta, "name").and_then(string).unwrap_or_default().to_owned();
        let key = if key.is_empty() { named } else { key.trim_end_matches("/status").to_owned() };
        let revision: u64 =
            member(meta, "revision").and_then(|raw| raw.parse().ok()).unwrap_or_default();
        let held = {
            let state = self.state.0.lock().expect("no thread panics");
            state.objects.get(&(kind.to_owned(), key.clone())).cloned()
        };
        match held {
            Some(held) if method == "POST" => return (409, object_text(&key, &held)),
            Some(held) if revision > 0 && revision != held.revision => {
                return (409, object_text(&key, &held));
            }
            None if method == "PUT" => return (404, "{}".to_owned()),
            _ => {}
        }
        let spec = member(&text, "spec").unwrap_or("{}");
        let revision = self.put(kind, &key, spec);
        self.record.add(format!("store: {method} {kind}/{key} by a machine"));
        (200, object_text(&key, &Object { revision, spec: spec.to_owned() }))
    }
}
