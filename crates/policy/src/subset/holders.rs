//! Joint selection of the holders of all services, so that few VMs hold many services.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::FailureDomainId;
use crate::ServiceId;
use crate::VmId;
use crate::subset::SubsetCandidate;
use crate::subset::rendezvous::rendezvous_seed;
use crate::subset::rendezvous::seeded_weight;
use crate::subset::rendezvous_weight;

/// A service and the number of VMs that should hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetSpec {
    /// The service.
    pub service: ServiceId,
    /// Number of VMs that hold connections to it, see
    /// [`ConnectionBudget`](crate::ConnectionBudget).
    pub holders: usize,
}

/// A VM of one failure domain: its preference for a service (0 is first), its weight for it and its
/// name. VMs are selected in ascending order.
type DomainMember<'vm> = (usize, Reverse<u64>, Reverse<&'vm VmId>);

/// A possible holder of a service; holders are selected in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderCandidate<'vm> {
    /// Number of VMs of the same domain that come first.
    domain_rank: usize,
    preference: usize,
    domain_weight: u64,
    vm: &'vm VmId,
}

/// Returns the VMs that hold each of `services`, spread evenly over the failure domains.
///
/// Each VM ranks the services by its rendezvous weight for them. Each service selects the VMs that
/// rank it first, then those that rank it second, and so on. A VM thus holds a second service only
/// if its domain has no VM left without one. Independent selection for each service would give some
/// VMs three or more services by chance.
///
/// The preferences of a VM depend only on its own name and the names of the services. If a VM is
/// removed, its position in its domain passes to a VM with the same or a later preference. So the
/// VMs of its domain move up, and no VM of another domain moves down. The bound of
/// [`ConnectionBudget`](crate::ConnectionBudget) relies on this. A service that only some views
/// have counts as a difference between views for the VMs that rank it first.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::SubsetSpec;
/// use oleanderwind_policy::SubsetCandidate;
/// use oleanderwind_policy::holders_by_service;
///
/// let vm = |name: &str| SubsetCandidate { vm: name.into(), failure_domain: "a".into() };
/// let services = [SubsetSpec { service: "courses".into(), holders: 2 }];
/// let holders = holders_by_service(&services, &[vm("vm-1"), vm("vm-2"), vm("vm-3")]);
/// assert_eq!(holders["courses"].len(), 2);
/// ```
pub fn holders_by_service(
    services: &[SubsetSpec],
    vms: &[SubsetCandidate],
) -> BTreeMap<ServiceId, Vec<VmId>> {
    let mut domains: BTreeMap<&FailureDomainId, Vec<&VmId>> = BTreeMap::new();
    for candidate in vms {
        domains.entry(&candidate.failure_domain).or_default().push(&candidate.vm);
    }
    let seeds: Vec<u64> =
        services.iter().map(|subset| rendezvous_seed(&[&subset.service])).collect();
    let quotas: Vec<usize> =
        services.iter().map(|subset| domain_quota(&domains, subset.holders)).collect();
    let mut candidates: Vec<Vec<HolderCandidate>> = vec![Vec::new(); services.len()];
    for (domain, vms) in domains {
        let ranked = ranked_by_service(&seeds, &vms);
        for (index, members) in ranked.into_iter().enumerate() {
            let domain_weight = rendezvous_weight(&[&services[index].service, "domain"], domain);
            let first = smallest_members(members, quotas[index]).into_iter().enumerate();
            candidates[index].extend(first.map(|(domain_rank, (preference, _, Reverse(vm)))| {
                HolderCandidate { domain_rank, preference, domain_weight, vm }
            }));
        }
    }
    let holders = |(subset, mut candidates): (&SubsetSpec, Vec<HolderCandidate>)| {
        candidates.sort_unstable();
        let first = candidates.into_iter().take(subset.holders);
        (subset.service.clone(), first.map(|candidate| candidate.vm.clone()).collect())
    };
    services.iter().zip(candidates).map(holders).collect()
}

/// Returns the `count` VMs that hold `service` as if it were the only one, see
/// [`holders_by_service`].
///
/// Each domain ranks its own VMs, and the best remaining VM of each domain is selected in turn. If
/// a VM joins or leaves, at most one holder in its own domain changes, and one more if a domain has
/// no VM left. With `count` VMs or fewer, all of them are holders.
pub fn service_holders(service: &str, vms: &[SubsetCandidate], count: usize) -> Vec<VmId> {
    let subset = SubsetSpec { service: service.into(), holders: count };
    holders_by_service(&[subset], vms).remove(service).unwrap_or_default()
}

/// Returns the maximum number of VMs per domain needed to select `count` holders from the domains
/// in turn.
fn domain_quota(domains: &BTreeMap<&FailureDomainId, Vec<&VmId>>, count: usize) -> usize {
    let most = domains.values().map(Vec::len).max().unwrap_or(0);
    let available =
        |quota: usize| -> usize { domains.values().map(|vms| vms.len().min(quota)).sum() };
    (0..most).find(|quota| available(*quota) >= count).unwrap_or(most)
}

/// Returns the VMs of a domain for each service, with their preference for it.
fn ranked_by_service<'vm>(seeds: &[u64], vms: &[&'vm VmId]) -> Vec<Vec<DomainMember<'vm>>> {
    let mut ranked = vec![Vec::with_capacity(vms.len()); seeds.len()];
    let mut weights = Vec::with_capacity(seeds.len());
    for vm in vms {
        weights.clear();
        let weight = |(index, seed): (usize, &u64)| (Reverse(seeded_weight(*seed, vm)), index);
        weights.extend(seeds.iter().enumerate().map(weight));
        weights.sort_unstable();
        for (preference, (weight, index)) in weights.iter().enumerate() {
            ranked[*index].push((preference, *weight, Reverse(*vm)));
        }
    }
    ranked
}

/// Returns the `count` smallest members in ascending order.
fn smallest_members(mut members: Vec<DomainMember>, count: usize) -> Vec<DomainMember> {
    if count < members.len() {
        members.select_nth_unstable(count);
        members.truncate(count);
    }
    members.sort_unstable();
    members
}
