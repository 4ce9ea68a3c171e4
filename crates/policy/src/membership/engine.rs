//! Probing, suspicion and the passing-on of records.

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
use crate::most_capable;
use crate::watch_holders;

/// Probes that a VM looks back on before it suspects another.
const DOUBT_WINDOW: u32 = 8;

/// Longest gap between two heartbeats of a VM, in periods, however many it receives.
const LONGEST_GAP: u32 = 4;

/// One thing for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat; report the reply or its absence.
    Exchange {
        /// The peer.
        vm: VmId,
        /// Where it is.
        address: SocketAddr,
        /// The heartbeat.
        message: ExchangeMessage,
    },
    /// Ask `via` to try `vm`; report whether it answered.
    ProbeVia {
        /// The peer to ask.
        via: VmId,
        /// Where the asked peer is.
        address: SocketAddr,
        /// The VM that did not answer.
        vm: VmId,
    },
}

/// One VM's part in membership.
#[derive(Clone, Debug)]
pub struct MembershipEngine {
    settings: MembershipSettings,
    own: MemberRecord,
    table: MemberTable,
    updates: UpdateQueue,
    round: Vec<VmId>,
    /// Indirect probes that are still out, by the VM that they are for.
    pending: BTreeMap<VmId, usize>,
    /// The last probes, newest in the lowest bit, 1 for a failed one.
    failures: u8,
    next_probe: Instant,
    generator: Pcg64Mcg,
}

impl MembershipEngine {
    /// Starts with the VM's own record; the first heartbeat goes out within a period.
    pub fn new(settings: MembershipSettings, own: MemberRecord, now: Instant) -> MembershipEngine {
        let mut generator = Pcg64Mcg::seed_from_u64(settings.seed);
        let delay = settings.period.mul_f64(generator.random());
        MembershipEngine {
            settings,
            own,
            table: MemberTable::default(),
            updates: UpdateQueue::default(),
            round: Vec::new(),
            pending: BTreeMap::new(),
            failures: 0,
            next_probe: now + delay,
            generator,
        }
    }

    /// The view.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The VM's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// When [`MembershipEngine::tick`] has work to do.
    pub fn next_tick(&self) -> Instant {
        self.next_probe
    }

    /// Up to `count` different peers to talk to, serving ones as long as there are any.
    pub fn sample_peers(&mut self, count: usize) -> Vec<VmId> {
        let mut peers = self.names(|standing| standing == MemberState::Serving);
        if peers.is_empty() {
            peers = self.names(|standing| standing == MemberState::Suspect);
        }
        peers.sample(&mut self.generator, count).cloned().collect()
    }

    /// Up to `count` serving peers of the own failure domain to pass news on to: the next by name,
    /// so that each is the next of one, and others at random.
    pub fn sample_domain_peers(&mut self, count: usize) -> Vec<VmId> {
        let mut neighbours: Vec<VmId> = self.neighbours().map(|record| record.vm.clone()).collect();
        let after = neighbours.iter().filter(|vm| **vm > self.own.vm).min();
        let Some(next) = after.or(neighbours.iter().min()).cloned() else { return neighbours };
        neighbours.retain(|vm| *vm != next);
        let others = neighbours.sample(&mut self.generator, count.saturating_sub(1));
        std::iter::once(next.clone()).chain(others.cloned()).take(count).collect()
    }

    /// Whether the own VM should hold the platform's watches: what a holder hears it passes on,
    /// which takes processor and link, so that the most capable do.
    pub fn is_watch_holder(&self) -> bool {
        let vms: Vec<&MemberRecord> = std::iter::once(&self.own).chain(self.neighbours()).collect();
        let capable = most_capable(&vms).into_iter();
        let capable: Vec<VmId> = capable.map(|record| record.vm.clone()).collect();
        watch_holders(&self.own.failure_domain, &capable).contains(&self.own.vm)
    }

    /// Other VMs of the own failure domain that serve.
    fn neighbours(&self) -> impl Iterator<Item = &MemberRecord> {
        let serving = self.table.iter().filter(|(record, standing)| {
            *standing == MemberState::Serving && record.failure_domain == self.own.failure_domain
        });
        serving.map(|(record, _)| record)
    }

