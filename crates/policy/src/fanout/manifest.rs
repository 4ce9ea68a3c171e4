//! Cache of manifests whose targets and shards are resolved to table indices.

use std::collections::HashMap;
use std::sync::Arc;

use crate::SnapshotManifest;
use crate::latency::LatencyIndex;
use crate::latency::LatencyTable;
use crate::routing::TargetIndex;
use crate::routing::TargetTable;

/// Capacity of the cache. It is cleared when full.
const MAX_CACHED_MANIFESTS: usize = 256;

/// A shard with the table indices of its replicas and of its latency.
#[derive(Debug)]
pub(crate) struct ResolvedShard {
    pub(crate) replicas: Vec<TargetIndex>,
    pub(crate) latency: LatencyIndex,
}

/// A manifest with its shards resolved, in the manifest's order.
#[derive(Debug)]
pub(crate) struct ResolvedManifest {
    pub(crate) shards: Vec<ResolvedShard>,
    pub(crate) documents: u64,
    /// Generation of the target table that the indices belong to.
    generation: u64,
    /// Keeps the manifest alive, so that its address, the cache key, is not reused.
    _manifest: Arc<SnapshotManifest>,
}

/// Resolved manifests, keyed by the address of the manifest.
#[derive(Default)]
pub(crate) struct ManifestCache {
    resolved: HashMap<usize, Arc<ResolvedManifest>>,
}

impl ManifestCache {
    /// Returns the manifest resolved against the current list of targets, from the cache if
    /// possible.
    pub(crate) fn resolve(
        &mut self,
        manifest: &Arc<SnapshotManifest>,
        targets: &mut TargetTable,
        latencies: &mut LatencyTable,
    ) -> Arc<ResolvedManifest> {
        let key = Arc::as_ptr(manifest).addr();
        if let Some(resolved) = self.resolved.get(&key)
            && resolved.generation == targets.generation()
        {
            return resolved.clone();
        }
        if self.resolved.len() >= MAX_CACHED_MANIFESTS {
            self.resolved.clear();
        }
        let shards = manifest.shards.iter().map(|entry| ResolvedShard {
            replicas: entry.targets.iter().map(|target| targets.intern(target)).collect(),
            latency: latencies.intern(&manifest.service, &manifest.provider, entry.shard),
        });
        let resolved = Arc::new(ResolvedManifest {
            shards: shards.collect(),
            documents: manifest.documents(),
            generation: targets.generation(),
            _manifest: manifest.clone(),
        });
        self.resolved.insert(key, resolved.clone());
        resolved
    }
}
