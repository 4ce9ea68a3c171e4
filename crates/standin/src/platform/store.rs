//! Object store with one global version and a bounded history of changes.

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

/// Maximum total size of the objects in the history, in bytes.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// One change, with the object that it replaced.
#[derive(Clone, Debug)]
struct HistoryEntry {
    version: u64,
    at: Instant,
    change: WatchKind,
    object: Rc<ObjectDocument>,
    before: Option<Rc<ObjectDocument>>,
    bytes: usize,
}

/// Store of all objects, keyed by kind and name.
#[derive(Debug)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<(String, String), Rc<ObjectDocument>>,
    version: u64,
    history: VecDeque<HistoryEntry>,
    history_limit: usize,
    history_bytes: usize,
    /// Highest version whose change has been dropped from the history.
    compacted_version: u64,
}

impl ObjectStore {
    /// Creates an empty store that retains up to `history_limit` changes.
    pub(crate) fn new(history_limit: usize) -> ObjectStore {
        ObjectStore {
            objects: BTreeMap::new(),
            version: 0,
            history: VecDeque::new(),
            history_limit,
            history_bytes: 0,
            compacted_version: 0,
        }
    }

    /// Returns the version of the latest change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of objects.
    pub(crate) fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns an object.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Rc<ObjectDocument>> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Creates an object; fails if the name is taken.
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

    /// Replaces an object if its version equals that of `document`.
    pub(crate) fn update(
        &mut self,
        document: ObjectDocument,
        now: Instant,
    ) -> Result<Rc<ObjectDocument>, PlatformError> {
        let expected = document.revision();
        let before = self.get_expected(&document.kind, &document.metadata.name, Some(expected))?;
        Ok(self.record(WatchKind::Modified, document, Some(before), now))
    }

    /// Deletes an object; if `expected` is given, only at that version.
    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        now: Instant,
    ) -> Result<Rc<ObjectDocument>, PlatformError> {
        let before = self.get_expected(kind, name, expected)?;
        Ok(self.record(WatchKind::Deleted, (*before).clone(), Some(before), now))
    }

    /// Creates or replaces an object without a version check.
    pub(crate) fn put(&mut self, kind: &str, name: &str, spec: serde_json::Value, now: Instant) {
        let metadata = ObjectMetadata { name: name.to_owned(), ..ObjectMetadata::default() };
        let before = self.get(kind, name).cloned();
        let change = if before.is_some() { WatchKind::Modified } else { WatchKind::Added };
        let document = ObjectDocument { kind: kind.to_owned(), metadata, spec };
        self.record(change, document, before, now);
    }

    /// Returns the objects of a kind as of time `at`.
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

    /// Returns an object as of time `at`.
    pub(crate) fn get_at(&self, kind: &str, name: &str, at: Instant) -> Option<Rc<ObjectDocument>> {
        let later = self.history.iter().filter(|entry| entry.at > at);
        let mut changes =
            later.filter(|entry| entry.object.kind == kind && entry.object.metadata.name == name);
        match changes.next() {
            Some(entry) => entry.before.clone(),
            None => self.get(kind, name).cloned(),
        }
    }

    /// Returns the changes of a kind after `version` and no later than `at`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Expired`] if the history no longer contains all changes after `version`.
    pub(crate) fn changes_after(
        &self,
        kind: &str,
        version: u64,
        at: Instant,
    ) -> Result<Vec<WatchEvent>, PlatformError> {
        if version < self.compacted_version {
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

    /// Returns the version of the latest change no later than `at`.
    pub(crate) fn version_at(&self, at: Instant) -> u64 {
        let hidden = self.history.iter().find(|entry| entry.at > at);
        hidden.map_or(self.version, |entry| entry.version - 1)
    }

    /// Returns the current object if it has the expected version or none is expected.
    fn get_expected(
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

    /// Applies a change under the next version and appends it to the history.
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
        self.compact();
        object
    }

    /// Drops the oldest changes until the history is within both limits.
    fn compact(&mut self) {
        while self.history.len() > self.history_limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(entry) = self.history.pop_front() else { return };
            self.history_bytes -= entry.bytes;
            self.compacted_version = entry.version;
        }
    }
}

/// Returns metadata with a version and no name.
pub(crate) fn version_metadata(version: u64) -> ObjectMetadata {
    ObjectMetadata { resource_version: version.to_string(), ..ObjectMetadata::default() }
}
