//! Manifests of the routes: the targets of each shard, according to the current target list.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::RouteDestination;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::ShardEntry;
use oleanderwind_policy::ShardPlacement;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;

use crate::directory::DirectoryService;

/// Cache of manifests by route and first service. Entries are built on first use, and the cache is
/// cleared whenever the targets or the configuration version change.
pub(crate) struct ManifestCache {
    directory: Rc<DirectoryService>,
    state: RefCell<CacheState>,
}

#[derive(Default)]
struct CacheState {
    /// Target change count and configuration version that the other fields are built from.
    built_from: Option<(u64, u64)>,
    targets: HashMap<ServiceId, Vec<TargetId>>,
    placement: Rc<ShardPlacement>,
    manifests: HashMap<(Arc<str>, ServiceId), RouteManifest>,
}

/// A route's manifest, with the service of each shard.
#[derive(Clone)]
pub(crate) struct RouteManifest {
    pub(crate) manifest: Arc<SnapshotManifest>,
    pub(crate) services: Arc<[ServiceId]>,
}

impl ManifestCache {
    /// Returns an empty cache for the targets and routes in `directory`.
    pub(crate) fn new(directory: Rc<DirectoryService>) -> ManifestCache {
        ManifestCache { directory, state: RefCell::new(CacheState::default()) }
    }

    /// Returns the manifest for a route and the selected `services`, one per shard.
    ///
    /// # Panics
    ///
    /// Panics if `services` is empty.
    pub(crate) fn get(
        &self,
        route: &RouteContract,
        version: u64,
        services: &[&ServiceId],
    ) -> RouteManifest {
        let mut state = self.state.borrow_mut();
        self.refresh(&mut state, version);
        let key = (route.name.clone(), services[0].clone());
        if let Some(manifest) = state.manifests.get(&key) {
            return manifest.clone();
        }
        let built = state.build_manifest(route, version, services);
        state.manifests.insert(key, built.clone());
        built
    }

    /// Returns the placement of the shards of all active routes.
    pub(crate) fn placement(&self) -> Rc<ShardPlacement> {
        let mut state = self.state.borrow_mut();
        let routes = self.directory.routes();
        let version = routes.map_or(0, |routes| routes.configuration.version);
        self.refresh(&mut state, version);
        state.placement.clone()
    }

    /// Rebuilds the cache if the targets or the configuration version have changed.
    fn refresh(&self, state: &mut CacheState, version: u64) {
        let built_from = (self.directory.target_change_count(), version);
        if state.built_from != Some(built_from) {
            let specs = self.directory.targets();
            *state = CacheState {
                built_from: Some(built_from),
                targets: targets_by_service(&specs),
                placement: Rc::new(self.count_shard_placement(&specs)),
                manifests: HashMap::new(),
            };
        }
    }

    fn count_shard_placement(&self, specs: &[TargetSpec]) -> ShardPlacement {
        let mut placement = ShardPlacement::default();
        let Some(routes) = self.directory.routes() else { return placement };
        let mut shards: HashSet<&ServiceId> = HashSet::new();
        for route in &routes.configuration.routes {
            if let RouteDestination::Sharded(set) = &route.destination {
                shards.extend(&set.services);
            }
        }
        placement.shards = shards.len();
        let held: HashSet<(&FailureDomainId, &ServiceId)> = specs
            .iter()
            .filter(|spec| shards.contains(&spec.service))
            .map(|spec| (&spec.failure_domain, &spec.service))
            .collect();
        for (domain, _) in held {
            *placement.shards_by_domain.entry(domain.clone()).or_default() += 1;
        }
        placement
    }
}

fn targets_by_service(specs: &[TargetSpec]) -> HashMap<ServiceId, Vec<TargetId>> {
    let mut by_service: HashMap<ServiceId, Vec<TargetId>> = HashMap::new();
    for spec in specs {
        by_service.entry(spec.service.clone()).or_default().push(spec.target.clone());
    }
    by_service
}

impl CacheState {
    /// Builds a manifest in which each shard counts as one document, so that coverage is the
    /// fraction of answered shards.
    fn build_manifest(
        &self,
        route: &RouteContract,
        version: u64,
        services: &[&ServiceId],
    ) -> RouteManifest {
        let entry = |(shard, service): (usize, &&ServiceId)| ShardEntry {
            shard: u32::try_from(shard).unwrap_or(u32::MAX),
            documents: 1,
            targets: self.targets.get(*service).cloned().unwrap_or_default(),
        };
        let manifest = SnapshotManifest {
            // The engine tracks latency by service and provider. The route stands in for the
            // provider, since requests of one route take a similar time.
            service: services[0].clone(),
            provider: route.name.clone(),
            index_version: version,
            shards: services.iter().enumerate().map(entry).collect(),
        };
        let services = services.iter().map(|service| (*service).clone()).collect();
        RouteManifest { manifest: Arc::new(manifest), services }
    }
}
