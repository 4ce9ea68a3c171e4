//! Heartbeats, probes and dispatch of incoming peer calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy as policy;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MembershipAction;
use oleanderwind_policy::VmId;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::ProbeReply;
use oleanderwind_wire::peer::PushObjectsReply;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::peers::call::PeerCall;
use crate::peers::service::PeerService;

/// Sends heartbeats when they are due; runs until it is aborted.
pub(crate) async fn send_heartbeats(peers: Rc<PeerService>) {
    loop {
        let next = peers.state.borrow().membership.next_tick();
        tokio::time::sleep_until(next.into()).await;
        peers.tick();
    }
}

/// Handles peers' calls in order of arrival until the listener stops.
pub(crate) async fn serve_calls(peers: Rc<PeerService>, mut calls: mpsc::Receiver<PeerCall>) {
    while let Some(call) = calls.recv().await {
        peers.serve(call);
    }
}

/// Outgoing calls.
impl PeerService {
    /// Sends the heartbeats that are due and updates derived state.
    fn tick(self: &Rc<Self>) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let summary = state.gossip.store().summary();
            state.membership.tick(summary, Instant::now())
        };
        if !self.directory.is_configured() {
            self.contact_seeds();
        }
        self.perform(actions);
        self.refresh_derived_state();
        self.update_gauges();
    }

    /// Sends heartbeats to the seed addresses of the settings, as no peer may be known yet.
    fn contact_seeds(self: &Rc<Self>) {
        for address in self.settings.seed_peers.clone() {
            let message = self.own_message();
            let peers = self.clone();
            actix_rt::spawn(async move {
                if let Some(reply) = peers.clients.exchange(address, message).await {
                    peers.handle_reply(&reply);
                }
            });
        }
    }

    /// Performs actions of the membership engine.
    pub(crate) fn perform(self: &Rc<Self>, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Exchange { vm, address, message } => {
                    let message = self.encode(&message, None);
                    actix_rt::spawn(exchange(self.clone(), vm, address, message));
                }
                MembershipAction::ProbeVia { address, vm, .. } => {
                    let peers = self.clone();
                    actix_rt::spawn(async move {
                        let answered = peers.clients.probe(address, &vm).await;
                        peers.state.borrow_mut().membership.handle_indirect_probe(&vm, answered);
                        peers.refresh_derived_state();
                    });
                }
            }
        }
    }

    /// Returns an unscheduled heartbeat without records of other VMs.
    pub(crate) fn own_message(&self) -> ExchangeMessage {
        let message = {
            let state = self.state.borrow();
            let summary = state.gossip.store().summary();
            let sender = state.membership.own().clone();
            policy::ExchangeMessage { sender, members: Vec::new(), summary }
        };
        self.encode(&message, None)
    }

    /// Encodes a heartbeat, or the reply to one with `peer_digest` of suspect work, and adds the recent drain
    /// records and what is news of suspect work.
    fn encode(
        &self,
        message: &policy::ExchangeMessage,
        peer_digest: Option<u64>,
    ) -> ExchangeMessage {
        let records = self.state.borrow().drains.recent_records(Instant::now());
        let mut message = ExchangeMessage::from(message);
        message.drains = records.iter().map(Into::into).collect();
        self.add_works(&mut message, peer_digest);
        self.add_limits(&mut message);
        self.add_evacuations(&mut message);
        message
    }

    /// Handles the reply to a heartbeat; returns whether it was valid.
    fn handle_reply(self: &Rc<Self>, reply: &ExchangeMessage) -> bool {
        let Ok(message) = policy::ExchangeMessage::try_from(reply) else { return false };
        self.state.borrow_mut().membership.handle_reply(&message);
        self.handle_message(&message, reply);
        true
    }
}

