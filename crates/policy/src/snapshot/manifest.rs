//! The partition map of one snapshot.

use serde::Deserialize;
use serde::Serialize;

use crate::IndexVersion;
use crate::ProviderId;
use crate::ServiceId;
use crate::ShardId;
use crate::TargetId;

/// One shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardEntry {
    /// The shard's number, unique within the snapshot.
    pub shard: ShardId,
    /// Documents in the shard.
    pub documents: u64,
    /// Targets that hold the shard.
    pub targets: Vec<TargetId>,
}

/// An index version with its partition map.
///
/// Stored as object `{service}.{provider}` of kind `snapshots`; a new version replaces the
/// object, and targets keep the old version for the queries that pinned it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SnapshotManifest {
    /// The service that is searched.
    pub service: ServiceId,
    /// The provider that runs the targets.
    pub provider: ProviderId,
    /// Grows with every snapshot.
    pub index_version: IndexVersion,
    /// Every shard, in order of its number.
    pub shards: Vec<ShardEntry>,
}

impl SnapshotManifest {
    /// Documents in all shards.
    pub fn documents(&self) -> u64 {
        self.shards.iter().map(|shard| shard.documents).sum()
    }

    /// The entry of a shard.
    pub fn shard(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.iter().find(|entry| entry.shard == shard)
    }
}
