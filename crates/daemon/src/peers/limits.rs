//! Rate limits of targets: what VMs tell each other, and permits for calls.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy as policy;
use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitRecord;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::PermitGrant;
use oleanderwind_policy::TargetSpec;
use oleanderwind_policy::VmId;
use oleanderwind_policy::rank_limit_holders;
use oleanderwind_wire::peer;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::PermitReply;
use oleanderwind_wire::peer::PermitRequest;
use tokio::sync::oneshot;

use crate::peers::service::PeerService;

/// Number of peers to which a VM relays a change.
const RELAY_FANOUT: usize = 3;
/// Time for which a VM treats a target as full whose holder it can't reach.
const UNREACHABLE_TIME: Duration = Duration::from_millis(250);
/// Minimum time between two probes of holders that do not answer.
const HOLDER_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Answer to a VM that asks for permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PermitAnswer {
    /// The permits that there are, with their delays.
    Granted(PermitGrant),
    /// The target has no limit any more.
    Unlimited,
}

/// What VMs tell each other.
impl PeerService {
    /// Merges what an answer of a target said of its limit, and notifies peers of a change; returns what changed.
    pub(crate) fn observe_limit(self: &Rc<Self>, record: &LimitRecord) -> LimitChange {
        let change = self.state.borrow_mut().limits.merge(record, Instant::now());
        if change != LimitChange::Unchanged {
            self.notify(MembershipEngine::NOTIFY_FANOUT);
        }
        change
    }

    /// Merges a limit that all VMs find out for themselves.
    pub(crate) fn note_limit(&self, record: &LimitRecord) {
        self.state.borrow_mut().limits.merge(record, Instant::now());
    }

    /// Returns the limits in force of the listed processes.
    pub(crate) fn limits_of(&self, specs: &[TargetSpec]) -> Vec<LimitRecord> {
        let state = self.state.borrow();
        let limit = |spec: &TargetSpec| state.limits.limit_in_force(&spec.target, spec.incarnation);
        specs.iter().filter_map(limit).cloned().collect()
    }

    /// Adds recent changes to a heartbeat.
    pub(crate) fn add_limits(&self, message: &mut ExchangeMessage) {
        let now = Instant::now();
        let records = self.state.borrow().limits.recent_records(now);
        message.limits = encode_records(&records, now);
    }

    /// Adds all limits in force to the reply to a VM that starts.
    pub(crate) fn add_limits_in_force(&self, message: &mut ExchangeMessage) {
        let now = Instant::now();
        let records = self.state.borrow().limits.limits_in_force();
        message.limits = encode_records(&records, now);
    }

    /// Merges records from a peer and relays those that change something.
    pub(crate) fn handle_peer_limits(self: &Rc<Self>, raw: &[peer::LimitRecord]) {
        let now = Instant::now();
        let mut has_change = false;
        for raw in raw {
            match raw.decode(now) {
                Ok(record) => has_change |= self.merge_limit(record),
                Err(findings) => {
                    log::warn!("rate limit that a peer reports is invalid: {findings}");
                }
            }
        }
        if has_change {
            self.notify(RELAY_FANOUT);
        }
    }

    /// Merges a record from a peer; returns whether it changes something.
    fn merge_limit(&self, record: LimitRecord) -> bool {
        let change = self.state.borrow_mut().limits.merge(&record, Instant::now());
        if change == LimitChange::Unchanged {
            return false;
        }
        // Fails if the fan-out service is not running, which then has no calls either.
        let _ = self.limit_sender.send((record, change));
        true
    }
}

/// Permits.
impl PeerService {
    /// Asks the holder of a target's limit for permits.
    pub(crate) async fn request_permits(
        self: &Rc<Self>,
        request: &policy::PermitRequest,
    ) -> PermitAnswer {
        let Some(record) = self.limit_in_force(request) else { return PermitAnswer::Unlimited };
        let holder = self.limit_holder(&record);
        let grant = match holder == self.settings.vm {
            true => self.issue_permits(&record, request.wanted),
            false => self.ask_holder(&holder, &record, request.wanted, false).await,
        };
        match self.limit_in_force(request) {
            Some(_) => PermitAnswer::Granted(grant),
            None => PermitAnswer::Unlimited,
        }
    }

