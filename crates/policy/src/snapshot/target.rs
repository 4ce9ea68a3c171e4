//! Targets as listed by the platform.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::FailureDomainId;
use crate::ProviderId;
use crate::ServiceId;
use crate::TargetId;

/// Phase of a target as reported by the platform, which may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// Accepts calls.
    Ready,
    /// Finishes its running calls and accepts no new ones.
    Draining,
    /// No longer listed, although it never announced a drain; used only as a last resort.
    Lapsed,
}

/// Configuration object of kind `targets`, named by the target's id.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TargetSpec {
    /// Id of the target; equal to the name of the object.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Provider that runs the target.
    pub provider: ProviderId,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Failure domain that the target runs in.
    pub failure_domain: FailureDomainId,
    /// Maximum number of calls that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connection_limit: u32,
    /// Identifies one process of the target; a restart loses the state of the previous process.
    #[serde(default)]
    pub incarnation: u64,
    /// Phase as reported by the platform.
    pub phase: TargetPhase,
    /// Time for which the process stays cold by its entry, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_warm")]
    pub cold_ms: u64,
}

fn is_warm(cold_ms: &u64) -> bool {
    *cold_ms == 0
}
