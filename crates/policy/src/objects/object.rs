//! One configuration object.

use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Revision;

/// Bytes of an object's tags, lengths and numbers in the peer protocol, at most.
const OBJECT_FIXED_BYTES: usize = 40;

/// The kinds that every VM holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ObjectKind {
    /// Customers' contracts.
    Contracts,
    /// Manifests of index snapshots.
    Snapshots,
    /// Targets with their state.
    Targets,
    /// The platform's list of VMs.
    Vms,
    /// Routes of opaque requests.
    Routes,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [ObjectKind; 5] = [
        ObjectKind::Contracts,
        ObjectKind::Snapshots,
        ObjectKind::Targets,
        ObjectKind::Vms,
        ObjectKind::Routes,
    ];

    /// The kind as the Object API spells it.
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

/// Names one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name, unique within the kind.
    pub name: Arc<str>,
}

/// One object as of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationObject {
    /// Its name.
    pub key: ObjectKey,
    /// The store's revision at its last write.
    pub revision: Revision,
    /// Its JSON; none once it is deleted.
    pub body: Option<Bytes>,
}

impl ConfigurationObject {
    /// Upper bound of the object's bytes in the peer protocol.
    pub fn max_encoded_len(&self) -> usize {
        let body = self.body.as_ref().map_or(0, Bytes::len);
        OBJECT_FIXED_BYTES + self.key.name.len() + body
    }

    /// The object's part of the store's digest; a deleted one has none.
    pub(crate) fn digest(&self) -> u64 {
        match &self.body {
            Some(_) => xxh3_64_with_seed(
                self.key.name.as_bytes(),
                self.revision.wrapping_mul(8) + self.key.kind as u64,
            ),
            None => 0,
        }
    }
}
