//! Changes that are still to be passed on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::MemberPhase;
use crate::MemberRecord;
use crate::VmId;

/// Place of a VM in the order of telling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpdatePlace {
    /// Departures go before all else, as callers have to be kept away from those VMs.
    is_routine: bool,
    /// The newest change goes first, so that it spreads at full speed past a backlog.
    arrival: Reverse<u64>,
}

/// VMs whose record changed lately: departures first, then the newest change.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    order: BTreeSet<(UpdatePlace, VmId)>,
    /// Each VM's place, and how often its record was passed on.
    places: BTreeMap<VmId, (UpdatePlace, u32)>,
    arrivals: u64,
}

impl UpdateQueue {
    /// Passes the record on from the start.
    pub(crate) fn push(&mut self, record: &MemberRecord) {
        self.remove(&record.vm);
        let is_routine = record.phase == MemberPhase::Serving;
        self.arrivals += 1;
        self.insert(&record.vm, UpdatePlace { is_routine, arrival: Reverse(self.arrivals) }, 0);
    }

    /// The VMs to tell of next.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.order.iter().map(|(_, vm)| vm)
    }

    /// Counts one passing-on; at `limit` the record is no longer news.
    pub(crate) fn note_sent(&mut self, vm: &VmId, limit: u32) {
        let Some((place, sent)) = self.remove(vm) else { return };
        if sent + 1 < limit {
            self.insert(vm, place, sent + 1);
        }
    }

    /// Adds a VM that is not there.
    fn insert(&mut self, vm: &VmId, place: UpdatePlace, sent: u32) {
        self.order.insert((place, vm.clone()));
        self.places.insert(vm.clone(), (place, sent));
    }

    /// Forgets a VM.
    fn remove(&mut self, vm: &VmId) -> Option<(UpdatePlace, u32)> {
        let (place, sent) = self.places.remove(vm)?;
        self.order.remove(&(place, vm.clone()));
        Some((place, sent))
    }
}
