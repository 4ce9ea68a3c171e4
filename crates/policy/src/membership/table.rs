//! View of the fleet held by one VM.

use std::collections::BTreeMap;

use crate::MemberPhase;
use crate::MemberRecord;
use crate::MemberState;
use crate::PlatformVm;
use crate::VmId;

/// Entry of one VM in the view.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// Whether the platform's last list contains it.
    listed: bool,
    /// Whether the platform's last list marks it as leaving.
    listed_leaving: bool,
}

/// View of all VMs except the one that holds it, by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<VmId, Member>,
    /// Whether a platform list was ever applied.
    has_list: bool,
}

impl MemberTable {
    /// Applies a record if it supersedes the one held; returns whether it did.
    pub fn apply(&mut self, record: &MemberRecord) -> bool {
        let Some(member) = self.members.get_mut(&record.vm) else {
            let member = Member { record: record.clone(), listed: false, listed_leaving: false };
            self.members.insert(record.vm.clone(), member);
            return true;
        };
        if !record.supersedes(&member.record) {
            return false;
        }
        member.record = record.clone();
        true
    }

    /// Applies the platform's list.
    ///
    /// As the list lags, a VM that it does not contain is removed only if it is also suspected or
    /// has left.
    pub fn apply_platform_list<'list>(&mut self, list: impl Iterator<Item = &'list PlatformVm>) {
        self.has_list = true;
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for listed in list {
            let member = self.members.entry(listed.vm.clone()).or_insert_with(|| Member {
                record: MemberRecord::from(listed),
                listed: true,
                listed_leaving: false,
            });
            // A record from the VM itself takes precedence over the list. A VM that was never heard may have
            // started again at another address.
            let is_unheard = member.record.incarnation == 0;
            if is_unheard && member.record.peer_address != listed.peer_address {
                member.record = MemberRecord::from(listed);
            }
            member.listed = true;
            member.listed_leaving = listed.leaving;
        }
        self.members.retain(|_, member| {
            member.listed || !(member.record.phase == MemberPhase::Left || member.record.suspected)
        });
    }

    /// Marks a VM as suspected; returns whether it was not yet suspected.
    pub fn suspect(&mut self, vm: &VmId) -> bool {
        let Some(member) = self.members.get_mut(vm) else { return false };
        let changed = !member.record.suspected && member.record.phase != MemberPhase::Left;
        member.record.suspected |= changed;
        changed
    }

    /// Returns the record held of a VM.
    pub fn record(&self, vm: &str) -> Option<&MemberRecord> {
        self.members.get(vm).map(|member| &member.record)
    }

    /// Returns the state of a VM; one that is not in the view is gone.
    pub fn state(&self, vm: &str) -> MemberState {
        self.members.get(vm).map_or(MemberState::Gone, |member| self.state_of(member))
    }

    /// Iterates over all VMs with their states, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.members.values().map(|member| (&member.record, self.state_of(member)))
    }

    /// Returns the number of VMs in the view, which does not contain its holder.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Derives the state of a VM from its record and the platform's list.
    fn state_of(&self, member: &Member) -> MemberState {
        let record = &member.record;
        match record.phase {
            MemberPhase::Left => MemberState::Left,
            _ if record.suspected && self.has_list && !member.listed => MemberState::Gone,
            MemberPhase::Leaving => MemberState::Leaving,
            MemberPhase::Serving if member.listed_leaving => MemberState::Leaving,
            MemberPhase::Serving if record.suspected => MemberState::Suspect,
            MemberPhase::Serving => MemberState::Serving,
        }
    }
}
