//! Heartbeats, failure detection and the gossip of member records.

mod watches;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::ExchangeMessage;
use crate::MemberPhase;
use crate::MemberRecord;
use crate::MemberState;
use crate::MemberTable;
use crate::MembershipSettings;
use crate::ObjectSummary;
use crate::PlatformVm;
use crate::ProbePlan;
use crate::VmId;
use crate::membership::update_queue::UpdateQueue;

/// Number of recent heartbeats whose results decide whether a VM may suspect another.
const HEARTBEAT_WINDOW: u32 = 8;

/// Longest delay of the next heartbeat after one was received, in periods.
const MAX_HEARTBEAT_DELAY_PERIODS: u32 = 4;

/// A network call for the driver to make.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat and report the reply or the failure.
    Exchange {
        /// The peer.
        vm: VmId,
        /// The peer's address.
        address: SocketAddr,
        /// The heartbeat.
        message: ExchangeMessage,
    },
    /// Ask `via` to probe `vm` and report whether `vm` answered.
    ProbeVia {
        /// The peer that makes the indirect probe.
        via: VmId,
        /// The address of `via`.
        address: SocketAddr,
        /// The VM that did not answer the heartbeat.
        vm: VmId,
    },
}

/// State of the membership protocol on one VM.
#[derive(Clone, Debug)]
pub struct MembershipEngine {
    settings: MembershipSettings,
    own: MemberRecord,
    table: MemberTable,
    updates: UpdateQueue,
    /// Peers still due for a heartbeat in the current round, taken from the end.
    heartbeat_round: Vec<VmId>,
    /// Indirect probes in flight, by the VM that they probe.
    pending_indirect_probes: BTreeMap<VmId, usize>,
    /// Results of the last [`HEARTBEAT_WINDOW`] heartbeats, newest in the lowest bit; 1 is a
    /// failure.
    heartbeat_failures: u8,
    next_heartbeat_at: Instant,
    rng: Pcg64Mcg,
}

impl MembershipEngine {
    /// Creates an engine that knows only the VM's own record.
    ///
    /// The first heartbeat is due at a random time within one period.
    pub fn new(settings: MembershipSettings, own: MemberRecord, now: Instant) -> MembershipEngine {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let delay = settings.period.mul_f64(rng.random());
        MembershipEngine {
            settings,
            own,
            table: MemberTable::default(),
            updates: UpdateQueue::default(),
            heartbeat_round: Vec::new(),
            pending_indirect_probes: BTreeMap::new(),
            heartbeat_failures: 0,
            next_heartbeat_at: now + delay,
            rng,
        }
    }

    /// Returns this VM's view of the others.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the VM's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the time at which [`MembershipEngine::tick`] is due.
    pub fn next_tick(&self) -> Instant {
        self.next_heartbeat_at
    }

    /// Returns up to `count` distinct random serving peers; suspect ones if none is serving.
    pub fn sample_peers(&mut self, count: usize) -> Vec<VmId> {
        let mut peers = self.vms_by_state(|state| state == MemberState::Serving);
        if peers.is_empty() {
            peers = self.vms_by_state(|state| state == MemberState::Suspect);
        }
        peers.sample(&mut self.rng, count).cloned().collect()
    }

    /// Returns up to `count` serving peers of this VM's failure domain to gossip with.
    ///
    /// The first is the successor by name, in a ring, so that every VM of the domain is first for
    /// exactly one other if their views agree. The others are random.
    pub fn sample_domain_peers(&mut self, count: usize) -> Vec<VmId> {
        let mut peers: Vec<VmId> = self.domain_peers().map(|record| record.vm.clone()).collect();
        let after = peers.iter().filter(|vm| **vm > self.own.vm).min();
        let Some(next) = after.or(peers.iter().min()).cloned() else { return peers };
        peers.retain(|vm| *vm != next);
        let others = peers.sample(&mut self.rng, count.saturating_sub(1));
        std::iter::once(next.clone()).chain(others.cloned()).take(count).collect()
    }

    /// Returns the other serving VMs of this VM's failure domain.
    fn domain_peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.serving_members().filter(|record| record.failure_domain == self.own.failure_domain)
    }

    /// Returns the other serving VMs.
    fn serving_members(&self) -> impl Iterator<Item = &MemberRecord> {
        let serving = self.table.iter().filter(|(_, state)| *state == MemberState::Serving);
        serving.map(|(record, _)| record)
    }

    /// Returns the other VMs that serve.
    pub fn serving_vms(&self) -> Vec<VmId> {
        self.vms_by_state(|state| state == MemberState::Serving)
    }

    /// Returns the members whose state satisfies `predicate`.
    fn vms_by_state(&self, predicate: impl Fn(MemberState) -> bool) -> Vec<VmId> {
        let members = self.table.iter().filter(|(_, state)| predicate(*state));
        members.map(|(record, _)| record.vm.clone()).collect()
    }
}

