//! Objects with one global version and a bounded history.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectList;
use oleanderwind_wire::ObjectMetadata;
use oleanderwind_wire::WatchEvent;
use oleanderwind_wire::WatchKind;

use crate::platform::error::PlatformError;

/// Bytes of objects that the history keeps at most.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// One change, with what it replaced.
#[derive(Clone, Debug)]
struct HistoryEntry {
    version: u64,
    at: Instant,
    change: WatchKind,
    object: Rc<ObjectDocument>,
    before: Option<Rc<ObjectDocument>>,
    bytes: usize,
}

/// Every object of every kind.
#[derive(Debug)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<(String, String), Rc<ObjectDocument>>,
    version: u64,
    history: VecDeque<HistoryEntry>,
    history_limit: usize,
    history_bytes: usize,
    /// Highest version whose change is no longer in the history.
    forgotten: u64,
}

impl ObjectStore {
    /// An empty store that keeps `history_limit` changes.
    pub(crate) fn new(history_limit: usize) -> ObjectStore {
        ObjectStore {
            objects: BTreeMap::new(),
            version: 0,
            history: VecDeque::new(),
            history_limit,
            history_bytes: 0,
            forgotten: 0,
        }
    }

    /// Version of the last change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Number of objects.
    pub(crate) fn len(&self) -> usize {
        self.objects.len()
    }

    /// One object.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Rc<ObjectDocument>> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Adds a new object.
    pub(crate) fn create(
        &mut self,
        document: ObjectDocument,
        now: Instant,
    ) -> Result<Rc<ObjectDocument>, PlatformError> {
        match self.get(&document.kind, &document.metadata.name) {
            Some(_) => Err(PlatformError::AlreadyExists),
            None => Ok(self.record(WatchKind::Added, document, None, now)),
        }
    }

    /// Replaces an object that still has the version that `document` names.
    pub(crate) fn update(
        &mut self,
        document: ObjectDocument,
        now: Instant,
    ) -> Result<Rc<ObjectDocument>, PlatformError> {
        let expected = document.revision();
        let before = self.at_version(&document.kind, &document.metadata.name, Some(expected))?;
        Ok(self.record(WatchKind::Modified, document, Some(before), now))
    }

    /// Removes an object, if it still has `expected` when that is given.
    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        now: Instant,
    ) -> Result<Rc<ObjectDocument>, PlatformError> {
        let before = self.at_version(kind, name, expected)?;
        Ok(self.record(WatchKind::Deleted, (*before).clone(), Some(before), now))
    }

    /// Creates or replaces an object whatever its version.
    pub(crate) fn put(&mut self, kind: &str, name: &str, spec: serde_json::Value, now: Instant) {
        let metadata = ObjectMetadata { name: name.to_owned(), ..ObjectMetadata::default() };
        let before = self.get(kind, name).cloned();
        let change = if before.is_some() { WatchKind::Modified } else { WatchKind::Added };
        let document = ObjectDocument { kind: kind.to_owned(), metadata, spec };
        self.record(change, document, before, now);
    }

    /// Objects of a kind as they were at `at`.
    pub(crate) fn list(&self, kind: &str, at: Instant) -> ObjectList {
        let mut items: BTreeMap<&str, &Rc<ObjectDocument>> = self
            .objects
            .iter()
            .filter(|((object_kind, _), _)| object_kind == kind)
            .map(|((_, name), document)| (name.as_str(), document))
            .collect();
        let mut version = self.version;
        for entry in self.history.iter().rev().take_while(|entry| entry.at > at) {
            version = entry.version - 1;
            if entry.object.kind != kind {
                continue;
            }
            let name = entry.object.metadata.name.as_str();
            match &entry.before {
                Some(before) => items.insert(name, before),
                None => items.remove(name),
            };
        }
        ObjectList {
            metadata: version_metadata(version),
            items: items.into_values().map(|item| (**item).clone()).collect(),
        }
    }

    /// One object as it was at `at`.
    pub(crate) fn get_at(&self, kind: &str, name: &str, at: Instant) -> Option<Rc<ObjectDocument>> {
        let later = self.history.iter().filter(|entry| entry.at > at);
        let mut changes =
            later.filter(|entry| entry.object.kind == kind && entry.object.metadata.name == name);
        match changes.next() {
            Some(entry) => entry.before.clone(),
            None => self.get(kind, name).cloned(),
        }
    }

    /// Changes of a kind after `version` that happened by `at`.
    pub(crate) fn changes_after(
        &self,
        kind: &str,
        version: u64,
        at: Instant,
    ) -> Result<Vec<WatchEvent>, PlatformError> {
        if version < self.forgotten {
            return Err(PlatformError::Expired);
        }
        let changes = self
            .history
            .iter()
            .filter(|entry| entry.version > version && entry.at <= at)
            .filter(|entry| entry.object.kind == kind)
            .map(|entry| WatchEvent { kind: entry.change, object: (*entry.object).clone() });
        Ok(changes.collect())
    }

    /// Version of the last change that happened by `at`.
    pub(crate) fn version_at(&self, at: Instant) -> u64 {
        let hidden = self.history.iter().find(|entry| entry.at > at);
        hidden.map_or(self.version, |entry| entry.version - 1)
    }

    /// The present object, when it has the expected version.
    fn at_version(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<Rc<ObjectDocument>, PlatformError> {
        let current = self.get(kind, name).ok_or(PlatformError::NotFound)?;
        match expected {
            Some(expected) if expected != current.revision() => {
                Err(PlatformError::Conflict(Rc::clone(current)))
            }
            _ => Ok(Rc::clone(current)),
        }
    }

    /// Writes a change under the next version.
    fn record(
        &mut self,
        change: WatchKind,
        mut document: ObjectDocument,
        before: Option<Rc<ObjectDocument>>,
        now: Instant,
    ) -> Rc<ObjectDocument> {
        self.version += 1;
        document.metadata.resource_version = self.version.to_string();
        let key = (document.kind.clone(), document.metadata.name.clone());
        let bytes = document.to_bytes().len();
        let object = Rc::new(document);
        match change {
            WatchKind::Deleted => self.objects.remove(&key),
            _ => self.objects.insert(key, Rc::clone(&object)),
        };
        let version = self.version;
        let entry =
            HistoryEntry { version, at: now, change, object: Rc::clone(&object), before, bytes };
        self.history.push_back(entry);
        self.history_bytes += bytes;
        self.forget();
        object
    }

    /// Drops the oldest changes until both bounds hold.
    fn forget(&mut self) {
        while self.history.len() > self.history_limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(entry) = self.history.pop_front() else { return };
            self.history_bytes -= entry.bytes;
            self.forgotten = entry.version;
        }
    }
}

/// Metadata that carries only a version.
pub(crate) fn version_metadata(version: u64) -> ObjectMetadata {
    ObjectMetadata { resource_version: version.to_string(), ..ObjectMetadata::default() }
}
