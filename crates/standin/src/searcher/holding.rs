//! Which shards of which snapshots a searcher holds.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::ShardId;

/// Shards of one snapshot.
#[derive(Clone, Debug)]
struct HeldSnapshot {
    shards: Vec<ShardId>,
    expires: Option<Instant>,
}

/// Snapshots that a searcher holds; old ones expire.
#[derive(Debug, Default)]
pub(crate) struct SnapshotHolding {
    snapshots: BTreeMap<IndexVersion, HeldSnapshot>,
}

impl SnapshotHolding {
    /// Adds a snapshot; the others expire `keep` from now.
    pub(crate) fn add(
        &mut self,
        version: IndexVersion,
        shards: Vec<ShardId>,
        keep: Duration,
        now: Instant,
    ) {
        for snapshot in self.snapshots.values_mut() {
            snapshot.expires.get_or_insert(now + keep);
        }
        self.snapshots.insert(version, HeldSnapshot { shards, expires: None });
    }

    /// Whether the shard of that snapshot can be searched.
    pub(crate) fn holds(&self, version: IndexVersion, shard: ShardId, now: Instant) -> bool {
        self.snapshots.get(&version).is_some_and(|snapshot| {
            snapshot.shards.contains(&shard) && snapshot.expires.is_none_or(|expires| now < expires)
        })
    }
}
