//! Control orders, given over the control port or within the process.

use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;
use serde::Deserialize;
use serde::Serialize;

use crate::searcher::SearcherFault;

/// Set of searchers that a fault applies to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultScope {
    /// Every searcher.
    All,
    /// The searcher of this target.
    Searcher(TargetId),
    /// Every searcher of a service.
    Service(ServiceId),
    /// Every searcher in a failure domain.
    FailureDomain(FailureDomainId),
    /// Every searcher of a provider.
    Provider(ProviderId),
}

/// Order to inject a fault into searchers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FaultOrder {
    /// Searchers that the fault applies to.
    pub scope: FaultScope,
    /// Fault to inject.
    #[serde(flatten)]
    pub fault: SearcherFault,
}

/// Order to publish a new snapshot of a service at one provider.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SnapshotOrder {
    /// Service whose index is replaced.
    pub service: ServiceId,
    /// Provider whose searchers receive the snapshot.
    pub provider: ProviderId,
    /// Number of shards; `None` keeps the current number.
    #[serde(default)]
    pub shards: Option<u32>,
}

/// Result of a control order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OrderReport {
    /// Number of searchers that the order applied to.
    pub searchers: u64,
    /// Index version of the new snapshot; `None` for a fault order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index_version: Option<IndexVersion>,
}

impl FaultScope {
    /// Returns whether the searcher of `spec` is in the scope.
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
