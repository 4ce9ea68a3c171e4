//! Settings of the membership protocol.

use std::time::Duration;

/// Selection of the peers that get a heartbeat in a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePlan {
    /// Every other VM. A baseline for comparison: its traffic per VM grows with the fleet.
    FullMesh,
    /// One VM per turn, in a random order that visits each VM once per round.
    RoundRobin,
}

/// Settings of the membership protocol; the defaults are those used in production.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct MembershipSettings {
    /// Selection of the peers that get a heartbeat.
    pub plan: ProbePlan,
    /// Mean time between a VM's heartbeats, with a jitter of up to a quarter.
    ///
    /// With [`ProbePlan::RoundRobin`] a VM waits half of the jittered period, and each heartbeat
    /// received delays the next one by another half period.
    pub period: Duration,
    /// Number of peers that probe a VM that did not answer before it is suspected.
    pub indirect_probes: usize,
    /// Maximum size of the gossiped records in one message, in bytes.
    pub max_member_bytes: usize,
    /// Factor that is multiplied by the binary logarithm of the fleet size to give the number of
    /// times that a VM sends an update.
    pub retransmit_factor: u32,
    /// Share of failed recent heartbeats, in thousandths, at which a VM considers itself isolated
    /// and no longer suspects others.
    pub suspicion_cutoff_permille: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings {
            plan: ProbePlan::RoundRobin,
            period: Duration::from_secs(1),
            indirect_probes: 2,
            max_member_bytes: 180,
            retransmit_factor: 1,
            suspicion_cutoff_permille: 800,
            seed: 1,
        }
    }
}
