//! Holders of every service at once, so that few VMs hold many services.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::FailureDomainId;
use crate::ServiceId;
use crate::VmId;
use crate::subset::SubsetCandidate;
use crate::subset::rendezvous::rendezvous_seed;
use crate::subset::rendezvous::seeded_weight;
use crate::subset::rendezvous_weight;

/// A service with the count of VMs that are to hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetSpec {
    /// The service.
    pub service: ServiceId,
    /// VMs that hold its connections, see [`ConnectionBudget`](crate::ConnectionBudget).
    pub holders: usize,
}

/// A VM among those of its domain: its choice of the service, its weight for it, its name; the
/// lowest goes first.
type DomainMember<'vm> = (usize, Reverse<u64>, Reverse<&'vm VmId>);

/// A place among the holders; the lowest are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderPlace<'vm> {
    /// How many VMs of the same domain go first.
    place: usize,
    choice: usize,
    domain_weight: u64,
    vm: &'vm VmId,
}

/// The VMs that hold each of `services`, each spread evenly over the failure domains.
///
/// Each VM ranks the services by its rendezvous weight for them, and each service takes VMs that
/// rank it first before those that rank it second, and so on. So a VM holds a second service only
/// where a domain lacks VMs that have none, whereas independent choices leave as many VMs with
/// three services as chance will have it.
///
/// A VM's choice depends on itself and on the services' names alone. Without a VM, each place of
/// its domain goes to a VM of the same or a later choice: no VM of another domain moves down, and
/// those of its own move up, as the bound of [`ConnectionBudget`](crate::ConnectionBudget) needs. A
/// service that only some views have counts as a view difference for the VMs that rank it first.
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
    let seeds: Vec<u64> = services.iter().map(|held| rendezvous_seed(&[&held.service])).collect();
    let depths: Vec<usize> = services.iter().map(|held| depth(&domains, held.holders)).collect();
    let mut places: Vec<Vec<HolderPlace>> = vec![Vec::new(); services.len()];
    for (domain, vms) in domains {
        let ranked = ranked_by_service(&seeds, &vms);
        for (number, members) in ranked.into_iter().enumerate() {
            let domain_weight = rendezvous_weight(&[&services[number].service, "domain"], domain);
            let first = first_members(members, depths[number]).into_iter().enumerate();
            places[number].extend(first.map(|(place, (choice, _, Reverse(vm)))| HolderPlace {
                place,
                choice,
                domain_weight,
                vm,
            }));
        }
    }
    let holders = |(held, mut places): (&SubsetSpec, Vec<HolderPlace>)| {
        places.sort_unstable();
        let first = places.into_iter().take(held.holders);
        (held.service.clone(), first.map(|place| place.vm.clone()).collect())
    };
    services.iter().zip(places).map(holders).collect()
}

/// The `count` VMs that hold `service`, as if there were no other: see [`holders_by_service`].
///
/// Each domain ranks its own VMs; the domains are taken in turn by their best remaining VM. A VM
/// that comes or goes changes the holders by at most one in its own domain, and by one more where
/// a domain runs out of VMs. With `count` VMs or fewer, all hold.
pub fn service_holders(service: &str, vms: &[SubsetCandidate], count: usize) -> Vec<VmId> {
    let held = SubsetSpec { service: service.into(), holders: count };
    holders_by_service(&[held], vms).remove(service).unwrap_or_default()
}

/// How many VMs of each domain are needed for `count` holders, the domains taken in turn.
fn depth(domains: &BTreeMap<&FailureDomainId, Vec<&VmId>>, count: usize) -> usize {
    let most = domains.values().map(Vec::len).max().unwrap_or(0);
    let places = |depth: usize| -> usize { domains.values().map(|vms| vms.len().min(depth)).sum() };
    (0..most).find(|depth| places(*depth) >= count).unwrap_or(most)
}

/// The VMs of a domain for each service, with their choice of it.
fn ranked_by_service<'vm>(seeds: &[u64], vms: &[&'vm VmId]) -> Vec<Vec<DomainMember<'vm>>> {
    let mut ranked = vec![Vec::with_capacity(vms.len()); seeds.len()];
    let mut weights = Vec::with_capacity(seeds.len());
    for vm in vms {
        weights.clear();
        let weight = |(number, seed): (usize, &u64)| (Reverse(seeded_weight(*seed, vm)), number);
        weights.extend(seeds.iter().enumerate().map(weight));
        weights.sort_unstable();
        for (choice, (weight, number)) in weights.iter().enumerate() {
            ranked[*number].push((choice, *weight, Reverse(*vm)));
        }
    }
    ranked
}

/// The `count` members that go first, in order.
fn first_members(mut members: Vec<DomainMember>, count: usize) -> Vec<DomainMember> {
    if count < members.len() {
        members.select_nth_unstable(count);
        members.truncate(count);
    }
    members.sort_unstable();
    members
}