    /// Names of the members whose standing is wanted.
    fn names(&self, wanted: impl Fn(MemberState) -> bool) -> Vec<VmId> {
        let wanted = self.table.iter().filter(|(_, standing)| wanted(*standing));
        wanted.map(|(record, _)| record.vm.clone()).collect()
    }
}

/// Own state.
impl MembershipEngine {
    /// Says something new of the own VM.
    pub fn set_phase(&mut self, phase: MemberPhase) {
        self.own.phase = phase;
        self.restate();
    }

    /// Says where callers reach the own VM; call it before the first heartbeat.
    pub fn set_caller_address(&mut self, address: SocketAddr) {
        self.own.caller_address = address;
    }

    /// Makes the own record outrank every record that others hold of it.
    fn restate(&mut self) {
        self.own.sequence += 1;
        self.updates.push(&self.own);
    }

    /// Takes the platform's list in.
    pub fn apply_platform_list(&mut self, list: &[PlatformVm]) {
        self.table.apply_platform_list(list.iter().filter(|listed| listed.vm != self.own.vm));
    }
}

/// Notices that can't wait for the next heartbeat.
impl MembershipEngine {
    /// Peers told at once of what can't wait; heartbeats tell the rest of a larger fleet.
    pub const NOTIFY_FANOUT: usize = 16;

    /// Says something new of the own VM, at once to [`MembershipEngine::NOTIFY_FANOUT`] peers.
    pub fn announce(
        &mut self,
        phase: MemberPhase,
        summary: ObjectSummary,
    ) -> Vec<MembershipAction> {
        self.set_phase(phase);
        self.notify(Self::NOTIFY_FANOUT, summary)
    }

    /// A heartbeat out of turn to up to `count` random peers.
    pub fn notify(&mut self, count: usize, summary: ObjectSummary) -> Vec<MembershipAction> {
        let mut peers = self.names(can_answer);
        peers.shuffle(&mut self.generator);
        peers.truncate(count);
        peers.into_iter().filter_map(|vm| self.exchange(vm, summary)).collect()
    }
}

/// Heartbeats.
impl MembershipEngine {
    /// Sends the heartbeats that are due.
    pub fn tick(&mut self, summary: ObjectSummary, now: Instant) -> Vec<MembershipAction> {
        if now < self.next_probe {
            return Vec::new();
        }
        let gap = self.jittered_period();
        let (gap, peers) = match self.settings.plan {
            ProbePlan::FullMesh => (gap, self.names(can_answer)),
            ProbePlan::RoundRobin => (gap / 2, self.next_in_round().into_iter().collect()),
        };
        self.next_probe = now + gap;
        peers.into_iter().filter_map(|vm| self.exchange(vm, summary)).collect()
    }

    /// Takes a heartbeat in; the result is the reply.
    pub fn handle_heartbeat(
        &mut self,
        message: &ExchangeMessage,
        summary: ObjectSummary,
        now: Instant,
    ) -> ExchangeMessage {
        self.take_in(message);
        if self.settings.plan == ProbePlan::RoundRobin {
            // An exchange is worth the same whoever began it: half a gap each keeps their sum
            // at two a period even for the VM that most others happen to choose.
            let latest = now + self.settings.period * LONGEST_GAP;
            self.next_probe = (self.next_probe + self.settings.period / 2).min(latest);
        }
        self.message(&message.sender.vm, summary)
    }

    /// Takes the reply to a heartbeat in.
    pub fn handle_reply(&mut self, message: &ExchangeMessage) {
        self.note_probe(false);
        self.take_in(message);
    }

    /// Takes in what a peer said; the peer's own word is proof that it lives.
    fn take_in(&mut self, message: &ExchangeMessage) {
        self.apply(&message.sender);
        for record in &message.members {
            self.apply(record);
        }
    }

