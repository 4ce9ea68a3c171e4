//! Plans of deployments and of their services.

use std::time::Duration;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::RawClass;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::RawPlacement;
use oleanderwind_policy::ShardId;

use crate::deployment::haneul;
use crate::deployment::tsagaan;

/// Request rate of each default contract, per second.
const REQUESTS_PER_SECOND: f64 = 2_000.0;
/// Extra-load budget of each default contract, in thousandths of the primary calls.
const EXTRA_LOAD_PERMILLE: u32 = 100;
/// The full share, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Name of an example deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeploymentName {
    /// Three failure domains; prefers high coverage.
    Tsagaan,
    /// Four failure domains; prefers low latency.
    Haneul,
}

/// Services and contract of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentPlan {
    /// Short name; also the prefix of the names of its failure domains.
    pub name: &'static str,
    /// Number of failure domains.
    pub failure_domains: u32,
    /// Services of the deployment.
    pub services: Vec<ServicePlan>,
    /// Default contract, placed with one provider.
    pub contract: RawContract,
}

/// Sizes of one service at one provider.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// Name of the service.
    pub service: &'static str,
    /// Number of shards of the first snapshot.
    pub shards: u32,
    /// Number of searchers that hold each shard.
    pub replicas: u32,
    /// Maximum number of calls that a searcher runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that a searcher accepts.
    pub connection_limit: u32,
    /// Delay before the first byte of a new connection is read.
    pub connection_setup: Duration,
}

impl DeploymentName {
    /// All example deployments.
    pub const ALL: [DeploymentName; 2] = [DeploymentName::Tsagaan, DeploymentName::Haneul];

    /// Returns the name used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            DeploymentName::Tsagaan => "tsagaan",
            DeploymentName::Haneul => "haneul",
        }
    }

    /// Returns the deployment with the given name on the command line.
    pub fn parse(text: &str) -> Option<DeploymentName> {
        DeploymentName::ALL.into_iter().find(|name| name.as_str() == text)
    }

    /// Returns the plan of the deployment, with its contract placed with `provider`.
    pub fn plan(self, provider: &ProviderId) -> DeploymentPlan {
        match self {
            DeploymentName::Tsagaan => tsagaan::plan(provider),
            DeploymentName::Haneul => haneul::plan(provider),
        }
    }
}

impl DeploymentPlan {
    /// Returns the failure domain of a searcher.
    ///
    /// Consecutive replicas of a shard are in consecutive failure domains.
    pub fn failure_domain(&self, plan: &ServicePlan, index: u32) -> String {
        let group = index / plan.replicas;
        let replica = index % plan.replicas;
        format!("{}-{}", self.name, (group + replica) % self.failure_domains)
    }
}

impl ServicePlan {
    /// Returns a service with two searchers for each shard and two slots per searcher.
    pub(crate) fn paired(service: &'static str, shards: u32) -> ServicePlan {
        ServicePlan {
            service,
            shards,
            replicas: 2,
            slots: 2,
            connection_limit: 25,
            connection_setup: Duration::from_millis(6),
        }
    }

    /// Returns a service with one shard that every searcher holds, and six slots per searcher.
    pub(crate) fn shared(
        service: &'static str,
        searchers: u32,
        connection_limit: u32,
    ) -> ServicePlan {
        ServicePlan {
            service,
            shards: 1,
            replicas: searchers,
            slots: 6,
            connection_limit,
            connection_setup: Duration::from_millis(1),
        }
    }

    /// Returns the number of searchers.
    pub fn searchers(&self) -> u32 {
        self.shards * self.replicas
    }

    /// Returns the shards that searcher `index` holds if the service has `shards` shards.
    ///
    /// Every searcher holds at least one shard, also with fewer shards than at the start.
    pub fn shards_of(&self, index: u32, shards: u32) -> Vec<ShardId> {
        let group = index / self.replicas;
        let first = group % shards;
        let mut held: Vec<ShardId> =
            (0..shards).filter(|shard| shard % self.shards == group).collect();
        if !held.contains(&first) {
            held.push(first);
        }
        held
    }
}

/// Builds a contract with the default rate and extra-load budget.
pub(crate) fn contract(
    customer: &str,
    preference: AnswerPreference,
    provider: &ProviderId,
    classes: Vec<(&str, RawClass)>,
) -> RawContract {
    RawContract {
        customer: customer.to_owned(),
        preference,
        requests_per_second: REQUESTS_PER_SECOND,
        extra_load_permille: EXTRA_LOAD_PERMILLE,
        placement: vec![RawPlacement {
            provider: provider.to_string(),
            share_permille: FULL_PERMILLE,
        }],
        classes: classes.into_iter().map(|(name, class)| (name.to_owned(), class)).collect(),
    }
}

/// Builds an interactive search class.
pub(crate) fn search(service: &str, deadline_ms: u64, floor_permille: u32) -> RawClass {
    RawClass {
        service: service.to_owned(),
        operation: OperationKind::Search,
        deadline_ms,
        coverage_floor_permille: floor_permille,
        priority: ClassPriority::Interactive,
    }
}

/// Builds a deferrable search class.
pub(crate) fn deferrable(service: &str, deadline_ms: u64, floor_permille: u32) -> RawClass {
    RawClass { priority: ClassPriority::Deferrable, ..search(service, deadline_ms, floor_permille) }
}

/// Builds a class of execute calls, which run at most once.
pub(crate) fn execute(service: &str, deadline_ms: u64) -> RawClass {
    RawClass { operation: OperationKind::Execute, ..search(service, deadline_ms, 0) }
}
