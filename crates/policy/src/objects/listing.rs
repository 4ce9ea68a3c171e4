//! Full listing of the configuration objects, from the platform or from a peer.

use std::collections::BTreeMap;

use crate::ConfigurationObject;
use crate::ObjectDelta;
use crate::ObjectKey;
use crate::Revision;

/// Objects of every kind up to a revision, collected page by page.
#[derive(Clone, Debug, Default)]
pub struct ObjectListing {
    /// Objects by key, each in its newest revision seen.
    pub objects: BTreeMap<ObjectKey, ConfigurationObject>,
    /// Revision at which the listing is complete: it contains every object that existed then and has
    /// not changed since.
    pub complete_revision: Revision,
    /// What becomes of held objects that it lacks.
    pub missing: MissingObjects,
}

/// What becomes of held objects that a listing lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingObjects {
    /// They are removed.
    #[default]
    Remove,
    /// They are kept, as they may have expired while the platform's store was away. Nothing is then
    /// known to be complete.
    Keep,
    /// Those of an earlier era of the store are kept: they may have been written after the copy from
    /// which it was restored. The others are removed.
    KeepEarlierEras,
}

impl ObjectListing {
    /// Creates a listing from the platform's lists, the oldest of which is complete at `revision`.
    pub fn from_platform(objects: &[ConfigurationObject], revision: Revision) -> ObjectListing {
        let mut listing = ObjectListing { complete_revision: revision, ..ObjectListing::default() };
        objects.iter().for_each(|object| listing.add(object));
        listing
    }

    /// Adds a page received from a peer.
    ///
    /// The first page determines the complete revision: an object that changes while later pages
    /// are in flight moves to a higher revision and is contained in one of those.
    pub fn add_page(&mut self, delta: &ObjectDelta) {
        if self.objects.is_empty() {
            self.complete_revision = delta.complete_revision;
        }
        delta.objects.iter().for_each(|object| self.add(object));
    }

    /// Adds an object unless the listing contains the same or a newer revision of it.
    fn add(&mut self, object: &ConfigurationObject) {
        let held = self.objects.get(&object.key);
        if held.is_none_or(|held| object.is_newer_than(held)) {
            self.objects.insert(object.key.clone(), object.clone());
        }
    }
}
