//! Shape of a deployment.

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

/// Requests a second that each default contract promises.
const REQUESTS_PER_SECOND: f64 = 2_000.0;
/// Extra load of each default contract, in thousandths of the primary calls.
const EXTRA_LOAD_PERMILLE: u32 = 100;
/// A whole, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// A deployment that the stand-in knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeploymentName {
    /// Three failure domains, weighs coverage.
    Tsagaan,
    /// Four failure domains, weighs latency.
    Haneul,
}

/// Services and contract of one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentPlan {
    /// Short name, also the prefix of its failure domains.
    pub name: &'static str,
    /// Number of failure domains.
    pub failure_domains: u32,
    /// Every service.
    pub services: Vec<ServicePlan>,
    /// The default contract, placed with one provider.
    pub contract: RawContract,
}

/// Size of one service at one provider.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// The service's name.
    pub service: &'static str,
    /// Shards of the first snapshot.
    pub shards: u32,
    /// Searchers that hold each shard.
    pub replicas: u32,
    /// Calls that a searcher runs at once.
    pub slots: u32,
    /// Connections that a searcher accepts.
    pub connection_limit: u32,
    /// Cost of a new connection, spent before its first byte is read.
    pub connection_setup: Duration,
}

impl DeploymentName {
    /// Every known deployment.
    pub const ALL: [DeploymentName; 2] = [DeploymentName::Tsagaan, DeploymentName::Haneul];

    /// The name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            DeploymentName::Tsagaan => "tsagaan",
            DeploymentName::Haneul => "haneul",
        }
    }

    /// The deployment of that name.
    pub fn parse(text: &str) -> Option<DeploymentName> {
        DeploymentName::ALL.into_iter().find(|name| name.as_str() == text)
    }

    /// Services and contract, placed with `provider`.
    pub fn plan(self, provider: &ProviderId) -> DeploymentPlan {
        match self {
            DeploymentName::Tsagaan => tsagaan::plan(provider),
            DeploymentName::Haneul => haneul::plan(provider),
        }
    }
}

impl DeploymentPlan {
    /// Name of the failure domain of a searcher: the replicas of a shard differ.
    pub fn failure_domain(&self, plan: &ServicePlan, index: u32) -> String {
        let group = index / plan.replicas;
        let replica = index % plan.replicas;
        format!("{}-{}", self.name, (group + replica) % self.failure_domains)
    }
}

impl ServicePlan {
    /// Two searchers for each shard, two slots.
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

    /// One shard that every searcher holds, six slots.
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

    /// Number of searchers.
    pub fn searchers(&self) -> u32 {
        self.shards * self.replicas
    }

    /// Shards that searcher `index` holds when the index is split into `shards`.
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

/// A contract with the default limits.
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
            share_permille: WHOLE_PERMILLE,
        }],
        classes: classes.into_iter().map(|(name, class)| (name.to_owned(), class)).collect(),
    }
}

/// A class that searches.
pub(crate) fn search(service: &str, deadline_ms: u64, floor_permille: u32) -> RawClass {
    RawClass {
        service: service.to_owned(),
        operation: OperationKind::Search,
        deadline_ms,
        coverage_floor_permille: floor_permille,
        priority: ClassPriority::Interactive,
    }
}

/// A class that searches and can wait.
pub(crate) fn deferrable(service: &str, deadline_ms: u64, floor_permille: u32) -> RawClass {
    RawClass { priority: ClassPriority::Deferrable, ..search(service, deadline_ms, floor_permille) }
}

/// A class that runs at most once.
pub(crate) fn execute(service: &str, deadline_ms: u64) -> RawClass {
    RawClass { operation: OperationKind::Execute, ..search(service, deadline_ms, 0) }
}