/// This VM's record and the platform's list.
impl MembershipEngine {
    /// Changes this VM's phase and queues its record for gossip.
    pub fn set_phase(&mut self, phase: MemberPhase) {
        self.own.phase = phase;
        self.republish_own();
    }

    /// Sets the address at which callers reach this VM; call it before the first heartbeat.
    pub fn set_caller_address(&mut self, address: SocketAddr) {
        self.own.caller_address = address;
    }

    /// Raises the sequence of this VM's record, so that it supersedes every copy held by others, and
    /// queues it for gossip.
    fn republish_own(&mut self) {
        self.own.sequence += 1;
        self.updates.push(&self.own);
    }

    /// Applies the platform's list of VMs.
    pub fn apply_platform_list(&mut self, list: &[PlatformVm]) {
        self.table.apply_platform_list(list.iter().filter(|listed| listed.vm != self.own.vm));
    }
}

/// Updates that can't wait for the next heartbeat.
impl MembershipEngine {
    /// Number of peers notified of an urgent update at once; regular heartbeats carry it to the rest.
    pub const NOTIFY_FANOUT: usize = 16;

    /// Changes this VM's phase and notifies [`MembershipEngine::NOTIFY_FANOUT`] peers at once.
    pub fn announce(
        &mut self,
        phase: MemberPhase,
        summary: ObjectSummary,
    ) -> Vec<MembershipAction> {
        self.set_phase(phase);
        self.notify(Self::NOTIFY_FANOUT, summary)
    }

    /// Returns an unscheduled heartbeat to a VM that seems not to answer.
    pub fn probe(&mut self, vm: &VmId, summary: ObjectSummary) -> Option<MembershipAction> {
        self.build_heartbeat(vm.clone(), summary)
    }

    /// Returns unscheduled heartbeats to up to `count` random peers.
    pub fn notify(&mut self, count: usize, summary: ObjectSummary) -> Vec<MembershipAction> {
        let mut peers = self.vms_by_state(is_heartbeat_target);
        peers.shuffle(&mut self.rng);
        peers.truncate(count);
        peers.into_iter().filter_map(|vm| self.build_heartbeat(vm, summary)).collect()
    }
}

/// Heartbeats.
impl MembershipEngine {
    /// Returns the heartbeats that are due at `now`.
    pub fn tick(&mut self, summary: ObjectSummary, now: Instant) -> Vec<MembershipAction> {
        if now < self.next_heartbeat_at {
            return Vec::new();
        }
        let delay = self.jittered_period();
        let (delay, peers) = match self.settings.plan {
            ProbePlan::FullMesh => (delay, self.vms_by_state(is_heartbeat_target)),
            ProbePlan::RoundRobin => (delay / 2, self.next_in_round().into_iter().collect()),
        };
        self.next_heartbeat_at = now + delay;
        peers.into_iter().filter_map(|vm| self.build_heartbeat(vm, summary)).collect()
    }

    /// Applies a peer's heartbeat and returns the reply.
    pub fn handle_heartbeat(
        &mut self,
        message: &ExchangeMessage,
        summary: ObjectSummary,
        now: Instant,
    ) -> ExchangeMessage {
        self.apply_message(message);
        if self.settings.plan == ProbePlan::RoundRobin {
            // An exchange informs both sides, whoever started it. Each heartbeat sent or received
            // delays the next one by half a period, so a VM takes part in about two exchanges per
            // period, unless more VMs than that pick it.
            let latest = now + self.settings.period * MAX_HEARTBEAT_DELAY_PERIODS;
            self.next_heartbeat_at =
                (self.next_heartbeat_at + self.settings.period / 2).min(latest);
        }
        self.build_message(&message.sender.vm, summary)
    }

    /// Applies the reply to a heartbeat.
    pub fn handle_reply(&mut self, message: &ExchangeMessage) {
        self.record_heartbeat_result(false);
        self.apply_message(message);
    }

    /// Applies the records of a message, the sender's own first.
    fn apply_message(&mut self, message: &ExchangeMessage) {
        self.apply_record(&message.sender);
        for record in &message.members {
            self.apply_record(record);
        }
    }

    /// Applies one record and queues it for gossip if it was newer; refutes a suspicion of this VM.
    fn apply_record(&mut self, record: &MemberRecord) {
        if record.vm != self.own.vm {
            if self.table.apply(record) {
                self.updates.push(record);
            }
            return;
        }
        let is_later = record.incarnation == self.own.incarnation
            && (record.sequence > self.own.sequence
                || record.sequence == self.own.sequence && record.suspected);
        if is_later {
            self.own.sequence = record.sequence;
            self.republish_own();
        }
    }

    /// Builds a heartbeat to `vm`; returns `None` if the table has no record of it.
    fn build_heartbeat(&mut self, vm: VmId, summary: ObjectSummary) -> Option<MembershipAction> {
        let address = self.table.record(&vm)?.peer_address;
        let message = self.build_message(&vm, summary);
        Some(MembershipAction::Exchange { vm, address, message })
    }

