//! Targets as the platform lists them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::FailureDomainId;
use crate::ProviderId;
use crate::ServiceId;
use crate::TargetId;

/// What the platform says of a target; lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// Takes work.
    Ready,
    /// Leaving: finishes what runs and takes nothing new.
    Draining,
    /// No longer listed, though it never said that it leaves: used only where nothing else is left.
    Lapsed,
}

/// A target's object of kind `targets`, named by its id.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TargetSpec {
    /// The target's id, equal to the object's name.
    pub target: TargetId,
    /// The service it serves.
    pub service: ServiceId,
    /// The provider that runs it.
    pub provider: ProviderId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connection_limit: u32,
    /// Which start of the target this is; another start knows nothing of the one before.
    #[serde(default)]
    pub incarnation: u64,
    /// What the platform says of it.
    pub phase: TargetPhase,
}
