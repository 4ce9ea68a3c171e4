//! All configuration objects of a VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::ConfigurationObject;
use crate::ObjectDelta;
use crate::ObjectKey;
use crate::ObjectKind;
use crate::ObjectSummary;
use crate::Revision;

/// Deletions that are remembered.
const TOMBSTONE_LIMIT: usize = 10_000;

/// Objects by name, with the revision up to which they are all there.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<ObjectKey, ConfigurationObject>,
    order: BTreeSet<(Revision, ObjectKey)>,
    tombstones: BTreeSet<(Revision, ObjectKey)>,
    /// Deletions up to this revision may be forgotten; never above `complete_to`.
    forgotten_to: Revision,
    complete_to: Revision,
    highest: Revision,
    digest: u64,
}

/// Reading.
impl ObjectStore {
    /// The object, unless it is deleted or unknown.
    pub fn get(&self, key: &ObjectKey) -> Option<&ConfigurationObject> {
        self.objects.get(key).filter(|object| object.body.is_some())
    }

    /// Objects of a kind that exist, by name.
    pub fn iter_kind(&self, kind: ObjectKind) -> impl Iterator<Item = &ConfigurationObject> {
        let start = ObjectKey { kind, name: "".into() };
        let rest = self.objects.range(start..).map(|(_, object)| object);
        rest.take_while(move |object| object.key.kind == kind)
            .filter(|object| object.body.is_some())
    }

    /// What heartbeats tell of the store.
    pub fn summary(&self) -> ObjectSummary {
        ObjectSummary { highest: self.highest, complete_to: self.complete_to, digest: self.digest }
    }

    /// Objects changed after `after`, lowest revision first, up to about `max_bytes`.
    ///
    /// At least one object is sent whatever its size, so that a pull always moves on.
    pub fn delta_after(&self, after: Revision, max_bytes: usize) -> ObjectDelta {
        let too_old = after > 0 && after < self.forgotten_to;
        let mut delta = ObjectDelta { too_old, scanned_to: after, ..ObjectDelta::default() };
        delta.complete_to = self.complete_to;
        if too_old {
            return delta;
        }
        let mut bytes = 0;
        let first =
            (after.saturating_add(1), ObjectKey { kind: ObjectKind::Contracts, name: "".into() });
        for (revision, key) in self.order.range((Bound::Included(first), Bound::Unbounded)) {
            let Some(object) = self.objects.get(key) else { continue };
            bytes += object.encoded_bound();
            // One revision is never split between pages, as the next page starts after it.
            if bytes > max_bytes && !delta.objects.is_empty() && *revision > delta.scanned_to {
                delta.has_more = true;
                return delta;
            }
            delta.scanned_to = *revision;
            delta.objects.push(object.clone());
        }
        delta.scanned_to = delta.scanned_to.max(self.complete_to);
        delta
    }
}

/// Writing.
impl ObjectStore {
    /// Takes an object in if it is newer than what is held; says whether it was.
    pub fn apply(&mut self, object: &ConfigurationObject) -> bool {
        match self.objects.get(&object.key) {
            Some(held) if held.revision >= object.revision => return false,
            Some(held) => {
                let place = (held.revision, held.key.clone());
                self.digest ^= held.digest();
                self.order.remove(&place);
                self.tombstones.remove(&place);
            }
            // It would be held if it still existed: its deletion is forgotten.
            None if object.revision <= self.forgotten_to => return false,
            None => {}
        }
        let place = (object.revision, object.key.clone());
        self.digest ^= object.digest();
        self.highest = self.highest.max(object.revision);
        if object.body.is_none() {
            self.tombstones.insert(place.clone());
        }
        self.order.insert(place);
        self.objects.insert(object.key.clone(), object.clone());
        self.forget_tombstones();
        true
    }

    /// Takes a page in that was asked for with `after`; gives back what was new.
    pub fn apply_delta(
        &mut self,
        after: Revision,
        delta: &ObjectDelta,
    ) -> Vec<ConfigurationObject> {
        let fresh: Vec<ConfigurationObject> =
            delta.objects.iter().filter(|object| self.apply(object)).cloned().collect();
        if after <= self.complete_to && !delta.too_old {
            self.raise_complete(delta.scanned_to.min(delta.complete_to));
        }
        fresh
    }

    /// Takes the platform's whole list of every kind in, complete up to `revision`.
    ///
    /// What the list lacks was deleted by then; what changed later stays.
    pub fn apply_list(&mut self, list: &[ConfigurationObject], revision: Revision) {
        let listed: BTreeSet<&ObjectKey> = list.iter().map(|object| &object.key).collect();
        let is_lost = |object: &&ConfigurationObject| {
            object.body.is_some() && object.revision <= revision && !listed.contains(&object.key)
        };
        let lost: Vec<ObjectKey> =
            self.objects.values().filter(is_lost).map(|object| object.key.clone()).collect();
        for object in list {
            self.apply(object);
        }
        for key in lost {
            self.apply(&ConfigurationObject { key, revision, body: None });
        }
        self.raise_complete(revision);
    }

    /// Notes that everything up to `revision` is held; it never falls.
    pub fn raise_complete(&mut self, revision: Revision) {
        self.complete_to = self.complete_to.max(revision);
        self.highest = self.highest.max(revision);
    }

    /// Drops the oldest deletions past the bound, but none that peers may still have to learn of.
    fn forget_tombstones(&mut self) {
        while self.tombstones.len() > TOMBSTONE_LIMIT {
            let Some((revision, key)) = self.tombstones.pop_first() else { return };
            if revision > self.complete_to {
                self.tombstones.insert((revision, key));
                return;
            }
            self.order.remove(&(revision, key.clone()));
            self.objects.remove(&key);
            self.forgotten_to = self.forgotten_to.max(revision);
        }
    }
}