    /// Builds the message for `receiver`.
    ///
    /// A suspicion of the receiver goes first, so that it can refute it, then pending updates.
    /// Counts the included updates as sent.
    fn build_message(&mut self, receiver: &VmId, summary: ObjectSummary) -> ExchangeMessage {
        self.own.revision = summary.highest_revision;
        let mut members = Vec::new();
        let mut bytes = 0;
        let limit = self.retransmit_limit();
        let suspected = self.table.record(receiver).filter(|record| record.suspected).cloned();
        let updates: Vec<MemberRecord> =
            suspected.into_iter().chain(self.pending_updates(receiver)).collect();
        for record in updates {
            bytes += record.max_encoded_len();
            if bytes > self.settings.max_member_bytes {
                break;
            }
            self.updates.record_sent(&record.vm, limit);
            members.push(record);
        }
        if self.own.sequence > 0 {
            self.updates.record_sent(&self.own.vm.clone(), limit);
        }
        ExchangeMessage { sender: self.own.clone(), members, summary }
    }

    /// Returns the next records to gossip, a few more than fit in a message.
    fn pending_updates(&self, receiver: &VmId) -> Vec<MemberRecord> {
        let others = self.updates.iter().filter(|vm| **vm != self.own.vm && *vm != receiver);
        let count = self.settings.max_member_bytes / 64 + 1;
        others.take(count).filter_map(|vm| self.table.record(vm)).cloned().collect()
    }

    /// Returns how many times an update is sent.
    fn retransmit_limit(&self) -> u32 {
        let fleet = self.table.len() + 2;
        self.settings.retransmit_factor * (usize::BITS - fleet.leading_zeros())
    }

    /// Returns the next peer to send a heartbeat to; starts a new shuffled round when the last one
    /// is used up.
    fn next_in_round(&mut self) -> Option<VmId> {
        loop {
            if self.heartbeat_round.is_empty() {
                self.heartbeat_round = self.vms_by_state(is_heartbeat_target);
                self.heartbeat_round.shuffle(&mut self.rng);
            }
            let vm = self.heartbeat_round.pop()?;
            if is_heartbeat_target(self.table.state(&vm)) {
                return Some(vm);
            }
        }
    }

    /// Returns the heartbeat period with a random jitter of up to a quarter either way.
    fn jittered_period(&mut self) -> Duration {
        self.settings.period.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

/// Failure detection.
impl MembershipEngine {
    /// Handles a heartbeat without a reply: other peers probe the VM before it is suspected.
    ///
    /// If there is no other peer, the VM is suspected at once.
    pub fn handle_heartbeat_failure(&mut self, vm: &VmId) -> Vec<MembershipAction> {
        self.record_heartbeat_result(true);
        let mut helpers = self.sample_peers(self.settings.indirect_probes + 1);
        helpers.retain(|helper| helper != vm);
        helpers.truncate(self.settings.indirect_probes);
        if helpers.is_empty() {
            self.suspect(vm);
            return Vec::new();
        }
        self.pending_indirect_probes.insert(vm.clone(), helpers.len());
        let probe_via = |via: VmId| {
            let address = self.table.record(&via)?.peer_address;
            Some(MembershipAction::ProbeVia { via, address, vm: vm.clone() })
        };
        helpers.into_iter().filter_map(probe_via).collect()
    }

    /// Handles the result of one indirect probe of `vm`; a helper that does not reply counts as a
    /// failed probe.
    pub fn handle_indirect_probe(&mut self, vm: &VmId, answered: bool) {
        let Some(remaining) = self.pending_indirect_probes.get_mut(vm) else { return };
        *remaining -= 1;
        let is_last = *remaining == 0;
        if answered || is_last {
            self.pending_indirect_probes.remove(vm);
        }
        if !answered && is_last {
            self.suspect(vm);
        }
    }

    /// Suspects a VM, unless so many heartbeats failed that this VM seems to be the isolated one.
    fn suspect(&mut self, vm: &VmId) {
        let failed = self.heartbeat_failures.count_ones() * 1_000 / HEARTBEAT_WINDOW;
        if failed >= self.settings.suspicion_cutoff_permille || !self.table.suspect(vm) {
            return;
        }
        if let Some(record) = self.table.record(vm) {
            self.updates.push(record);
        }
    }

    /// Records the result of a heartbeat.
    fn record_heartbeat_result(&mut self, failed: bool) {
        self.heartbeat_failures = self.heartbeat_failures << 1 | u8::from(failed);
    }
}

/// Returns whether heartbeats are sent to a VM in this state.
fn is_heartbeat_target(state: MemberState) -> bool {
    matches!(state, MemberState::Serving | MemberState::Suspect | MemberState::Leaving)
}
