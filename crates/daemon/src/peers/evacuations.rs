//! Evacuations of failure domains: from the platform, and what VMs tell each other.

use std::collections::BTreeSet;
use std::rc::Rc;

use oleanderwind_policy::EvacuationRecord;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FailureDomainRevision;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::Revision;
use oleanderwind_wire::peer;
use oleanderwind_wire::peer::ExchangeMessage;
use tokio::sync::watch;

use crate::directory::ChangeSource;
use crate::peers::service::PeerService;

/// Number of peers to which a VM relays a change.
const RELAY_FANOUT: usize = 3;

/// Updates from the platform.
impl PeerService {
    /// Applies the platform's list of evacuations as of `revision`, see [`apply_list`].
    ///
    /// [`apply_list`]: oleanderwind_policy::EvacuationTable::apply_list
    pub(crate) fn apply_evacuation_list(
        self: &Rc<Self>,
        listed: &[FailureDomainRevision],
        revision: Revision,
        keeps_earlier_eras: bool,
    ) {
        let news =
            self.state.borrow_mut().evacuations.apply_list(listed, revision, keeps_earlier_eras);
        self.spread_evacuations(&news, ChangeSource::List, MembershipEngine::NOTIFY_FANOUT);
    }

    /// Applies changes of evacuations that a watch reports.
    pub(crate) fn apply_evacuations(self: &Rc<Self>, records: &[EvacuationRecord]) {
        let news = self.merge_evacuations(records);
        self.spread_evacuations(&news, ChangeSource::Watch, MembershipEngine::NOTIFY_FANOUT);
    }
}

/// What VMs tell each other.
impl PeerService {
    /// Adds what is known of each failure domain to a heartbeat.
    pub(crate) fn add_evacuations(&self, message: &mut ExchangeMessage) {
        let state = self.state.borrow();
        message.evacuations = state.evacuations.records().map(Into::into).collect();
    }

    /// Merges records from a peer and relays those that are new.
    pub(crate) fn handle_peer_evacuations(self: &Rc<Self>, raw: &[peer::EvacuationRecord]) {
        let mut records = Vec::with_capacity(raw.len());
        for raw in raw {
            match EvacuationRecord::try_from(raw) {
                Ok(record) => records.push(record),
                Err(findings) => {
                    log::warn!("evacuation that a peer reports is invalid: {findings}");
                }
            }
        }
        let news = self.merge_evacuations(&records);
        self.spread_evacuations(&news, ChangeSource::Peer, RELAY_FANOUT);
    }

    fn merge_evacuations(&self, records: &[EvacuationRecord]) -> Vec<EvacuationRecord> {
        let mut state = self.state.borrow_mut();
        let records = records.iter().filter(|record| state.evacuations.merge(record));
        records.cloned().collect()
    }

    /// Puts new records in force here and notifies `fanout` peers.
    fn spread_evacuations(
        self: &Rc<Self>,
        news: &[EvacuationRecord],
        source: ChangeSource,
        fanout: usize,
    ) {
        if news.is_empty() {
            return;
        }
        for record in news {
            log::info!(
                failure_domain = record.failure_domain.as_ref(),
                state = if record.is_in_force { "evacuated" } else { "taken back" },
                revision = record.revision,
                source = source.as_str();
                "evacuation of a failure domain"
            );
        }
        let in_force = self.state.borrow().evacuations.in_force();
        self.evacuated.send_replace(in_force);
        self.notify(fanout);
    }
}

/// Queries.
impl PeerService {
    /// Returns the evacuated failure domains.
    pub(crate) fn evacuated_domains(&self) -> BTreeSet<FailureDomainId> {
        self.evacuated.borrow().clone()
    }

    /// Subscribes to the evacuated failure domains.
    pub(crate) fn subscribe_evacuated(&self) -> watch::Receiver<BTreeSet<FailureDomainId>> {
        self.evacuated.subscribe()
    }
}
