//! Departures of targets, told among the VMs.

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
    /// A target told this VM that it is leaving: peers are told at once.
    pub(crate) fn handle_target_drain(self: &Rc<Self>, target: &TargetId) {
        let record = policy::DrainRecord { target: target.clone(), sequence: epoch_milliseconds() };
        if self.state.borrow_mut().drains.observe(&record, Instant::now()) {
            log::info!("target {target} is leaving by its own sign");
            self.notify(MembershipEngine::NOTIFY_FANOUT);
        }
    }

    /// Takes peers' records in and passes on what is news.
    pub(crate) fn drains_came(self: &Rc<Self>, raw: &[DrainRecord]) {
        let now = Instant::now();
        let mut is_news = false;
        for record in raw.iter().map(policy::DrainRecord::from) {
            if !self.state.borrow_mut().drains.observe(&record, now) {
                continue;
            }
            is_news = true;
            log::info!("target {} is leaving by a peer's word", record.target);
            // Nobody listens before the fanout runs, and then the directory says it too.
            let _ = self.drain_news.send(record.target);
        }
        if is_news {
            self.notify(DrainTable::RELAY_FANOUT);
        }
    }

    fn notify(self: &Rc<Self>, count: usize) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let summary = state.spread.store().summary();
            state.membership.notify(count, summary)
        };
        self.carry_out(actions);
    }
}
