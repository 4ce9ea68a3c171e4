//! Rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::FailureDomainId;
use crate::VmId;

/// A VM that may hold a service's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetCandidate {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
}

/// Weight of a VM for the thing that `parts` name; the highest weights hold it.
pub fn rendezvous_weight(parts: &[&str], vm: &str) -> u64 {
    seeded_weight(rendezvous_seed(parts), vm)
}

/// What [`seeded_weight`] needs of the parts.
pub(crate) fn rendezvous_seed(parts: &[&str]) -> u64 {
    // Each part's hash seeds the next, which keeps neighbouring names apart.
    parts.iter().fold(0, |seed, part| seeded_weight(seed, part))
}

/// Weight of a VM for the thing whose parts gave `seed`.
pub(crate) fn seeded_weight(seed: u64, vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), seed)
}
