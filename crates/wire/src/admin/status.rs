//! State of VMs, contracts and routes.

use oleanderwind_policy::CustomerId;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ShardId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use serde::Deserialize;
use serde::Serialize;

/// State of the VM that answers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: String,
    /// Where it stands.
    pub failure_domain: String,
    /// Whether it has configuration to serve with.
    pub is_ready: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// `fresh`, `stale` when it hears neither platform nor peers, `isolated` after long.
    pub contact: String,
    /// Highest configuration revision in force.
    pub revision: Revision,
    /// Contracts in force.
    pub contracts: usize,
    /// Targets known.
    pub targets: usize,
    /// Calls to the platform since the start, a watch counted as one.
    pub platform_calls: u64,
}

/// Routes of opaque requests on the VM that answers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RoutingStatus {
    /// Configuration version in force, 0 before the first.
    pub version: u64,
    /// Routes in force.
    pub routes: usize,
    /// Connections to targets made since the start.
    pub connects: u64,
    /// Targets, by service and name.
    pub targets: Vec<TargetStatus>,
    /// The last requests that ended without an answer, newest first.
    pub unanswered: Vec<UnansweredRequest>,
}

/// A target as the VM stands to it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// The service that it serves.
    pub service: String,
    /// Where it stands.
    pub failure_domain: String,
    /// What the platform says of it.
    pub phase: TargetPhase,
    /// Calls open to it.
    pub open: u32,
    /// Calls that may be open to it.
    pub window: u32,
    /// Whether its last calls failed, so that others go first.
    pub is_failing: bool,
    /// Extra calls that its service's budget has left.
    pub extra_calls_left: u64,
}

/// A request that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct UnansweredRequest {
    /// The caller's id.
    pub request: String,
    /// Its route.
    pub route: String,
    /// `refused`, `late` or `failed`.
    pub outcome: String,
    /// Why.
    pub reason: String,
    /// Time since its arrival when it ended, in milliseconds.
    pub ms: u64,
}

/// A VM of the fleet as the answering VM last heard of it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FleetMember {
    /// The VM.
    pub vm: String,
    /// Where it stands.
    pub failure_domain: String,
    /// `serving`, `suspect`, `leaving` or `left`.
    pub phase: String,
    /// Highest configuration revision in force there.
    pub revision: Revision,
    /// Whether that is below the answering VM's own.
    pub is_lagging: bool,
}

/// How one class of a contract fared on the answering VM.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ClassOutcome {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: String,
    /// Requests finished within the window.
    pub requests: u64,
    /// Of these, answered at or before the deadline.
    pub within_deadline: u64,
    /// Of these, searches at or above the floor of coverage.
    pub above_floor: u64,
    /// Of these, not run or unknown.
    pub not_served: u64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// The contract's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Calls to targets, one a shard.
    pub primary_calls: u64,
    /// Hedges, retries and refills.
    pub extra_calls: u64,
    /// The contract's bound on them, in thousandths.
    pub extra_load_permille: u32,
    /// Whether tail, coverage and extra load all hold.
    pub holds: bool,
}

/// Where a class's requests go.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RouteExplanation {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: String,
    /// Revision of the contract in force.
    pub revision: Revision,
    /// The service that serves it.
    pub service: String,
    /// Providers with their shares in thousandths, as `provider=share`.
    pub placement: Vec<String>,
    /// Snapshot that the next query would pin, by provider.
    pub snapshots: Vec<String>,
    /// Shards with the targets that hold them.
    pub shards: Vec<ShardTargets>,
    /// Who to ask why a target gets no work.
    pub notes: Vec<String>,
}

/// The targets of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardTargets {
    /// The shard.
    pub shard: ShardId,
    /// The snapshot it belongs to.
    pub index_version: IndexVersion,
    /// Targets that take its calls.
    pub ready: Vec<TargetId>,
    /// Targets that hold it and take none.
    pub draining: Vec<TargetId>,
}
