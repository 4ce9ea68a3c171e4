//! Settings of membership.

use std::time::Duration;

/// Which peers get a heartbeat in a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePlan {
    /// Every other VM: the baseline, whose bytes grow with the fleet.
    FullMesh,
    /// One VM, next in a random round.
    RoundRobin,
}

/// How VMs watch each other; the defaults are the product's.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct MembershipSettings {
    /// Which peers get a heartbeat.
    pub plan: ProbePlan,
    /// Mean time between a VM's heartbeats; each gap is drawn within a quarter of it.
    ///
    /// In the round robin half of the gap is drawn, and each heartbeat received adds the other.
    pub period: Duration,
    /// Peers asked to try a VM that did not answer, before it is suspected.
    pub indirect_probes: usize,
    /// Bound of the passed-on records in one message, in bytes.
    pub max_member_bytes: usize,
    /// A change is passed on this many times the logarithm (base 2) of the fleet.
    pub retransmit_factor: u32,
    /// Share of recent failed probes, in thousandths, from which a VM takes itself for the cut-off
    /// one and suspects nobody.
    pub suspicion_cutoff_permille: u32,
    /// Seed of every random choice.
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
