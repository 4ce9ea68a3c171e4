//! The validated routes of one configuration version.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::FindingList;
use crate::OrganisationContract;
use crate::ServiceId;
use crate::route::RawCallerLimits;
use crate::route::RawRouteConfiguration;
use crate::route::RouteContract;

/// Validated routes with the service settings and caller limits of the same version.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfiguration {
    /// Version number; increases with every change, but not always by 1.
    pub version: u64,
    /// Validated routes.
    pub routes: Vec<RouteContract>,
    /// Settings of the services that the routes name.
    pub services: Vec<ServiceConfiguration>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Organisations whose keys admit requests; `None` if requests need no key.
    pub organisations: Option<Vec<OrganisationContract>>,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfiguration {
    /// Name of the service.
    pub service: ServiceId,
    /// Maximum number of connections that one of its targets accepts from all VMs together.
    pub connection_limit: u32,
    /// Path of the health check on its targets.
    pub health_path: String,
    /// Requests per second that one of its targets takes while it is cold; 0 if none is named.
    pub cold_requests_per_second: f64,
}

/// Limits on the size of callers' requests and the time to send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time that a caller may take to send a request head.
    pub head_timeout: Duration,
    /// Maximum idle time between two requests on one connection.
    pub idle_timeout: Duration,
}

impl TryFrom<&RawRouteConfiguration> for RouteConfiguration {
    type Error = FindingList;

    fn try_from(raw: &RawRouteConfiguration) -> Result<RouteConfiguration, FindingList> {
        let mut findings = FindingList::default();
        let mut routes = Vec::with_capacity(raw.routes.len());
        for (index, route) in raw.routes.iter().enumerate() {
            match RouteContract::from_raw(route, &format!("routes[{index}]")) {
                Ok(contract) => routes.push(contract),
                Err(found) => findings.extend(found),
            }
        }
        let services = raw.services.iter().map(|service| ServiceConfiguration {
            service: service.service.as_str().into(),
            connection_limit: service.connection_limit,
            health_path: service.health_path.clone(),
            cold_requests_per_second: service.cold_requests_per_second,
        });
        let organisations = raw.organisations.as_ref().map(|organisations| {
            let mut contracts = Vec::with_capacity(organisations.len());
            for (index, organisation) in organisations.iter().enumerate() {
                let place = format!("organisations[{index}]");
                match OrganisationContract::from_raw(organisation, &place) {
                    Ok(contract) => contracts.push(contract),
                    Err(found) => findings.extend(found),
                }
            }
            check_unique(&contracts, &mut findings);
            contracts
        });
        let configuration = RouteConfiguration {
            version: raw.version,
            routes,
            services: services.collect(),
            limits: CallerLimits::from(&raw.limits),
            organisations,
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

/// Adds a finding for each name and each key that two organisations share. The keys are not repeated.
fn check_unique(contracts: &[OrganisationContract], findings: &mut FindingList) {
    let mut names = HashSet::new();
    let mut holders = HashMap::new();
    for contract in contracts {
        let name = &contract.organisation;
        if !names.insert(name) {
            findings.add("organisations", format!("\"{name}\" is given more than once"));
        }
        for key in &contract.keys {
            let holder = holders.insert(key, name);
            if let Some(holder) = holder.filter(|holder| *holder != name) {
                findings.add("organisations", format!("\"{holder}\" and \"{name}\" share a key"));
            }
        }
    }
}
