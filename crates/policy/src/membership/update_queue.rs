//! Changes that are still to be passed on.

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
    /// How often the record was passed on.
    sent: u32,
}

/// VMs whose record changed lately: departures first, then what was passed on least often.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    order: BTreeSet<(UpdatePlace, VmId)>,
    places: BTreeMap<VmId, UpdatePlace>,
}

impl UpdateQueue {
    /// Passes the record on from the start.
    pub(crate) fn push(&mut self, record: &MemberRecord) {
        self.remove(&record.vm);
        let is_routine = record.phase == MemberPhase::Serving;
        self.insert(&record.vm, UpdatePlace { is_routine, sent: 0 });
    }

    /// The VMs to tell of next.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.order.iter().map(|(_, vm)| vm)
    }

    /// Counts one passing-on; at `limit` the record is no longer news.
    pub(crate) fn note_sent(&mut self, vm: &VmId, limit: u32) {
        let Some(place) = self.remove(vm) else { return };
        let sent = place.sent + 1;
        if sent < limit {
            self.insert(vm, UpdatePlace { sent, ..place });
        }
    }

    /// Adds a VM that is not there.
    fn insert(&mut self, vm: &VmId, place: UpdatePlace) {
        self.order.insert((place, vm.clone()));
        self.places.insert(vm.clone(), place);
    }

    /// Forgets a VM.
    fn remove(&mut self, vm: &VmId) -> Option<UpdatePlace> {
        let place = self.places.remove(vm)?;
        self.order.remove(&(place, vm.clone()));
        Some(place)
    }
}
