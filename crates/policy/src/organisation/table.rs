//! Lookup of organisations by key.

use std::collections::HashMap;
use std::sync::Arc;

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
    quotas: HashMap<OrganisationId, RequestQuota>,
}

impl OrganisationTable {
    /// Indexes the organisations of `configuration`.
    pub fn new(configuration: &RouteConfiguration) -> OrganisationTable {
        let by_key = configuration.organisations.as_ref().map(|organisations| {
            let contracts = organisations.iter().map(|contract| Arc::new(contract.clone()));
            let entries = contracts.flat_map(|contract| {
                let keys = contract.keys.clone().into_iter();
                keys.map(move |key| (key, contract.clone()))
            });
            entries.collect()
        });
        let organisations = configuration.organisations.iter().flatten();
        let quotas = organisations
            .filter_map(|contract| Some((contract.organisation.clone(), contract.quota?)))
            .collect();
        OrganisationTable { by_key, quotas }
    }

    /// Returns whether any organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Returns the quota of an organisation, if it has one.
    pub fn quota(&self, organisation: &str) -> Option<RequestQuota> {
        self.quotas.get(organisation).copied()
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
