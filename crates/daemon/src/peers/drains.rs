//! Gossip of drain notices among VMs.

use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy as policy;
use oleanderwind_policy::DrainTable;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::TargetId;
use oleanderwind_wire::peer::DrainRecord;

use crate::peers::service::PeerService;
use crate::time::epoch_milliseconds;

impl PeerService {
    /// Handles a drain notice that this VM received from the target; notifies peers at once.
    ///
    /// `incarnation` is the process that leaves, or 0 if the notice does not tell.
    pub(crate) fn handle_target_drain(self: &Rc<Self>, target: &TargetId, incarnation: u64) {
        let sequence = epoch_milliseconds();
        let record = policy::DrainRecord { target: target.clone(), incarnation, sequence };
        if self.state.borrow_mut().drains.observe(&record, Instant::now()) {
            log::info!("target {target} announced its departure");
            self.notify(MembershipEngine::NOTIFY_FANOUT);
        }
    }

    /// Handles drain records from a peer and relays those that are new.
    pub(crate) fn handle_peer_drains(self: &Rc<Self>, raw: &[DrainRecord]) {
        let now = Instant::now();
        let mut has_new = false;
        for record in raw.iter().map(policy::DrainRecord::from) {
            if !self.state.borrow_mut().drains.observe(&record, now) {
                continue;
            }
            has_new = true;
            log::info!("target {} announced its departure to a peer", record.target);
            // Fails if the fan-out service is not running; it also sees drains in the directory.
            let _ = self.drain_sender.send(record);
        }
        if has_new {
            self.notify(DrainTable::RELAY_FANOUT);
        }
    }

    /// Sends unscheduled heartbeats to `count` peers.
    pub(crate) fn notify(self: &Rc<Self>, count: usize) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let summary = state.gossip.store().summary();
            state.membership.notify(count, summary)
        };
        self.perform(actions);
    }
}
