//! Lookup of organisations by key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::CallUrgency;
use crate::KeyDigest;
use crate::OrganisationContract;
use crate::OrganisationId;
use crate::RequestQuota;
use crate::organisation::CallerIdentity;
use crate::route::RouteConfiguration;
use crate::route::RouteContract;

/// Organisations by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    /// `None` if the configuration names no organisations, so that no request needs a key.
    by_key: Option<HashMap<KeyDigest, Arc<OrganisationContract>>>,
    by_name: HashMap<OrganisationId, Arc<OrganisationContract>>,
    largest_share: u32,
}

impl OrganisationTable {
    /// Indexes the organisations of `configuration`.
    pub fn new(configuration: &RouteConfiguration) -> OrganisationTable {
        let organisations = configuration.organisations.iter().flatten();
        let by_name: HashMap<OrganisationId, Arc<OrganisationContract>> = organisations
            .map(|contract| (contract.organisation.clone(), Arc::new(contract.clone())))
            .collect();
        let by_key = configuration.organisations.as_ref().map(|_| {
            let entries = by_name
                .values()
                .flat_map(|contract| contract.keys.iter().map(move |key| (*key, contract.clone())));
            entries.collect()
        });
        let shares = by_name.values().filter_map(|contract| share(contract));
        let largest_share = shares.max().unwrap_or(1);
        OrganisationTable { by_key, by_name, largest_share }
    }

    /// Returns whether any organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        self.by_name.values().any(|contract| contract.quota.is_some())
    }

    /// Returns the quota of an organisation, if it has one.
    pub fn quota(&self, organisation: &str) -> Option<RequestQuota> {
        self.contract(organisation)?.quota
    }

    /// Returns the contract of an organisation, if the configuration names it.
    pub fn contract(&self, organisation: &str) -> Option<&OrganisationContract> {
        self.by_name.get(organisation).map(Arc::as_ref)
    }

    /// Returns how urgent the calls of a request are that is served on behalf of `organisation`; `None` if the
    /// configuration names no organisations.
    ///
    /// The rank of the route stands in for that of an organisation that has none. Organisations have
    /// room by their quotas; one without a quota has as much as the largest.
    pub fn urgency(
        &self,
        route: &RouteContract,
        organisation: Option<&OrganisationId>,
    ) -> Option<CallUrgency> {
        self.by_key.as_ref()?;
        let contract = organisation.and_then(|organisation| self.contract(organisation));
        Some(CallUrgency {
            organisation_rank: contract
                .and_then(|contract| contract.priority)
                .unwrap_or(route.priority),
            route_rank: route.priority,
            organisation: organisation.cloned(),
            share: contract.and_then(share).unwrap_or(self.largest_share),
        })
    }

    /// Returns on whose behalf a request of `route` with this key is served.
    ///
    /// A public route needs no key, yet a known one tells on whose behalf its caller asks.
    pub fn identify(&self, route: &RouteContract, key: Option<&KeyDigest>) -> CallerIdentity {
        let Some(by_key) = &self.by_key else { return CallerIdentity::Anonymous };
        match key.and_then(|key| by_key.get(key)) {
            Some(contract) => CallerIdentity::Organisation(contract.clone()),
            None if route.is_public => CallerIdentity::Anonymous,
            None => CallerIdentity::Unknown,
        }
    }

    /// Returns whether a request that was admitted with `key` on behalf of `organisation` may still be sent.
    ///
    /// One that needed no key always may.
    pub fn still_admits(
        &self,
        organisation: Option<&OrganisationId>,
        key: Option<&KeyDigest>,
    ) -> bool {
        let (Some(by_key), Some(organisation)) = (&self.by_key, organisation) else { return true };
        let holder = key.and_then(|key| by_key.get(key));
        holder.is_some_and(|contract| contract.organisation == *organisation)
    }
}

/// Returns the share of an organisation in the room for calls of equal ranks: the requests per second
/// of its quota; `None` if it has none.
fn share(contract: &OrganisationContract) -> Option<u32> {
    // Saturates, as does the conversion.
    contract.quota.map(|quota| quota.requests_per_second.ceil().max(1.0) as u32)
}
