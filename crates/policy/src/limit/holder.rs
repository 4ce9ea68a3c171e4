//! The VM that issues the permits for a target.

use crate::TargetId;
use crate::VmId;
use crate::rendezvous_weight;

/// Returns the VMs in the order in which they hold a target's limit: the first one that serves does.
///
/// VMs with the same view of the fleet agree on it, and a change of the fleet moves only the limits that it has to.
pub fn rank_limit_holders(target: &TargetId, vms: &[VmId]) -> Vec<VmId> {
    let mut holders = vms.to_vec();
    holders.sort_by_key(|vm| std::cmp::Reverse(rendezvous_weight(&["limits", target], vm)));
    holders
}
