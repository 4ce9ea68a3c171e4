//! Rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::FailureDomainId;
use crate::VmId;

/// A VM that may hold connections to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetCandidate {
    /// The VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
}

/// Returns the weight of a VM for the key made of `parts`; the VMs with the highest weights are
/// selected.
pub fn rendezvous_weight(parts: &[&str], vm: &str) -> u64 {
    seeded_weight(rendezvous_seed(parts), vm)
}

/// Returns the VMs by their weight for the key made of `parts`, the highest first.
///
/// VMs with the same view of the fleet rank alike, and a VM that leaves changes nothing in the order of the others.
pub(crate) fn rank_by_weight(parts: &[&str], vms: &[VmId]) -> Vec<VmId> {
    let mut ranked = vms.to_vec();
    ranked.sort_by_key(|vm| std::cmp::Reverse(rendezvous_weight(parts, vm)));
    ranked
}

/// Returns the seed for [`seeded_weight`] of the key made of `parts`.
pub(crate) fn rendezvous_seed(parts: &[&str]) -> u64 {
    // The hash of each part seeds the next one, so that similar keys get unrelated weights.
    parts.iter().fold(0, |seed, part| seeded_weight(seed, part))
}

/// Returns the weight of a VM for the key with this seed.
pub(crate) fn seeded_weight(seed: u64, vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), seed)
}
