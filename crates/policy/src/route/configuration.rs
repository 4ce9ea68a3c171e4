//! All routes of one configuration version.

use std::time::Duration;

use crate::FindingList;
use crate::ServiceId;
use crate::route::RawCallerLimits;
use crate::route::RawRouteConfiguration;
use crate::route::RouteContract;

/// Checked routes with what goes with them.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfiguration {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteContract>,
    /// What is known of the services.
    pub services: Vec<ServiceConfiguration>,
    /// Bounds of what callers may send.
    pub limits: CallerLimits,
}

/// What is known of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfiguration {
    /// The service.
    pub service: ServiceId,
    /// Connections that one of its targets accepts from all callers.
    pub connection_limit: u32,
    /// Path of its targets' health check.
    pub health_path: String,
}

/// Bounds of what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl TryFrom<&RawRouteConfiguration> for RouteConfiguration {
    type Error = FindingList;

    fn try_from(raw: &RawRouteConfiguration) -> Result<RouteConfiguration, FindingList> {
        let mut findings = FindingList::default();
        let mut routes = Vec::with_capacity(raw.routes.len());
        for (index, route) in raw.routes.iter().enumerate() {
            match RouteContract::check(route, &format!("routes[{index}]")) {
                Ok(contract) => routes.push(contract),
                Err(found) => findings.extend(found),
            }
        }
        let services = raw.services.iter().map(|terms| ServiceConfiguration {
            service: terms.service.as_str().into(),
            connection_limit: terms.connection_limit,
            health_path: terms.health_path.clone(),
        });
        let configuration = RouteConfiguration {
            version: raw.version,
            routes,
            services: services.collect(),
            limits: CallerLimits::from(&raw.limits),
        };
        findings.into_result(configuration)
    }
}

impl From<&RawCallerLimits> for CallerLimits {
    fn from(raw: &RawCallerLimits) -> CallerLimits {
        CallerLimits {
            max_head_bytes: raw.head_bytes,
            max_body_bytes: raw.body_bytes,
            head_timeout: Duration::from_millis(raw.head_ms),
            idle_timeout: Duration::from_millis(raw.idle_ms),
        }
    }
}
