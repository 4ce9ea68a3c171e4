//! Manifests of the routes: the targets of each shard, according to the current target list.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::HomeRegions;
use oleanderwind_policy::RegionId;
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
    /// Region of each failure domain.
    regions: HashMap<FailureDomainId, RegionId>,
    state: RefCell<CacheState>,
}

#[derive(Default)]
struct CacheState {
    /// Target change count and configuration version that the other fields are built from.
    built_from: Option<(u64, u64)>,
    targets: HashMap<ServiceId, Vec<PlacedTarget>>,
    placement: Rc<ShardPlacement>,
    manifests: HashMap<(Arc<str>, ServiceId, HomeRegions), RouteManifest>,
}

/// A target and its region, if that is known.
struct PlacedTarget {
    target: TargetId,
    region: Option<RegionId>,
}

/// A route's manifest, with the service of each shard.
#[derive(Clone)]
pub(crate) struct RouteManifest {
    pub(crate) manifest: Arc<SnapshotManifest>,
    pub(crate) services: Arc<[ServiceId]>,
}

impl ManifestCache {
    /// Returns an empty cache for the targets and routes in `directory`; `regions` has the region of
    /// each failure domain.
    pub(crate) fn new(
        directory: Rc<DirectoryService>,
        regions: HashMap<FailureDomainId, RegionId>,
    ) -> ManifestCache {
        ManifestCache { directory, regions, state: RefCell::new(CacheState::default()) }
    }

    /// Returns the manifest for a route and the selected `services`, one per shard, of targets in
    /// `homes`.
    ///
    /// # Panics
    ///
    /// Panics if `services` is empty.
    pub(crate) fn get(
        &self,
        route: &RouteContract,
        version: u64,
        services: &[&ServiceId],
        homes: HomeRegions,
    ) -> RouteManifest {
        let mut state = self.state.borrow_mut();
        self.refresh(&mut state, version);
        let key = (route.name.clone(), services[0].clone(), homes);
        if let Some(manifest) = state.manifests.get(&key) {
            return manifest.clone();
        }
        let built = state.build_manifest(route, version, services, &key.2);
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
                targets: self.targets_by_service(&specs),
                placement: Rc::new(self.count_shard_placement(&specs)),
                manifests: HashMap::new(),
            };
        }
    }

    fn targets_by_service(&self, specs: &[TargetSpec]) -> HashMap<ServiceId, Vec<PlacedTarget>> {
        let mut by_service: HashMap<ServiceId, Vec<PlacedTarget>> = HashMap::new();
        for spec in specs {
            let region = self.regions.get(&spec.failure_domain).cloned();
            let placed = PlacedTarget { target: spec.target.clone(), region };
            by_service.entry(spec.service.clone()).or_default().push(placed);
        }
        by_service
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

impl CacheState {
    /// Builds a manifest in which each shard counts as one document, so that coverage is the
    /// fraction of answered shards.
    fn build_manifest(
        &self,
        route: &RouteContract,
        version: u64,
        services: &[&ServiceId],
        homes: &HomeRegions,
    ) -> RouteManifest {
        let targets = |service: &ServiceId| {
            let placed = self.targets.get(service).into_iter().flatten();
            let at_home = placed.filter(|placed| homes.admits(placed.region.as_ref()));
            at_home.map(|placed| placed.target.clone()).collect()
        };
        let entry = |(shard, service): (usize, &&ServiceId)| ShardEntry {
            shard: u32::try_from(shard).unwrap_or(u32::MAX),
            documents: 1,
            targets: targets(service),
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
