//! The VM that issues the permits for a target.

use crate::TargetId;
use crate::VmId;
use crate::subset::rank_by_weight;

/// Returns the VMs in the order in which they hold a target's limit: the first one that serves does.
///
/// VMs with the same view of the fleet agree on it, and a change of the fleet moves only the limits that it has to.
pub fn rank_limit_holders(target: &TargetId, vms: &[VmId]) -> Vec<VmId> {
    rank_by_weight(&["limits", target], vms)
}
