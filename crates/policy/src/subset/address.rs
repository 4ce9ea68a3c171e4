//! Selection of the VMs that a customer's callers use.

use crate::MemberRecord;
use crate::MemberState;
use crate::VmId;
use crate::subset::rendezvous_weight;

/// Maximum number of VMs in one answer.
const MAX_ADDRESSES: usize = 4;

/// Returns VMs for a caller among the holders of its service, best first.
///
/// Serving VMs come first, ordered by `load_permille`. Suspect VMs follow, as a suspicion may be
/// wrong. Leaving and stopped VMs are omitted. The hash of `caller` spreads callers over VMs with
/// similar load.
pub fn rank_holders_for_caller(
    caller: &str,
    holders: &[(&MemberRecord, MemberState, u32)],
) -> Vec<VmId> {
    let mut ranked: Vec<(bool, u32, u64, &VmId)> = Vec::with_capacity(holders.len());
    for (record, standing, load_permille) in holders {
        let is_suspect = match standing {
            MemberState::Serving => false,
            MemberState::Suspect => true,
            MemberState::Leaving | MemberState::Left | MemberState::Gone => continue,
        };
        // Loads are rounded to steps of an eighth, so that a small difference does not attract
        // every caller.
        let load_step = load_permille / 125;
        let weight = rendezvous_weight(&[caller], &record.vm);
        ranked.push((is_suspect, load_step, weight, &record.vm));
    }
    ranked.sort_unstable();
    ranked.truncate(MAX_ADDRESSES);
    ranked.into_iter().map(|(_, _, _, vm)| vm.clone()).collect()
}
