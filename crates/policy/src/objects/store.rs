//! All configuration objects of a VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::ConfigurationObject;
use crate::ObjectDelta;
use crate::ObjectKey;
use crate::ObjectKind;
use crate::ObjectListing;
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
    /// Deletions up to this revision may not be known; never above `complete_revision`.
    forgotten_to: Revision,
    complete_revision: Revision,
    highest_revision: Revision,
    digest: u64,
}

/// Reading.
impl ObjectStore {
    /// The object, unless it is deleted or unknown.
    pub fn get(&self, key: &ObjectKey) -> Option<&ConfigurationObject> {
        self.objects.get(key).filter(|object| object.body.is_some())
    }

    /// Whether the object is newer than what is held of it.
    pub fn is_newer(&self, object: &ConfigurationObject) -> bool {
        let held = self.objects.get(&object.key);
        held.is_none_or(|held| held.revision < object.revision)
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
        ObjectSummary {
            highest_revision: self.highest_revision,
            complete_revision: self.complete_revision,
            digest: self.digest,
        }
    }

    /// Objects changed after `after`, lowest revision first, up to about `max_bytes`.
    ///
    /// At least one object is sent whatever its size, so that a pull always moves on.
    /// Fails as `too_old` for an asker that may hold something whose deletion is forgotten here,
    /// unless it wants the `whole` and drops what that lacks.
    pub fn delta_after(&self, after: Revision, full: bool, max_bytes: usize) -> ObjectDelta {
        let too_old = !full && after < self.forgotten_to;
        let mut delta = ObjectDelta { too_old, scanned_revision: after, ..ObjectDelta::default() };
        delta.complete_revision = self.complete_revision;
        if too_old {
            return delta;
        }
        let mut bytes = 0;
        let first =
            (after.saturating_add(1), ObjectKey { kind: ObjectKind::Contracts, name: "".into() });
        for (revision, key) in self.order.range((Bound::Included(first), Bound::Unbounded)) {
            let Some(object) = self.objects.get(key) else { continue };
            bytes += object.max_encoded_len();
            // One revision is never split between pages, as the next page starts after it.
            if bytes > max_bytes && !delta.objects.is_empty() && *revision > delta.scanned_revision
            {
                delta.has_more = true;
                return delta;
            }
            delta.scanned_revision = *revision;
            delta.objects.push(object.clone());
        }
        delta.scanned_revision = delta.scanned_revision.max(self.complete_revision);
        delta
    }
}

/// Writing.
impl ObjectStore {
    /// Takes an object in if it is newer than what is held; says whether it was.
    pub fn apply(&mut self, object: &ConfigurationObject) -> bool {
        match self.objects.get(&object.key) {
            Some(held) if held.revision >= object.revision => return false,
            Some(_) => self.remove(&object.key),
            // It would be held if this were its newest state: it was changed or deleted since.
            None if object.revision <= self.complete_revision => return false,
            None => {}
        }
        let place = (object.revision, object.key.clone());
        self.digest ^= object.digest();
        self.highest_revision = self.highest_revision.max(object.revision);
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
        if after <= self.complete_revision && !delta.too_old {
            self.advance_complete_revision(delta.scanned_revision.min(delta.complete_revision));
        }
        fresh
    }

    /// Takes a whole listing in: what it lacks was deleted, what changed after it stays.
    pub fn apply_listing(&mut self, listing: &ObjectListing) {
        let is_lost = |object: &&ConfigurationObject| {
            object.revision <= listing.complete_revision
                && !listing.objects.contains_key(&object.key)
        };
        let lost: Vec<ObjectKey> =
            self.objects.values().filter(is_lost).map(|object| object.key.clone()).collect();
        for key in lost {
            self.remove(&key);
        }
        for object in listing.objects.values() {
            self.apply(object);
        }
        // The deletions before the listing are not known here.
        if listing.complete_revision > self.complete_revision {
            self.advance_complete_revision(listing.complete_revision);
            self.forgotten_to = self.complete_revision;
        }
    }

    /// Notes that everything up to `revision` is held.
    ///
    /// It never falls. It stops at the highest revision held, as there is nothing beyond it: so it
    /// moves with changes only, not with every write to the platform's store.
    pub fn advance_complete_revision(&mut self, revision: Revision) {
        self.complete_revision = self.complete_revision.max(revision.min(self.highest_revision));
    }

    /// Removes an object without a trace.
    fn remove(&mut self, key: &ObjectKey) {
        if let Some(held) = self.objects.remove(key) {
            let place = (held.revision, held.key.clone());
            self.digest ^= held.digest();
            self.order.remove(&place);
            self.tombstones.remove(&place);
        }
    }

    /// Drops the oldest deletions past the bound, but none that peers may still have to learn of.
    fn forget_tombstones(&mut self) {
        while self.tombstones.len() > TOMBSTONE_LIMIT {
            let Some((revision, key)) = self.tombstones.pop_first() else { return };
            if revision > self.complete_revision {
                self.tombstones.insert((revision, key));
                return;
            }
            self.remove(&key);
            self.forgotten_to = self.forgotten_to.max(revision);
        }
    }
}
