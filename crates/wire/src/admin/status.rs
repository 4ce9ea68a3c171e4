//! Status of VMs, contracts and routes.

use std::collections::BTreeMap;

use oleanderwind_policy::CustomerId;
use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::Revision;
use oleanderwind_policy::ShardId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use serde::Deserialize;
use serde::Serialize;

/// Status of the responding VM.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct VmStatus {
    /// Id of the VM.
    pub vm: String,
    /// Failure domain that the VM runs in.
    pub failure_domain: String,
    /// Whether the VM has the configuration that it needs to serve requests.
    pub is_ready: bool,
    /// Whether the VM is leaving the fleet.
    pub is_leaving: bool,
    /// `fresh`; `stale` without contact to the platform or peers; `isolated` if that lasts long.
    pub contact: String,
    /// Highest configuration revision in effect.
    pub revision: Revision,
    /// Number of contracts in effect.
    pub contracts: usize,
    /// Number of known targets.
    pub targets: usize,
    /// Calls to the platform since the process started; a watch counts as one call.
    pub platform_calls: u64,
    /// Evacuated failure domains, whose targets get no new calls.
    #[serde(default)]
    pub evacuated: Vec<String>,
}

/// Status of the routes on the responding VM.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RoutingStatus {
    /// Configuration version in effect; 0 before the first one is received.
    pub version: u64,
    /// Number of routes in effect.
    pub routes: usize,
    /// Connections opened to targets since the process started.
    pub connects: u64,
    /// Targets, sorted by service and name.
    pub targets: Vec<TargetStatus>,
    /// Most recent requests that ended without an answer, newest first.
    pub unanswered: Vec<UnansweredRequest>,
}

/// Status of a target as seen by the responding VM.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TargetStatus {
    /// Id of the target.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: String,
    /// Failure domain that the target runs in.
    pub failure_domain: String,
    /// Phase as reported by the platform.
    pub phase: TargetPhase,
    /// Number of calls in flight to the target.
    pub open: u32,
    /// Maximum number of calls in flight to the target.
    pub window: u32,
    /// Whether the latest calls to the target failed, so that other targets are preferred.
    pub is_failing: bool,
    /// Whether the target announced in a reply that it leaves, so that it gets no new calls.
    #[serde(default)]
    pub is_leaving: bool,
    /// Whether the target's failure domain is evacuated, so that it gets no new calls.
    #[serde(default)]
    pub is_evacuated: bool,
    /// Rest of the pause that the target asked for, in milliseconds.
    #[serde(default)]
    pub paused_ms: u64,
    /// Requests per second that the target takes from all VMs, if it named a rate limit.
    #[serde(default)]
    pub limit_per_second: Option<f64>,
    /// Permits that the VM has for calls to a target with a rate limit.
    #[serde(default)]
    pub permits: usize,
    /// Extra calls left in the budget of the target's service.
    pub extra_calls_left: u64,
}

/// A request that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct UnansweredRequest {
    /// Request id given by the caller.
    pub request: String,
    /// Name of the route.
    pub route: String,
    /// `refused`, `late` or `failed`.
    pub outcome: String,
    /// Reason why there was no answer.
    pub reason: String,
    /// Time from the request's arrival to its end, in milliseconds.
    pub ms: u64,
}

/// A VM of the fleet, according to the last record that reached the responding VM.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FleetMember {
    /// Id of the VM.
    pub vm: String,
    /// Failure domain that the VM runs in.
    pub failure_domain: String,
    /// `serving`, `suspect`, `leaving` or `left`.
    pub phase: String,
    /// Highest configuration revision in effect on that VM.
    pub revision: Revision,
    /// Whether `revision` is below that of the responding VM.
    pub is_lagging: bool,
    /// Whether the platform answers none of the VM's calls, so that other VMs hold its watches.
    #[serde(default)]
    pub is_refused: bool,
    /// Age of the platform's last word by kind of object, in milliseconds, of the responding VM if
    /// it watches the platform. A VM knows only its own.
    #[serde(default)]
    pub word_ages_ms: BTreeMap<String, u64>,
}

/// Results of one request class on the responding VM, measured against the contract.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ClassOutcome {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Name of the request class.
    pub class: String,
    /// Requests that finished within the measurement window.
    pub requests: u64,
    /// Number of these that finished by the deadline.
    pub within_deadline: u64,
    /// Number of these at or above the coverage floor; requests without coverage are included.
    pub above_floor: u64,
    /// Number of these that were answered neither in full nor in part.
    pub not_served: u64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Deadline in the contract, in milliseconds.
    pub deadline_ms: u64,
    /// Primary calls to targets, one per shard.
    pub primary_calls: u64,
    /// Extra calls: hedges, retries and refills.
    pub extra_calls: u64,
    /// Limit on extra calls in the contract, in thousandths of the primary calls.
    pub extra_load_permille: u32,
    /// Whether the contract's terms for tail latency, coverage, served requests and extra load are
    /// all met.
    pub holds: bool,
}

/// Services, snapshots and targets that serve the requests of a class.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RouteExplanation {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Name of the request class.
    pub class: String,
    /// Revision of the contract in effect.
    pub revision: Revision,
    /// Service that answers the class's requests.
    pub service: String,
    /// Providers and their shares in thousandths, as `provider=share`.
    pub placement: Vec<String>,
    /// Snapshot that the next query would pin, for each provider, as `provider@index version`.
    pub snapshots: Vec<String>,
    /// Shards and the targets that hold them.
    pub shards: Vec<ShardTargets>,
    /// Problems found, such as a provider without a snapshot of the service.
    pub notes: Vec<String>,
}

/// Targets that hold one shard.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShardTargets {
    /// Number of the shard.
    pub shard: ShardId,
    /// Index version of the snapshot that the shard belongs to.
    pub index_version: IndexVersion,
    /// Targets that accept calls for the shard.
    pub ready: Vec<TargetId>,
    /// Targets that hold the shard but accept no calls.
    pub draining: Vec<TargetId>,
}
