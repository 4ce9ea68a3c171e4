//! Route lookup by host and path.

use std::collections::HashMap;
use std::sync::Arc;

use crate::route::RouteConfiguration;
use crate::route::RouteContract;

/// Routes indexed by host and path prefix.
#[derive(Clone, Debug)]
pub struct RouteTable {
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteContract>>>,
}

impl RouteTable {
    /// Indexes the routes of `configuration`.
    pub fn new(configuration: &RouteConfiguration) -> RouteTable {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteContract>>> = HashMap::new();
        for route in &configuration.routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        RouteTable { by_host }
    }

    /// Returns the route with the longest prefix of `path` on the given host.
    ///
    /// `authority` is the host as sent by the caller, with or without a port. Its case is ignored.
    pub fn find(&self, authority: &str, path: &str) -> Option<&Arc<RouteContract>> {
        let host = authority.rsplit_once(':').map_or(authority, |(host, _)| host);
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Iterates over all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<RouteContract>> {
        self.by_host.values().flat_map(HashMap::values)
    }
}
