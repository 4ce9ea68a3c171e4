//! Store of the configuration objects of a VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::ConfigurationObject;
use crate::MissingObjects;
use crate::ObjectDelta;
use crate::ObjectKey;
use crate::ObjectKind;
use crate::ObjectListing;
use crate::ObjectSummary;
use crate::Revision;
use crate::objects::era::carried;
use crate::objects::era::era_of;
use crate::objects::era::revision_in_era;
use crate::objects::object::TOMBSTONE_MARK;

/// Maximum number of tombstones kept.
const MAX_TOMBSTONES: usize = 10_000;

/// Configuration objects and their tombstones, with the revision up to which they are complete.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<ObjectKey, ConfigurationObject>,
    by_revision: BTreeSet<(Revision, ObjectKey)>,
    tombstones: BTreeSet<(Revision, ObjectKey)>,
    /// Revision up to which tombstones may be missing; never above `complete_revision`.
    pruned_revision: Revision,
    complete_revision: Revision,
    highest_revision: Revision,
    digest: u64,
}

/// Queries.
impl ObjectStore {
    /// Returns an object unless it is deleted or unknown.
    pub fn get(&self, key: &ObjectKey) -> Option<&ConfigurationObject> {
        self.objects.get(key).filter(|object| object.body.is_some())
    }

    /// Iterates over the existing objects of a kind, by name.
    pub fn iter_kind(&self, kind: ObjectKind) -> impl Iterator<Item = &ConfigurationObject> {
        let start = ObjectKey { kind, name: "".into() };
        let rest = self.objects.range(start..).map(|(_, object)| object);
        rest.take_while(move |object| object.key.kind == kind)
            .filter(|object| object.body.is_some())
    }

    /// Returns the summary that heartbeats carry.
    pub fn summary(&self) -> ObjectSummary {
        ObjectSummary {
            highest_revision: self.highest_revision,
            complete_revision: self.complete_revision,
            digest: self.digest,
        }
    }

