//! Who holds watches on the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::FailureDomainId;
use crate::MemberRecord;
use crate::MembershipAction;
use crate::MembershipEngine;
use crate::ObjectSummary;
use crate::VmId;
use crate::WatchPosition;
use crate::WatchRole;
use crate::most_capable;
use crate::watch_holders;

/// Minimum number of VMs of its failure domain that a VM notifies of a refusal, if there are as many.
const MIN_REFUSAL_NOTICES: usize = 8;

/// Watches.
impl MembershipEngine {
    /// Returns this VM's part in the watches on the platform.
    pub fn watch_role(&self) -> WatchRole {
        let domain_vms: Vec<&MemberRecord> = self.domain_vms().collect();
        let is_own = |vm: &VmId| *vm == self.own.vm;
        if capable_watch_holders(&self.own.failure_domain, &domain_vms).iter().any(is_own) {
            return WatchRole::Regular;
        }
        // Without a refusal the holders are the regular ones.
        let is_changed = domain_vms.iter().any(|record| record.is_refused);
        match is_changed && self.answered_domain_holders().iter().any(is_own) {
            true => WatchRole::Substitute,
            false => WatchRole::None,
        }
    }

    /// Returns whether other VMs should hear of changes from the platform, of any failure domain.
    pub fn has_other_watch_holders(&self) -> bool {
        // Every failure domain with a serving VM that the platform answers has a holder.
        let mut answered = self.serving_members().filter(|record| !record.is_refused);
        answered.any(|record| record.failure_domain != self.own.failure_domain)
            || self.answered_domain_holders().iter().any(|vm| *vm != self.own.vm)
    }

    /// Returns how many VMs of this VM's failure domain the platform refuses.
    pub fn refused_domain_vms(&self) -> usize {
        self.domain_vms().filter(|record| record.is_refused).count()
    }

    /// Returns this VM's place among the watch holders of all failure domains.
    ///
    /// A VM that should hold no watch, or that the platform refuses, is in the place of the first.
    pub fn watch_position(&self) -> WatchPosition {
        let mut domains: BTreeMap<&FailureDomainId, Vec<&MemberRecord>> = BTreeMap::new();
        let vms = self.serving_members().chain([&self.own]);
        for record in vms.filter(|record| !record.is_refused) {
            domains.entry(&record.failure_domain).or_default().push(record);
        }
        let holders_of = |(domain, vms): (&FailureDomainId, Vec<&MemberRecord>)| {
            let mut holders = capable_watch_holders(domain, &vms);
            holders.sort_unstable();
            holders
        };
        let holders: Vec<VmId> = domains.into_iter().flat_map(holders_of).collect();
        let rank = holders.iter().position(|vm| *vm == self.own.vm).unwrap_or(0);
        WatchPosition { rank, holders: holders.len().max(1) }
    }

    /// Records whether the platform refuses this VM, and notifies the VMs that hold watches because of
    /// it, before or from now on, and several that are next after them: holders that are refused at the
    /// same moment would tell only each other, and views of who is next differ.
    pub fn announce_refusal(
        &mut self,
        is_refused: bool,
        summary: ObjectSummary,
    ) -> Vec<MembershipAction> {
        let mut holders: BTreeSet<VmId> = self.answered_domain_holders().into_iter().collect();
        self.own.is_refused = is_refused;
        self.republish_own();
        holders.extend(self.answered_domain_holders());
        holders.insert(self.own.vm.clone());
        while holders.len() <= MIN_REFUSAL_NOTICES {
            let next = self.domain_holders_except(&holders);
            if next.is_empty() {
                break;
            }
            holders.extend(next);
        }
        holders.remove(&self.own.vm);
        holders.into_iter().filter_map(|vm| self.build_heartbeat(vm, summary)).collect()
    }

    /// Returns the VMs of this VM's failure domain that should hear of changes from the platform: its
    /// watch holders, with others in the place of those that the platform refuses.
    fn answered_domain_holders(&self) -> Vec<VmId> {
        self.domain_holders_except(&BTreeSet::new())
    }

    /// Returns the VMs that take the place of those in `excluded` and of those that the platform refuses.
    fn domain_holders_except(&self, excluded: &BTreeSet<VmId>) -> Vec<VmId> {
        let is_candidate =
            |record: &&MemberRecord| !record.is_refused && !excluded.contains(&record.vm);
        let candidates: Vec<&MemberRecord> = self.domain_vms().filter(is_candidate).collect();
        capable_watch_holders(&self.own.failure_domain, &candidates)
    }

    /// Returns the serving VMs of this VM's failure domain, itself included.
    fn domain_vms(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.domain_peers())
    }
}

/// Returns the VMs of a failure domain that hold watches.
///
/// A watch holder passes changes on to its peers, which costs processor and bandwidth, so only the
/// most capable VMs are considered.
fn capable_watch_holders(domain: &FailureDomainId, vms: &[&MemberRecord]) -> Vec<VmId> {
    let capable = most_capable(vms).into_iter();
    let capable: Vec<VmId> = capable.map(|record| record.vm.clone()).collect();
    watch_holders(domain, &capable)
}
