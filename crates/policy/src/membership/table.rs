//! The view that one VM has of all.

use std::collections::BTreeMap;

use crate::MemberPhase;
use crate::MemberRecord;
use crate::MemberState;
use crate::PlatformVm;
use crate::VmId;

/// One VM in the view.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// The platform's last list has it.
    listed: bool,
    /// The platform's last list has it as leaving.
    list_leaving: bool,
}

/// All VMs but the own one, by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<VmId, Member>,
    /// A platform list has come at all.
    list_seen: bool,
}

impl MemberTable {
    /// Takes a record in if it replaces what is held; says whether it did.
    pub fn apply(&mut self, record: &MemberRecord) -> bool {
        let Some(member) = self.members.get_mut(&record.vm) else {
            let member = Member { record: record.clone(), listed: false, list_leaving: false };
            self.members.insert(record.vm.clone(), member);
            return true;
        };
        if !record.supersedes(&member.record) {
            return false;
        }
        member.record = record.clone();
        true
    }

    /// Takes the platform's list in.
    ///
    /// A VM that the list lacks stays unless it is suspected or stopped too, as the list lags.
    pub fn apply_platform_list<'list>(&mut self, list: impl Iterator<Item = &'list PlatformVm>) {
        self.list_seen = true;
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for listed in list {
            // A VM's own word outranks the list, so that a record held stays.
            let member = self.members.entry(listed.vm.clone()).or_insert_with(|| Member {
                record: MemberRecord::from(listed),
                listed: true,
                list_leaving: false,
            });
            member.listed = true;
            member.list_leaving = listed.leaving;
        }
        self.members.retain(|_, member| {
            member.listed || !(member.record.phase == MemberPhase::Left || member.record.suspected)
        });
    }

    /// Marks a VM that could not be reached; says whether that is new.
    pub fn suspect(&mut self, vm: &VmId) -> bool {
        let Some(member) = self.members.get_mut(vm) else { return false };
        let changed = !member.record.suspected && member.record.phase != MemberPhase::Left;
        member.record.suspected |= changed;
        changed
    }

    /// The record held of a VM.
    pub fn record(&self, vm: &str) -> Option<&MemberRecord> {
        self.members.get(vm).map(|member| &member.record)
    }

    /// What to make of a VM; one that is not in the view is gone.
    pub fn state(&self, vm: &str) -> MemberState {
        self.members.get(vm).map_or(MemberState::Gone, |member| self.state_of(member))
    }

    /// Every VM with its standing, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.members.values().map(|member| (&member.record, self.state_of(member)))
    }

    /// VMs in the view, the own one left out.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Weighs the sources against each other.
    fn state_of(&self, member: &Member) -> MemberState {
        let record = &member.record;
        match record.phase {
            MemberPhase::Left => MemberState::Left,
            _ if record.suspected && self.list_seen && !member.listed => MemberState::Gone,
            MemberPhase::Leaving => MemberState::Leaving,
            MemberPhase::Serving if member.list_leaving => MemberState::Leaving,
            MemberPhase::Serving if record.suspected => MemberState::Suspect,
            MemberPhase::Serving => MemberState::Serving,
        }
    }
}
