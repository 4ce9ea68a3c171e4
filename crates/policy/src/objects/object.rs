//! Configuration objects and their keys.

use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Revision;
use crate::objects::era::carried;
use crate::objects::era::era_of;
use crate::objects::era::is_carried;

/// Upper bound of the bytes of an object's tags, lengths and numbers in the peer protocol.
const OBJECT_OVERHEAD_BYTES: usize = 40;

/// Bit of the versions of tombstones.
pub(crate) const TOMBSTONE_MARK: u64 = 1;

/// Kind of a configuration object; every VM holds all kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ObjectKind {
    /// Customers' contracts.
    Contracts,
    /// Manifests of index snapshots.
    Snapshots,
    /// Targets and their states.
    Targets,
    /// The platform's list of VMs.
    Vms,
    /// Routes of opaque requests.
    Routes,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [ObjectKind; 5] = [
        ObjectKind::Contracts,
        ObjectKind::Snapshots,
        ObjectKind::Targets,
        ObjectKind::Vms,
        ObjectKind::Routes,
    ];

    /// Returns whether changes of this kind have to take effect within a limit. The list of VMs has
    /// none: membership follows the VMs' messages.
    pub(crate) fn has_change_limit(self) -> bool {
        match self {
            ObjectKind::Contracts
            | ObjectKind::Snapshots
            | ObjectKind::Targets
            | ObjectKind::Routes => true,
            ObjectKind::Vms => false,
        }
    }

    /// Returns the name of the kind in the Object API.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Contracts => "contracts",
            ObjectKind::Snapshots => "snapshots",
            ObjectKind::Targets => "targets",
            ObjectKind::Vms => "vms",
            ObjectKind::Routes => "routes",
        }
    }
}

/// Key of a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: Arc<str>,
}

/// Configuration object at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationObject {
    /// Key of the object.
    pub key: ObjectKey,
    /// Revision of the platform's store at the last write of the object.
    pub revision: Revision,
    /// Position of the content in the object's history, which a restore of the store does not turn
    /// back; 0 if there is none. Tombstones have odd ones.
    pub version: u64,
    /// JSON document; `None` for a deleted object.
    pub body: Option<Bytes>,
}

impl ConfigurationObject {
    /// Returns the tombstone of the object, deleted at `revision` at the latest.
    pub(crate) fn into_tombstone(self, revision: Revision) -> ConfigurationObject {
        ConfigurationObject {
            revision: revision.max(self.revision),
            version: self.version | TOMBSTONE_MARK,
            body: None,
            ..self
        }
    }

    /// Returns the object as carried over the one that the store has at `revision`.
    pub(crate) fn carried_over(&self, revision: Revision) -> ConfigurationObject {
        ConfigurationObject { revision: carried(revision), ..self.clone() }
    }

    /// Returns whether this is newer than `held`, which has the same key.
    ///
    /// A tombstone made from a listing may have the revision of the object that it removes.
    pub(crate) fn is_newer_than(&self, held: &ConfigurationObject) -> bool {
        let order =
            |object: &ConfigurationObject| (object.revision, object.version, object.body.is_none());
        order(self) > order(held)
    }

    /// Returns whether this content is ahead of `newer`, although that has the higher revision: the
    /// store has it from a copy, or VMs carried it over.
    pub(crate) fn outlasts(&self, newer: &ConfigurationObject) -> bool {
        let is_ordered_by_version = era_of(self.revision) < era_of(newer.revision)
            || is_carried(self.revision)
            || is_carried(newer.revision);
        // A deletion whose content is not known may be that of a later process.
        let is_known = newer.version > 0 || newer.body.is_some();
        is_ordered_by_version && is_known && self.version > newer.version
    }

    /// Returns an upper bound of the object's encoded length in the peer protocol, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let body = self.body.as_ref().map_or(0, Bytes::len);
        OBJECT_OVERHEAD_BYTES + self.key.name.len() + body
    }

    /// Returns the object's contribution to the store's digest; 0 for a deleted object.
    pub(crate) fn digest(&self) -> u64 {
        match &self.body {
            Some(_) => {
                let seed = self.revision.wrapping_mul(8).wrapping_add(self.key.kind as u64);
                // Carried objects may share their revision with others.
                let version = if is_carried(self.revision) { self.version } else { 0 };
                xxh3_64_with_seed(self.key.name.as_bytes(), seed ^ version.rotate_left(32))
            }
            None => 0,
        }
    }
}