    /// Takes one record in and passes it on if it was news; a suspicion of the own VM is denied.
    fn apply(&mut self, record: &MemberRecord) {
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
            self.restate();
        }
    }

    /// A heartbeat to `vm`.
    fn exchange(&mut self, vm: VmId, summary: ObjectSummary) -> Option<MembershipAction> {
        let address = self.table.record(&vm)?.peer_address;
        let message = self.message(&vm, summary);
        Some(MembershipAction::Exchange { vm, address, message })
    }

    /// What to tell `receiver`: its own suspicion first, then news.
    fn message(&mut self, receiver: &VmId, summary: ObjectSummary) -> ExchangeMessage {
        self.own.revision = summary.highest_revision;
        let mut members = Vec::new();
        let mut bytes = 0;
        let limit = self.repeat_limit();
        let suspected = self.table.record(receiver).filter(|record| record.suspected).cloned();
        let news: Vec<MemberRecord> = suspected.into_iter().chain(self.news(receiver)).collect();
        for record in news {
            bytes += record.max_encoded_len();
            if bytes > self.settings.max_member_bytes {
                break;
            }
            self.updates.note_sent(&record.vm, limit);
            members.push(record);
        }
        if self.own.sequence > 0 {
            self.updates.note_sent(&self.own.vm.clone(), limit);
        }
        ExchangeMessage { sender: self.own.clone(), members, summary }
    }

    /// The next records to pass on, a few more than fit in a message.
    fn news(&self, receiver: &VmId) -> Vec<MemberRecord> {
        let others = self.updates.iter().filter(|vm| **vm != self.own.vm && *vm != receiver);
        let fits = self.settings.max_member_bytes / 64 + 1;
        others.take(fits).filter_map(|vm| self.table.record(vm)).cloned().collect()
    }

    /// How often a change is passed on.
    fn repeat_limit(&self) -> u32 {
        let fleet = self.table.len() + 2;
        self.settings.retransmit_factor * (usize::BITS - fleet.leading_zeros())
    }

    /// The next peer of the round; a new round is shuffled when one ends.
    fn next_in_round(&mut self) -> Option<VmId> {
        loop {
            if self.round.is_empty() {
                self.round = self.names(can_answer);
                self.round.shuffle(&mut self.generator);
            }
            let vm = self.round.pop()?;
            if can_answer(self.table.state(&vm)) {
                return Some(vm);
            }
        }
    }

    /// A gap that differs from the period by up to a quarter.
    fn jittered_period(&mut self) -> Duration {
        self.settings.period.mul_f64(self.generator.random_range(0.75..1.25))
    }
}

/// Suspicion.
impl MembershipEngine {
    /// A heartbeat got no reply: others try first.
    pub fn handle_probe_failure(&mut self, vm: &VmId) -> Vec<MembershipAction> {
        self.note_probe(true);
        let mut helpers = self.sample_peers(self.settings.indirect_probes + 1);
        helpers.retain(|helper| helper != vm);
        helpers.truncate(self.settings.indirect_probes);
        if helpers.is_empty() {
            self.suspect(vm);
            return Vec::new();
        }
        self.pending.insert(vm.clone(), helpers.len());
        let probe_via = |via: VmId| {
            let address = self.table.record(&via)?.peer_address;
            Some(MembershipAction::ProbeVia { via, address, vm: vm.clone() })
        };
        helpers.into_iter().filter_map(probe_via).collect()
    }

    /// A helper reported on `vm`, or did not answer itself.
    pub fn handle_indirect_probe(&mut self, vm: &VmId, answered: bool) {
        let Some(left) = self.pending.get_mut(vm) else { return };
        *left -= 1;
        let is_last = *left == 0;
        if answered || is_last {
            self.pending.remove(vm);
        }
        if !answered && is_last {
            self.suspect(vm);
        }
    }

    /// Suspects a VM, unless this VM seems to be the one that is cut off.
    fn suspect(&mut self, vm: &VmId) {
        let failed = self.failures.count_ones() * 1_000 / DOUBT_WINDOW;
        if failed >= self.settings.suspicion_cutoff_permille || !self.table.suspect(vm) {
            return;
        }
        if let Some(record) = self.table.record(vm) {
            self.updates.push(record);
        }
    }

    /// Remembers how the last probes went.
    fn note_probe(&mut self, failed: bool) {
        self.failures = self.failures << 1 | u8::from(failed);
    }
}

/// Whether a VM in this standing is worth a heartbeat.
fn can_answer(standing: MemberState) -> bool {
    matches!(standing, MemberState::Serving | MemberState::Suspect | MemberState::Leaving)
}
