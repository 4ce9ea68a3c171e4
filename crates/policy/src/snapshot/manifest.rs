//! Snapshot manifests: the partition map of one index version.

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
    /// Number of the shard, unique within the snapshot.
    pub shard: ShardId,
    /// Number of documents in the shard.
    pub documents: u64,
    /// Targets that hold the shard.
    pub targets: Vec<TargetId>,
}

/// An index version with its partition map.
///
/// Stored as object `{service}.{provider}` of kind `snapshots`. A new version replaces the object;
/// targets retain the old version for queries that have pinned it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SnapshotManifest {
    /// Service that is searched.
    pub service: ServiceId,
    /// Provider that runs the targets.
    pub provider: ProviderId,
    /// Version of the index; increases with every snapshot.
    pub index_version: IndexVersion,
    /// All shards, sorted by number.
    pub shards: Vec<ShardEntry>,
}

impl SnapshotManifest {
    /// Returns the number of documents in all shards.
    pub fn documents(&self) -> u64 {
        self.shards.iter().map(|shard| shard.documents).sum()
    }

    /// Returns the entry of a shard, if the snapshot has it.
    pub fn shard(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.iter().find(|entry| entry.shard == shard)
    }
}
