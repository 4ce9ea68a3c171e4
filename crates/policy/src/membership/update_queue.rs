//! Queue of membership updates to gossip.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::MemberPhase;
use crate::MemberRecord;
use crate::VmId;

/// Sort key of an update; the lowest is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpdatePriority {
    /// False for departures, which go first because callers must be kept away from those VMs.
    is_routine: bool,
    /// The newest update goes first, so that a backlog does not delay it.
    arrival: Reverse<u64>,
}

/// VMs whose records are to be gossiped: departures first, then the newest update.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    order: BTreeSet<(UpdatePriority, VmId)>,
    /// Priority of each VM and how many times its record was sent.
    entries: BTreeMap<VmId, (UpdatePriority, u32)>,
    arrivals: u64,
}

impl UpdateQueue {
    /// Queues a record; earlier sends of the VM's record no longer count.
    pub(crate) fn push(&mut self, record: &MemberRecord) {
        self.remove(&record.vm);
        let is_routine = record.phase == MemberPhase::Serving;
        self.arrivals += 1;
        self.insert(&record.vm, UpdatePriority { is_routine, arrival: Reverse(self.arrivals) }, 0);
    }

    /// Iterates over the queued VMs, next to send first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.order.iter().map(|(_, vm)| vm)
    }

    /// Counts one send of a VM's record and drops the VM from the queue at `limit` sends.
    pub(crate) fn record_sent(&mut self, vm: &VmId, limit: u32) {
        let Some((priority, sent)) = self.remove(vm) else { return };
        if sent + 1 < limit {
            self.insert(vm, priority, sent + 1);
        }
    }

    /// Adds a VM that is not in the queue.
    fn insert(&mut self, vm: &VmId, priority: UpdatePriority, sent: u32) {
        self.order.insert((priority, vm.clone()));
        self.entries.insert(vm.clone(), (priority, sent));
    }

    /// Removes a VM and returns its entry.
    fn remove(&mut self, vm: &VmId) -> Option<(UpdatePriority, u32)> {
        let (priority, sent) = self.entries.remove(vm)?;
        self.order.remove(&(priority, vm.clone()));
        Some((priority, sent))
    }
}