    /// Returns the objects changed after `after`, lowest revision first, up to about `max_bytes`.
    ///
    /// At least one object is returned whatever its size, so that a pull always makes progress.
    /// The page is empty and marked `too_old` if the requester may hold an object whose tombstone
    /// was pruned here, unless it requests a `full` listing and drops what that does not contain.
    pub fn delta_after(&self, after: Revision, full: bool, max_bytes: usize) -> ObjectDelta {
        let too_old = !full && after < self.pruned_revision;
        let mut delta = ObjectDelta { too_old, scanned_revision: after, ..ObjectDelta::default() };
        delta.complete_revision = self.complete_revision;
        if too_old {
            return delta;
        }
        let mut bytes = 0;
        let first =
            (after.saturating_add(1), ObjectKey { kind: ObjectKind::Contracts, name: "".into() });
        for (revision, key) in self.by_revision.range((Bound::Included(first), Bound::Unbounded)) {
            let Some(object) = self.objects.get(key) else { continue };
            bytes += object.max_encoded_len();
            // A revision is never split between pages, as the next page starts after it.
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

/// Updates.
impl ObjectStore {
    /// Applies an object if it is newer than the one held; returns whether anything changed.
    pub fn apply(&mut self, object: &ConfigurationObject) -> bool {
        self.merge(object).is_some()
    }

    /// Applies an object if it is newer than the one held; returns what the store holds then, if
    /// that changed.
    ///
    /// Content of an earlier era whose version is ahead of that of the newer object is kept, at the
    /// newer object's revision: the platform's store has forgotten it. This gives the same result in
    /// any order.
    pub fn merge(&mut self, object: &ConfigurationObject) -> Option<ConfigurationObject> {
        // The object would be held if this were its newest revision; it was changed or deleted since.
        let is_outdated = object.revision <= self.complete_revision
            && self.get(&object.key).is_none()
            && (object.body.is_some() || !self.objects.contains_key(&object.key));
        if is_outdated { None } else { self.merge_listed(object) }
    }

    /// Applies an object like [`ObjectStore::merge`], even if everything up to its revision was taken
    /// to be held: a watch may have withheld it.
    fn merge_listed(&mut self, object: &ConfigurationObject) -> Option<ConfigurationObject> {
        let merged = match self.objects.get(&object.key) {
            Some(held) => merge_objects(held, object)?,
            None => object.clone(),
        };
        self.remove(&object.key);
        self.insert(merged.clone());
        self.prune_tombstones();
        Some(merged)
    }

    /// Applies a page that was requested with `after`; returns the objects that changed here.
    pub fn apply_delta(
        &mut self,
        after: Revision,
        delta: &ObjectDelta,
    ) -> Vec<ConfigurationObject> {
        let changes: Vec<ConfigurationObject> =
            delta.objects.iter().filter_map(|object| self.merge(object)).collect();
        if after <= self.complete_revision && !delta.too_old {
            self.advance_complete_revision(delta.scanned_revision.min(delta.complete_revision));
        }
        changes
    }

    /// Applies a full listing: objects that it lacks are removed unless they changed after it, or
    /// the listing keeps them. Returns what changed here.
    ///
    /// Tombstones of removed objects carry the revision of the listing, as those of the deletions
    /// are not known.
    pub fn apply_listing(&mut self, listing: &ObjectListing) -> Vec<ConfigurationObject> {
        let revision = listing.complete_revision;
        let is_missing = |object: &&ConfigurationObject| {
            object.body.is_some()
                && object.revision <= carried(revision)
                && !listing.objects.contains_key(&object.key)
        };
        let missing: Vec<ConfigurationObject> = match listing.missing {
            MissingObjects::Keep => Vec::new(),
            MissingObjects::Remove | MissingObjects::KeepEarlierEras => {
                self.objects.values().filter(is_missing).cloned().collect()
            }
        };
        let era_start = carried(revision_in_era(era_of(revision), 0));
        let remnants = missing.into_iter().map(|object| {
            let is_unwritten = object.revision <= era_start && era_of(revision) > 0;
            match listing.missing == MissingObjects::KeepEarlierEras && is_unwritten {
                true => object.carried_over(era_start),
                false => object.into_tombstone(revision),
            }
        });
        let remnants: Vec<ConfigurationObject> = remnants.collect();
        let objects = remnants.iter().chain(listing.objects.values());
        let changes: Vec<ConfigurationObject> =
            objects.filter_map(|object| self.merge_listed(object)).collect();
        // A listing contains no tombstones, so deletions before it are not known here.
        if revision > self.complete_revision && listing.missing != MissingObjects::Keep {
            self.advance_complete_revision(revision);
            self.pruned_revision = self.complete_revision;
        }
        changes
    }

    /// Records that everything up to `revision` is held.
    ///
    /// The complete revision never decreases. It is capped at the highest revision held, so that it
    /// moves only with changes and not with every write to the platform's store.
    pub fn advance_complete_revision(&mut self, revision: Revision) {
        self.complete_revision = self.complete_revision.max(revision.min(self.highest_revision));
    }

    /// Adds an object whose key is not held.
    fn insert(&mut self, object: ConfigurationObject) {
        let entry = (object.revision, object.key.clone());
        self.digest ^= object.digest();
        self.highest_revision = self.highest_revision.max(object.revision);
        if object.body.is_none() {
            self.tombstones.insert(entry.clone());
        }
        self.by_revision.insert(entry);
        self.objects.insert(object.key.clone(), object);
    }

    /// Removes an object without leaving a tombstone.
    fn remove(&mut self, key: &ObjectKey) {
        if let Some(held) = self.objects.remove(key) {
            let entry = (held.revision, held.key.clone());
            self.digest ^= held.digest();
            self.by_revision.remove(&entry);
            self.tombstones.remove(&entry);
        }
    }

    /// Drops the oldest tombstones above the limit, but none above the complete revision.
    fn prune_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((revision, key)) = self.tombstones.pop_first() else { return };
            if revision > self.complete_revision {
                self.tombstones.insert((revision, key));
                return;
            }
            self.remove(&key);
            self.pruned_revision = self.pruned_revision.max(revision);
        }
    }
}

/// Returns the object that replaces `held` once `object` of the same key is known; `None` if `held`
/// stays.
fn merge_objects(
    held: &ConfigurationObject,
    object: &ConfigurationObject,
) -> Option<ConfigurationObject> {
    let mut object = object.clone();
    if object.body.is_none() && object.version == 0 && object.revision > held.revision {
        // A watch reports a deletion without the content, which is the one held.
        object.version = held.version | TOMBSTONE_MARK;
    }
    let (older, newer) = if object.is_newer_than(held) { (held, &object) } else { (&object, held) };
    let mut merged = match older.outlasts(newer) {
        true => older.carried_over(newer.revision),
        false => newer.clone(),
    };
    if merged.body.is_none() && era_of(older.revision) == era_of(newer.revision) {
        // The deletion ends all content before it, also what the VM that told of it did not know.
        merged.version = merged.version.max(older.version | TOMBSTONE_MARK);
    }
    (merged != *held).then_some(merged)
}