/// Exchanges heartbeats with a VM; a missing or invalid reply counts as a failed probe.
async fn exchange(peers: Rc<PeerService>, vm: VmId, address: SocketAddr, message: ExchangeMessage) {
    let reply = peers.clients.exchange(address, message).await;
    if reply.is_some_and(|reply| peers.handle_reply(&reply)) {
        return;
    }
    let actions = peers.state.borrow_mut().membership.handle_heartbeat_failure(&vm);
    peers.perform(actions);
    peers.refresh_derived_state();
}

/// Incoming calls.
impl PeerService {
    fn serve(self: &Rc<Self>, call: PeerCall) {
        // A reply can't be sent if the peer has stopped waiting, which is not an error.
        match call {
            PeerCall::Exchange { message, reply } => {
                if let Some(response) = self.handle_exchange(&message) {
                    let _ = reply.send(response);
                }
            }
            PeerCall::Probe { vm, reply } => self.handle_probe(vm.as_str().into(), reply),
            PeerCall::Borrow(request) => {
                let _ = self.loan_request_sender.send(request);
            }
            PeerCall::Push { objects, reply } => {
                self.handle_push(&objects);
                let _ = reply.send(PushObjectsReply {});
            }
            PeerCall::Trial { request, reply } => {
                if let Some(answer) = self.handle_trial(&request) {
                    let _ = reply.send(answer);
                }
            }
            PeerCall::Permit { request, reply } => self.handle_permit_request(request, reply),
            PeerCall::Quota { request, reply } => self.handle_quota_request(request, reply),
            PeerCall::Fetch { request, reply } => {
                let state = self.state.borrow();
                let delta = state.gossip.handle_pull(request.after_revision, request.whole);
                let _ = reply.send((&delta).into());
            }
        }
    }

    /// Handles a heartbeat and returns the reply; returns `None` if the message is invalid.
    fn handle_exchange(self: &Rc<Self>, raw: &ExchangeMessage) -> Option<ExchangeMessage> {
        let message = policy::ExchangeMessage::try_from(raw).ok()?;
        let reply = {
            let mut state = self.state.borrow_mut();
            let summary = state.gossip.store().summary();
            state.membership.handle_heartbeat(&message, summary, Instant::now())
        };
        let mut reply = self.encode(&reply, Some(raw.work_digest));
        if message.sender.phase != MemberPhase::Serving {
            self.add_limits_in_force(&mut reply);
        }
        self.handle_message(&message, raw);
        Some(reply)
    }

    /// Handles the contents of a heartbeat or of a reply to one, apart from the member records.
    fn handle_message(self: &Rc<Self>, message: &policy::ExchangeMessage, raw: &ExchangeMessage) {
        let now = Instant::now();
        // Before the summary, which may open the gate of a VM that starts.
        self.handle_peer_evacuations(&raw.evacuations);
        let action = {
            let mut state = self.state.borrow_mut();
            state.contact.record_contact(now);
            state.news.record_peer(now);
            if message.sender.phase == MemberPhase::Serving {
                state.readiness.record_peer(&message.sender.vm, message.summary.complete_revision);
            }
            let same_domain = message.sender.failure_domain == self.settings.failure_domain;
            state.gossip.handle_summary(&message.sender.vm, same_domain, message.summary, now)
        };
        self.handle_peer_drains(&raw.drains);
        self.handle_peer_works(&raw.works);
        self.handle_peer_limits(&raw.limits);
        self.perform_gossip_actions(action);
        self.chase_changes();
        self.refresh_derived_state();
    }

    /// Probes a VM on behalf of a peer; a probe for this VM itself is answered at once.
    fn handle_probe(self: &Rc<Self>, vm: VmId, reply: oneshot::Sender<ProbeReply>) {
        if vm == self.settings.vm {
            let _ = reply.send(ProbeReply { answered: true });
            return;
        }
        let address = self.peer_address(&vm);
        let peers = self.clone();
        actix_rt::spawn(async move {
            let answered = match address {
                Some(address) => peers.clients.probe(address, &vm).await,
                None => false,
            };
            let _ = reply.send(ProbeReply { answered });
        });
    }
}
