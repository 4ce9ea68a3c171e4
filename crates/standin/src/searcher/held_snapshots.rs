//! Snapshots and shards that a searcher holds.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::ShardId;

/// Shards of one snapshot, and when they expire.
#[derive(Clone, Debug)]
struct HeldSnapshot {
    shards: Vec<ShardId>,
    expires: Option<Instant>,
}

/// Snapshots that a searcher holds. Each expires some time after a newer one is added.
#[derive(Debug, Default)]
pub(crate) struct HeldSnapshots {
    snapshots: BTreeMap<IndexVersion, HeldSnapshot>,
}

impl HeldSnapshots {
    /// Adds a snapshot; the previous one expires after `retention`, older ones as already set.
    pub(crate) fn add(
        &mut self,
        version: IndexVersion,
        shards: Vec<ShardId>,
        retention: Duration,
        now: Instant,
    ) {
        for snapshot in self.snapshots.values_mut() {
            snapshot.expires.get_or_insert(now + retention);
        }
        self.snapshots.insert(version, HeldSnapshot { shards, expires: None });
    }

    /// Returns whether a shard of a snapshot is held and has not expired.
    pub(crate) fn holds(&self, version: IndexVersion, shard: ShardId, now: Instant) -> bool {
        self.snapshots.get(&version).is_some_and(|snapshot| {
            snapshot.shards.contains(&shard) && snapshot.expires.is_none_or(|expires| now < expires)
        })
    }
}
