//! Which targets hold the shards of a route, as of the present list of targets.

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

/// Manifests by route and the services that are asked, made on first use.
pub(crate) struct ManifestBook {
    directory: Rc<DirectoryService>,
    state: RefCell<BookState>,
}

#[derive(Default)]
struct BookState {
    /// Changes of the directory that the rest is made from.
    changes: Option<(u64, u64)>,
    targets: HashMap<ServiceId, Vec<TargetId>>,
    places: Rc<ShardPlacement>,
    manifests: HashMap<(Arc<str>, ServiceId), RouteManifest>,
}

/// A route's shards with the service that each belongs to.
#[derive(Clone)]
pub(crate) struct RouteManifest {
    pub(crate) manifest: Arc<SnapshotManifest>,
    pub(crate) services: Arc<[ServiceId]>,
}

impl ManifestBook {
    /// A book of what `directory` holds.
    pub(crate) fn new(directory: Rc<DirectoryService>) -> ManifestBook {
        ManifestBook { directory, state: RefCell::new(BookState::default()) }
    }

    /// The manifest of a route's `services`, one a shard, under a configuration version.
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
        let made = state.make(route, version, services);
        state.manifests.insert(key, made.clone());
        made
    }

    /// Where the shards of the routes in force are held.
    pub(crate) fn places(&self) -> Rc<ShardPlacement> {
        let mut state = self.state.borrow_mut();
        let routes = self.directory.routes();
        let version = routes.map_or(0, |routes| routes.configuration.version);
        self.refresh(&mut state, version);
        state.places.clone()
    }

    /// Makes the book anew when the directory has changed since.
    fn refresh(&self, state: &mut BookState, version: u64) {
        let changes = (self.directory.target_change_count(), version);
        if state.changes != Some(changes) {
            let specs = self.directory.targets();
            *state = BookState {
                changes: Some(changes),
                targets: targets_by_service(&specs),
                places: Rc::new(self.count_places(&specs)),
                manifests: HashMap::new(),
            };
        }
    }

    fn count_places(&self, specs: &[TargetSpec]) -> ShardPlacement {
        let mut places = ShardPlacement::default();
        let Some(routes) = self.directory.routes() else { return places };
        let mut shards: HashSet<&ServiceId> = HashSet::new();
        for route in &routes.configuration.routes {
            if let RouteDestination::Sharded(set) = &route.destination {
                shards.extend(&set.services);
            }
        }
        places.shards = shards.len();
        let held: HashSet<(&FailureDomainId, &ServiceId)> = specs
            .iter()
            .filter(|spec| shards.contains(&spec.service))
            .map(|spec| (&spec.failure_domain, &spec.service))
            .collect();
        for (domain, _) in held {
            *places.shards_by_domain.entry(domain.clone()).or_default() += 1;
        }
        places
    }
}

fn targets_by_service(specs: &[TargetSpec]) -> HashMap<ServiceId, Vec<TargetId>> {
    let mut by_service: HashMap<ServiceId, Vec<TargetId>> = HashMap::new();
    for spec in specs {
        by_service.entry(spec.service.clone()).or_default().push(spec.target.clone());
    }
    by_service
}

impl BookState {
    /// Each shard counts as one document, so that coverage is the part of the shards.
    fn make(&self, route: &RouteContract, version: u64, services: &[&ServiceId]) -> RouteManifest {
        let entry = |(shard, service): (usize, &&ServiceId)| ShardEntry {
            shard: u32::try_from(shard).unwrap_or(u32::MAX),
            documents: 1,
            targets: self.targets.get(*service).cloned().unwrap_or_default(),
        };
        let manifest = SnapshotManifest {
            // Latency is kept by service and provider: requests of one route take alike long.
            service: services[0].clone(),
            provider: route.name.clone(),
            index_version: version,
            shards: services.iter().enumerate().map(entry).collect(),
        };
        let services = services.iter().map(|service| (*service).clone()).collect();
        RouteManifest { manifest: Arc::new(manifest), services }
    }
}
