//! Stand-in of the platform's store: lists, long-polling watches and writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json;
use crate::wire;

/// Wait of a watch call from which on it counts as one that waits for changes, in milliseconds.
const MIN_HELD_MS: u64 = 100;

struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Kind, revision and text of each change.
    events: Vec<(String, u64, String)>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// An address of the store, used by one VM.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    view: Arc<DoorView>,
}

#[derive(Default)]
struct DoorView {
    held_at: Mutex<Option<Instant>>,
    /// Whether calls get no answer.
    is_silent: AtomicBool,
    /// Addresses that are other ones behind this door, as the VM's links lead through proxies.
    links: Vec<(String, String)>,
}

impl Door {
    /// Sets whether calls get no answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.view.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// Returns whether a call that waits for changes came by within `time`.
    pub fn has_watched(&self, time: Duration) -> bool {
        self.view.held_at.lock().unwrap().is_some_and(|at| at.elapsed() < time)
    }
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.spec
    )
}

impl Store {
    /// Creates or replaces an object; returns its text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let object = Object { revision: state.revision, spec: spec.to_owned() };
        let text = object_text(name, &object);
        let event = format!("{{\"removed\":false,\"object\":{text}}}");
        let revision = state.revision;
        state.events.push((kind.to_owned(), revision, event));
        state.objects.insert((kind.to_owned(), name.to_owned()), object);
        self.shared.1.notify_all();
        text
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = format!("{{\"removed\":true,\"object\":{}}}", object_text(name, &object));
        let revision = state.revision;
        state.events.push((kind.to_owned(), revision, event));
        self.shared.1.notify_all();
    }

    /// Returns whether there is an object.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        self.get(kind, name).0 == 200
    }

    /// Opens an address for one VM.
    pub fn open_door(&self) -> Door {
        self.open_door_with(Vec::new())
    }

    /// Opens an address for one VM, whose links to these addresses lead through others.
    pub fn open_door_with(&self, links: Vec<(String, String)>) -> Door {
        let view = Arc::new(DoorView { links, ..DoorView::default() });
        let (store, own) = (self.clone(), view.clone());
        let address = http::listen(move |stream| store.serve(stream, &own));
        Door { address, view }
    }

    fn serve(&self, stream: TcpStream, view: &DoorView) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(call) = http::read(&mut reader) {
            let (status, body) = self.answer(&call, &view.held_at);
            if view.is_silent.load(Ordering::Relaxed) {
                while view.is_silent.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let links = view.links.iter();
            let body = links.fold(body, |body, (real, own)| body.replace(real, own));
            let reply = http::reply(status, &[("Content-Type", "application/json")], &body);
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &http::Message, held_at: &Mutex<Option<Instant>>) -> (u16, String) {
        let (method, target) = call.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix(wire::name("objects")) else {
            return (404, "{}".to_owned());
        };
        let parameter = |name: &str| {
            query.split('&').filter_map(|part| part.split_once('=')).find(|(own, _)| *own == name)
        };
        let number = |name: &str| parameter(name).and_then(|(_, text)| text.parse::<u64>().ok());
        match (method, path.split_once('/')) {
            ("GET", None) => match number("watch") {
                Some(after) => {
                    let wait = number("wait_ms").unwrap_or(0);
                    if wait >= MIN_HELD_MS {
                        *held_at.lock().unwrap() = Some(Instant::now());
                    }
                    self.watch(path, after, Duration::from_millis(wait))
                }
                None => self.list(path, parameter("after").map_or("", |(_, name)| name)),
            },
            ("GET", Some((kind, name))) => self.get(kind, name),
            ("POST", None) => {
                let name = json::member(&call.body, "meta")
                    .and_then(|meta| json::text_member(meta, "name"))
                    .unwrap_or_default();
                match self.get(path, &name) {
                    (200, held) => (409, held),
                    _ => (201, self.put(path, &name, spec_of(&call.body))),
                }
            }
            ("PUT", Some((kind, name))) => {
                let held = self.get(kind, name);
                let wanted = json::member(&call.body, "meta")
                    .and_then(|meta| json::member(meta, "revision"))
                    .filter(|text| *text != "0");
                let own =
                    json::member(&held.1, "meta").and_then(|meta| json::member(meta, "revision"));
                match held.0 {
                    200 if wanted.is_some() && wanted != own => (409, held.1),
                    200 => (200, self.put(kind, name, spec_of(&call.body))),
                    status => (status, held.1),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object_text(name, object)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let wanted =
            state.objects.iter().filter(|((own, name), _)| own == kind && name.as_str() > after);
        let items: Vec<String> =
            wanted.map(|((_, name), object)| object_text(name, object)).collect();
        let revision = wire::name("revision");
        let (items, number) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"more\":false,\"{revision}\":{number}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let wanted =
                state.events.iter().filter(|(own, revision, _)| own == kind && *revision > after);
            let events: Vec<&str> = wanted.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = wire::name("revision");
                let (events, number) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"{revision}\":{number}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn spec_of(body: &str) -> &str {
    json::member(body, "spec").unwrap_or("null")
}
