//! Which VMs a customer's callers are sent to.

use crate::MemberRecord;
use crate::MemberState;
use crate::VmId;
use crate::subset::rendezvous_weight;

/// Addresses in one answer.
const ADDRESS_COUNT: usize = 4;

/// Picks VMs for a caller among the holders of its service, best first.
///
/// Serving VMs come first, busy ones (`load_permille`) behind idle ones, then suspect ones, as a
/// suspicion may be wrong; leaving and stopped ones are left out. `caller` spreads callers over
/// VMs of like load.
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
        // Loads in steps of an eighth, so that small differences don't draw every caller.
        let step = load_permille / 125;
        let weight = rendezvous_weight(&[caller], &record.vm);
        ranked.push((is_suspect, step, weight, &record.vm));
    }
    ranked.sort_unstable();
    ranked.truncate(ADDRESS_COUNT);
    ranked.into_iter().map(|(_, _, _, vm)| vm.clone()).collect()
}
