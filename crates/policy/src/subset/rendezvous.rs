//! Rendezvous hashing with failure domains.

use std::collections::BTreeMap;

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
    // Each part's hash seeds the next, which keeps neighbouring names apart.
    let parts = parts.iter().chain([&vm]);
    parts.fold(0, |seed, part| xxh3_64_with_seed(part.as_bytes(), seed))
}

/// The `count` VMs that hold `service`, spread evenly over the failure domains.
///
/// Each domain ranks its own VMs; the domains are taken in turn by their best remaining VM. A VM
/// that comes or goes changes the holders by at most one in its own domain, and by one more where
/// a domain runs out of VMs. With `count` VMs or fewer, all hold.
pub fn service_holders(service: &str, vms: &[SubsetCandidate], count: usize) -> Vec<VmId> {
    let mut domains: BTreeMap<&FailureDomainId, Vec<(u64, &VmId)>> = BTreeMap::new();
    for candidate in vms {
        let weight = rendezvous_weight(&[service], &candidate.vm);
        domains.entry(&candidate.failure_domain).or_default().push((weight, &candidate.vm));
    }
    let mut ranked = Vec::with_capacity(vms.len());
    for (domain, mut members) in domains {
        members.sort_unstable_by(|left, right| right.cmp(left));
        let domain_weight = rendezvous_weight(&[service, "domain"], domain);
        let places = members.into_iter().enumerate();
        ranked.extend(places.map(|(place, (_, vm))| (place, domain_weight, vm)));
    }
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, _, vm)| vm.clone()).collect()
}
