//! Orders to the stand-ins, over the control port or in the process.

use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use serde::Deserialize;
use serde::Serialize;

use crate::searcher::SearcherFault;

/// Which searchers a fault concerns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultScope {
    /// Every searcher.
    All,
    /// One searcher.
    Searcher(TargetId),
    /// Every searcher of a service.
    Service(ServiceId),
    /// Every searcher in a failure domain.
    FailureDomain(FailureDomainId),
    /// Every searcher of a provider.
    Provider(ProviderId),
}

/// Puts a fault in force.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FaultOrder {
    /// Which searchers.
    pub scope: FaultScope,
    /// Which fault.
    #[serde(flatten)]
    pub fault: SearcherFault,
}

/// Makes a new snapshot of a service at one provider.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SnapshotOrder {
    /// The service.
    pub service: ServiceId,
    /// The provider.
    pub provider: ProviderId,
    /// New number of shards; the old one when absent.
    #[serde(default)]
    pub shards: Option<u32>,
}

/// What an order did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OrderReport {
    /// Searchers that it concerned.
    pub searchers: u64,
    /// The new index version, for a new snapshot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index_version: Option<IndexVersion>,
}

impl FaultScope {
    /// Whether the fault concerns a target.
    pub(crate) fn contains(&self, spec: &TargetSpec) -> bool {
        match self {
            FaultScope::All => true,
            FaultScope::Searcher(target) => *target == spec.target,
            FaultScope::Service(service) => *service == spec.service,
            FaultScope::FailureDomain(domain) => *domain == spec.failure_domain,
            FaultScope::Provider(provider) => *provider == spec.provider,
        }
    }
}