    /// Handles a peer's request for permits. A VM that does not hold the limit passes it on to the one that does, once.
    pub(crate) fn handle_permit_request(
        self: &Rc<Self>,
        request: PermitRequest,
        reply: oneshot::Sender<PermitReply>,
    ) {
        let Some(record) = self.decode_permit_request(&request) else { return };
        let wanted = request.wanted.min(policy::PermitRequest::MAX_WANTED);
        let holder = self.limit_holder(&record);
        if holder == self.settings.vm {
            let grant = self.issue_permits(&record, wanted);
            // Fails if the peer has stopped waiting, which is not an error.
            let _ = reply.send(self.permit_reply(&record, &grant));
            return;
        }
        let peers = self.clone();
        actix_rt::spawn(async move {
            let grant = match request.is_relayed {
                true => unreachable_grant(),
                false => peers.ask_holder(&holder, &record, wanted, true).await,
            };
            let _ = reply.send(peers.permit_reply(&record, &grant));
        });
    }

    /// Merges the record of a request for permits, and returns what is known of the limit then.
    fn decode_permit_request(self: &Rc<Self>, request: &PermitRequest) -> Option<LimitRecord> {
        let raw = request.record.as_ref()?;
        let record = match raw.decode(Instant::now()) {
            Ok(record) => record,
            Err(findings) => {
                log::warn!("request for permits is invalid: {findings}");
                return None;
            }
        };
        if self.merge_limit(record.clone()) {
            self.notify(RELAY_FANOUT);
        }
        let known = self.state.borrow().limits.record(&record.target).cloned();
        Some(known.unwrap_or(record))
    }

    /// Returns the limit of a request's process, if it is in force.
    fn limit_in_force(&self, request: &policy::PermitRequest) -> Option<LimitRecord> {
        let state = self.state.borrow();
        state.limits.limit_in_force(&request.target, request.incarnation).cloned()
    }

    /// Returns the VM that issues the permits for a target, in this VM's view of the fleet.
    fn limit_holder(&self, record: &LimitRecord) -> VmId {
        let holders = rank_limit_holders(&record.target, &self.deciding_vms());
        holders
            .into_iter()
            .next()
            .unwrap_or_else(|| self.state.borrow().membership.own().vm.clone())
    }

    fn issue_permits(&self, record: &LimitRecord, wanted: u32) -> PermitGrant {
        let Some(rate) = record.rate else { return PermitGrant::default() };
        let reach = self.fleet_reach();
        let mut state = self.state.borrow_mut();
        let LimitRecord { target, incarnation, .. } = record;
        state.permits.issue(target, *incarnation, rate, wanted, reach, Instant::now())
    }

    /// Asks a peer for permits; there are none for a while if it does not answer.
    async fn ask_holder(
        self: &Rc<Self>,
        holder: &VmId,
        record: &LimitRecord,
        wanted: u32,
        is_relayed: bool,
    ) -> PermitGrant {
        let now = Instant::now();
        let request = PermitRequest {
            record: Some(peer::LimitRecord::encode(record, now)),
            wanted,
            is_relayed,
        };
        let reply = match self.peer_address(holder) {
            Some(address) => self.clients.permit(address, request).await,
            None => None,
        };
        let Some(reply) = reply else {
            self.probe_holder(holder);
            return unreachable_grant();
        };
        if let Some(Ok(known)) = reply.record.as_ref().map(|raw| raw.decode(Instant::now())) {
            self.merge_limit(known);
        }
        let time = |us: &u32| Duration::from_micros(u64::from(*us));
        PermitGrant {
            delays: reply.delays_us.iter().map(time).collect(),
            retry_after: time(&reply.retry_after_us),
        }
    }

    /// Sends a heartbeat to a holder that did not answer, so that another one takes its place soon if it is gone.
    fn probe_holder(self: &Rc<Self>, holder: &VmId) {
        let now = Instant::now();
        if self.holder_probed_at.get().is_some_and(|at| now < at + HOLDER_PROBE_INTERVAL) {
            return;
        }
        self.holder_probed_at.set(Some(now));
        log::info!(holder = holder.as_ref(); "holder of rate limits does not answer, it is probed");
        let action = {
            let mut state = self.state.borrow_mut();
            let summary = state.gossip.store().summary();
            state.membership.probe(holder, summary)
        };
        self.perform(action.into_iter().collect());
    }

    fn permit_reply(&self, record: &LimitRecord, grant: &PermitGrant) -> PermitReply {
        let now = Instant::now();
        let known = self.state.borrow().limits.record(&record.target).cloned();
        let us = |time: &Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        PermitReply {
            delays_us: grant.delays.iter().map(us).collect(),
            retry_after_us: us(&grant.retry_after),
            record: known.as_ref().map(|known| peer::LimitRecord::encode(known, now)),
        }
    }
}

fn encode_records(records: &[LimitRecord], now: Instant) -> Vec<peer::LimitRecord> {
    records.iter().map(|record| peer::LimitRecord::encode(record, now)).collect()
}

fn unreachable_grant() -> PermitGrant {
    PermitGrant { delays: Vec::new(), retry_after: UNREACHABLE_TIME }
}
