//! A whole listing, from the platform or from a peer.

use std::collections::BTreeMap;

use crate::ConfigurationObject;
use crate::ObjectDelta;
use crate::ObjectKey;
use crate::Revision;

/// Every object of every kind up to a revision, collected page by page.
#[derive(Clone, Debug, Default)]
pub struct ObjectListing {
    /// Objects by name, in their newest state seen.
    pub objects: BTreeMap<ObjectKey, ConfigurationObject>,
    /// Nothing that existed at this revision and is unchanged since is missing.
    pub complete_revision: Revision,
}

impl ObjectListing {
    /// The platform's lists, the oldest of them complete up to `revision`.
    pub fn from_platform(objects: &[ConfigurationObject], revision: Revision) -> ObjectListing {
        let mut listing = ObjectListing { complete_revision: revision, ..ObjectListing::default() };
        objects.iter().for_each(|object| listing.add(object));
        listing
    }

    /// Adds a peer's page.
    ///
    /// The first page decides what the listing is complete to: an object that changes while later
    /// pages are on their way moves to a higher revision and comes with one of those.
    pub fn add_page(&mut self, delta: &ObjectDelta) {
        if self.objects.is_empty() {
            self.complete_revision = delta.complete_revision;
        }
        delta.objects.iter().for_each(|object| self.add(object));
    }

    /// Adds an object unless a newer state of it is there.
    fn add(&mut self, object: &ConfigurationObject) {
        let held = self.objects.get(&object.key);
        if held.is_none_or(|held| held.revision < object.revision) {
            self.objects.insert(object.key.clone(), object.clone());
        }
    }
}
