//! Manifests with their targets and shards resolved to indices.

use std::collections::HashMap;
use std::sync::Arc;

use crate::SnapshotManifest;
use crate::latency::LatencyIndex;
use crate::latency::LatencyTable;
use crate::routing::TargetIndex;
use crate::routing::TargetTable;

/// Manifests that are kept resolved.
const MAX_RESOLVED: usize = 256;

/// One shard with its replicas' indices.
#[derive(Debug)]
pub(crate) struct ResolvedShard {
    pub(crate) replicas: Vec<TargetIndex>,
    pub(crate) latency: LatencyIndex,
}

/// A manifest whose shards are resolved, in the manifest's order.
#[derive(Debug)]
pub(crate) struct ResolvedManifest {
    pub(crate) shards: Vec<ResolvedShard>,
    pub(crate) documents: u64,
    generation: u64,
    /// Held so that its address stays its own while it is a key.
    _manifest: Arc<SnapshotManifest>,
}

/// Resolved manifests by the address of the manifest.
#[derive(Default)]
pub(crate) struct ManifestCache {
    resolved: HashMap<usize, Arc<ResolvedManifest>>,
}

impl ManifestCache {
    /// The manifest with its indices as of the present list of targets.
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
        if self.resolved.len() >= MAX_RESOLVED {
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
