//! Heartbeats, probes and the calls that come in.

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

/// Sends heartbeats whenever they are due.
pub(crate) async fn send_heartbeats(peers: Rc<PeerService>) {
    loop {
        let next = peers.state.borrow().membership.next_tick();
        tokio::time::sleep_until(next.into()).await;
        peers.tick();
    }
}

/// Takes peers' calls one after the other.
pub(crate) async fn serve_calls(peers: Rc<PeerService>, mut calls: mpsc::Receiver<PeerCall>) {
    while let Some(call) = calls.recv().await {
        peers.serve(call);
    }
}

/// Going out.
impl PeerService {
    fn tick(self: &Rc<Self>) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let summary = state.spread.store().summary();
            state.membership.tick(summary, Instant::now())
        };
        if !self.directory.is_configured() {
            self.ask_seeds();
        }
        self.carry_out(actions);
        self.settle();
        self.measure();
    }

    /// Asks the peers that the settings name, whose names are not known yet.
    fn ask_seeds(self: &Rc<Self>) {
        for address in self.settings.seed_peers.clone() {
            let message = {
                let state = self.state.borrow();
                let summary = state.spread.store().summary();
                let sender = state.membership.own().clone();
                policy::ExchangeMessage { sender, members: Vec::new(), summary }
            };
            let peers = self.clone();
            actix_rt::spawn(async move {
                let message = peers.encode(&message);
                if let Some(reply) = peers.clients.exchange(address, message).await {
                    peers.reply_came(&reply);
                }
            });
        }
    }

    /// Carries out what membership wants done.
    pub(crate) fn carry_out(self: &Rc<Self>, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Exchange { vm, address, message } => {
                    let message = self.encode(&message);
                    actix_rt::spawn(exchange(self.clone(), vm, address, message));
                }
                MembershipAction::ProbeVia { address, vm, .. } => {
                    let peers = self.clone();
                    actix_rt::spawn(async move {
                        let answered = peers.clients.probe(address, &vm).await;
                        peers.state.borrow_mut().membership.handle_indirect_probe(&vm, answered);
                        peers.settle();
                    });
                }
            }
        }
    }

    /// A heartbeat with the departures of targets that are news.
    fn encode(&self, message: &policy::ExchangeMessage) -> ExchangeMessage {
        let records = self.state.borrow().drains.recent_records(Instant::now());
        let mut message = ExchangeMessage::from(message);
        message.drains = records.iter().map(Into::into).collect();
        message
    }

    /// Takes a reply in; says whether it could be read.
    fn reply_came(self: &Rc<Self>, reply: &ExchangeMessage) -> bool {
        let Ok(message) = policy::ExchangeMessage::try_from(reply) else { return false };
        self.state.borrow_mut().membership.handle_reply(&message);
        self.peer_heard(&message, reply);
        true
    }
}

async fn exchange(peers: Rc<PeerService>, vm: VmId, address: SocketAddr, message: ExchangeMessage) {
    let reply = peers.clients.exchange(address, message).await;
    if reply.is_some_and(|reply| peers.reply_came(&reply)) {
        return;
    }
    let actions = peers.state.borrow_mut().membership.handle_probe_failure(&vm);
    peers.carry_out(actions);
    peers.settle();
}

/// Coming in.
impl PeerService {
    fn serve(self: &Rc<Self>, call: PeerCall) {
        // A peer that gave up waiting is no error here.
        match call {
            PeerCall::Exchange { message, reply } => {
                if let Some(answer) = self.exchange_came(&message) {
                    let _ = reply.send(answer);
                }
            }
            PeerCall::Probe { vm, reply } => self.probe_asked(vm.as_str().into(), reply),
            PeerCall::Borrow(ask) => {
                let _ = self.borrow_asks.send(ask);
            }
            PeerCall::Push { objects, reply } => {
                self.push_came(&objects);
                let _ = reply.send(PushObjectsReply {});
            }
            PeerCall::Fetch { request, reply } => {
                let state = self.state.borrow();
                let delta = state.spread.handle_pull(request.after_revision, request.whole);
                let _ = reply.send((&delta).into());
            }
        }
    }

    fn exchange_came(self: &Rc<Self>, raw: &ExchangeMessage) -> Option<ExchangeMessage> {
        let message = policy::ExchangeMessage::try_from(raw).ok()?;
        let answer = {
            let mut state = self.state.borrow_mut();
            let summary = state.spread.store().summary();
            state.membership.handle_heartbeat(&message, summary, Instant::now())
        };
        let answer = self.encode(&answer);
        self.peer_heard(&message, raw);
        Some(answer)
    }

    /// What every heartbeat and every reply to one brings.
    fn peer_heard(self: &Rc<Self>, message: &policy::ExchangeMessage, raw: &ExchangeMessage) {
        let now = Instant::now();
        let action = {
            let mut state = self.state.borrow_mut();
            state.contact.record_contact(now);
            if message.sender.phase == MemberPhase::Serving {
                state.gate.record_peer(&message.sender.vm, message.summary.complete_revision);
            }
            let is_near = message.sender.failure_domain == self.settings.failure_domain;
            state.spread.handle_summary(&message.sender.vm, is_near, message.summary, now)
        };
        self.drains_came(&raw.drains);
        self.spread_out(action);
        self.settle();
    }

    /// Tries a VM for a peer; the VM itself answers at once.
    fn probe_asked(self: &Rc<Self>, vm: VmId, reply: oneshot::Sender<ProbeReply>) {
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
