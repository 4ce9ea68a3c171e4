//! Simulated fleet: real policy engines connected by an in-memory message queue in virtual time.
//!
//! The simulation makes no decisions of its own. It delivers, delays and drops messages and counts
//! bytes and calls.

#![allow(dead_code, clippy::unwrap_used)]

mod gossip;
mod watches;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::EvacuationRecord;
use oleanderwind_policy::EvacuationTable;
use oleanderwind_policy::ExchangeMessage;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::MembershipAction;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectDelta;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectPull;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::RefusalTracker;
use oleanderwind_policy::Revision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WatchBackoff;
use oleanderwind_policy::WatchDuty;
use oleanderwind_wire::peer;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Overhead of HTTP/2 frames, compressed headers, TCP and IP, in bytes per message.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 128;
/// Time after which a heartbeat without a reply fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of peers to which a VM relays an evacuation.
const RELAY_FANOUT: usize = 3;
/// Longest wait of a VM after a failed call to the platform.
const PLATFORM_RETRY: Duration = Duration::from_secs(10);

enum Event {
    Tick { node: usize, generation: u64 },
    Refusal { node: usize, generation: u64 },
    Chase { node: usize, generation: u64 },
    Request { from: usize, to: usize, message: ExchangeMessage, evacuations: Vec<EvacuationRecord> },
    Reply { from: usize, to: usize, message: ExchangeMessage, evacuations: Vec<EvacuationRecord> },
    Evacuated { node: usize, record: EvacuationRecord },
    Failed { node: usize, peer: usize },
    Indirect { node: usize, peer: usize, answered: bool },
    Push { to: usize, objects: Vec<ConfigurationObject> },
    Pull { from: usize, to: usize, pull: ObjectPull },
    Page { to: usize, pull: ObjectPull, delta: ObjectDelta },
    Watched { node: usize, objects: Vec<ConfigurationObject>, revision: Revision },
}

pub(crate) struct Node {
    pub(crate) members: MembershipEngine,
    pub(crate) gossip: GossipEngine,
    pub(crate) evacuations: EvacuationTable,
    pub(crate) alive: bool,
    pub(crate) bytes: usize,
    /// Number of starts of the node; events of an earlier start are dropped.
    generation: u64,
    is_chasing: bool,
    backoff: WatchBackoff,
    watching_until: Option<Instant>,
    /// Whether the open watch brings nothing more.
    pub(crate) is_watch_lost: bool,
    refusals: RefusalTracker,
    duty: WatchDuty,
    /// Since when the node should no longer hold the watches that it holds.
    idle_since: Option<Instant>,
    /// Number of times that the node has taken over watches.
    pub(crate) takeovers: usize,
}

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) is_down: bool,
    /// VMs whose calls it turns away.
    pub(crate) refused: BTreeSet<usize>,
    /// VMs that called it while it turned them away or was down.
    pub(crate) turned_away: BTreeSet<usize>,
    pub(crate) revision: Revision,
    pub(crate) vms: Vec<PlatformVm>,
    /// Number of calls by second of virtual time.
    pub(crate) calls: BTreeMap<u64, u64>,
    log: Vec<ConfigurationObject>,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) loss_rate: f64,
    /// Pushes do not arrive at nodes whose number is a multiple of this.
    pub(crate) unpushed: Option<usize>,
    /// VMs with numbers that are multiples of this one answer no pull.
    pub(crate) unanswered: Option<usize>,
    /// Partition: nodes from this index on can't reach lower nodes or the platform.
    pub(crate) partition: Option<usize>,
    pub(crate) platform: Platform,
    settings: MembershipSettings,
    index: HashMap<VmId, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    rng: Pcg64Mcg,
}

pub(crate) fn platform_vm(number: usize, domains: usize) -> PlatformVm {
    let domain = number % domains;
    let host = [10, 1, (number / 250) as u8, (number % 250) as u8];
    PlatformVm {
        vm: format!("vm-{number:04}").into(),
        failure_domain: format!("r{}-d{domain:02}", domain % 6).into(),
        peer_address: (host, 7_402).into(),
        caller_address: (host, 7_400).into(),
        processor_millicores: 0,
        leaving: false,
    }
}

pub(crate) fn object(name: &str, revision: Revision, body: Option<&str>) -> ConfigurationObject {
    let body = body.map(|text| text.as_bytes().to_vec().into());
    let key = ObjectKey { kind: ObjectKind::Contracts, name: name.into() };
    ConfigurationObject { key, revision, version: 0, body }
}

impl Fleet {
    pub(crate) fn new(size: usize, settings: MembershipSettings) -> Fleet {
        Fleet::with_domains(size, if size < 16 { 4 } else { 16 }, settings)
    }

    /// Returns a fleet whose VMs are spread over `domains` failure domains.
    pub(crate) fn with_domains(size: usize, domains: usize, settings: MembershipSettings) -> Fleet {
        Fleet::with_vms((0..size).map(|number| platform_vm(number, domains)).collect(), settings)
    }

    /// Returns a fleet of these VMs.
    pub(crate) fn with_vms(vms: Vec<PlatformVm>, settings: MembershipSettings) -> Fleet {
        let (start, size) = (Instant::now(), vms.len());
        let mut fleet = Fleet {
            nodes: Vec::new(),
            now: start,
            start,
            loss_rate: 0.0,
            unpushed: None,
            unanswered: None,
            partition: None,
            platform: Platform { vms, revision: 10, ..Platform::default() },
            index: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
        };
        for number in 0..size {
            fleet.index.insert(fleet.platform.vms[number].vm.clone(), number);
            let node = fleet.new_node(number, 1);
            fleet.nodes.push(node);
            fleet.schedule_tick(number);
        }
        fleet
    }

    fn new_node(&mut self, number: usize, generation: u64) -> Node {
        let seed = self.settings.seed * 100_000 + number as u64 * 10 + generation;
        let mut own = MemberRecord::from(&self.platform.vms[number]);
        own.incarnation = 1_796_000_000_000 + generation;
        let mut settings = self.settings.clone();
        settings.seed = seed;
        let mut members = MembershipEngine::new(settings, own, self.now);
        members.apply_platform_list(&self.platform.vms);
        let mut gossip = GossipEngine::default();
        let first = [object("first", 10, Some("{}"))];
        gossip.apply_listing(&ObjectListing::from_platform(&first, 10));
        Node {
            members,
            gossip,
            evacuations: EvacuationTable::default(),
            alive: true,
            bytes: 0,
            generation,
            is_chasing: false,
            backoff: WatchBackoff::new(seed, PLATFORM_RETRY, self.now),
            watching_until: None,
            is_watch_lost: false,
            refusals: RefusalTracker::default(),
            duty: WatchDuty::default(),
            idle_since: None,
            takeovers: 0,
        }
    }

    /// Restarts a node without an announcement; it holds only its initial objects again.
    pub(crate) fn restart(&mut self, number: usize) {
        let generation = self.nodes[number].generation + 1;
        self.nodes[number] = self.new_node(number, generation);
        self.schedule_tick(number);
    }

    fn schedule_tick(&mut self, number: usize) {
        let at = self.nodes[number].members.next_tick();
        self.schedule(at, Event::Tick { node: number, generation: self.nodes[number].generation });
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn delivery_time(&mut self) -> Instant {
        self.now + Duration::from_micros(self.rng.random_range(500..20_000))
    }

    fn can_reach(&mut self, from: usize, to: usize) -> bool {
        let is_connected =
            self.partition.is_none_or(|partition| (from < partition) == (to < partition));
        let is_lost = self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate);
        self.nodes[to].alive && is_connected && !is_lost
    }

    fn can_reach_platform(&self, node: usize) -> bool {
        !self.platform.is_down
            && !self.platform.refused.contains(&node)
            && self.partition.is_none_or(|partition| node < partition)
    }

    /// Counts the bytes of a message at both ends.
    fn count_bytes(&mut self, from: usize, to: usize, encoded: usize) {
        self.nodes[from].bytes += encoded + MESSAGE_OVERHEAD_BYTES;
        self.nodes[to].bytes += encoded + MESSAGE_OVERHEAD_BYTES;
    }

    /// Writes an object to the platform, which delivers it to the open watches.
    pub(crate) fn write(&mut self, name: &str, body: Option<&str>) -> Revision {
        self.platform.revision += 1;
        let written = object(name, self.platform.revision, body);
        self.platform.log.push(written.clone());
        for node in 0..self.nodes.len() {
            let is_open =
                self.nodes[node].watching_until.is_some() && !self.nodes[node].is_watch_lost;
            if is_open && self.nodes[node].alive && self.can_reach_platform(node) {
                let (at, revision) = (self.delivery_time(), written.revision);
                self.schedule(
                    at,
                    Event::Watched { node, objects: vec![written.clone()], revision },
                );
            }
        }
        self.platform.revision
    }

    /// Writes or removes an evacuation on the platform, which tells it to the open watches.
    pub(crate) fn write_evacuation(&mut self, domain: &str, is_in_force: bool) {
        self.platform.revision += 1;
        let revision = self.platform.revision;
        for node in self.watchers() {
            if !self.nodes[node].is_watch_lost && self.can_reach_platform(node) {
                let record =
                    EvacuationRecord { failure_domain: domain.into(), revision, is_in_force };
                let at = self.delivery_time();
                self.schedule(at, Event::Evacuated { node, record });
            }
        }
    }

    fn known_evacuations(&self, number: usize) -> Vec<EvacuationRecord> {
        self.nodes[number].evacuations.records().cloned().collect()
    }

    fn merge_evacuations(&mut self, number: usize, records: &[EvacuationRecord], fanout: usize) {
        let node = &mut self.nodes[number];
        let news = records.iter().filter(|record| node.evacuations.merge(record)).count();
        if news > 0 {
            let summary = node.gossip.store().summary();
            let actions = node.members.notify(fanout, summary);
            self.send_membership(number, actions);
        }
    }

    /// Returns how many live nodes hold an evacuation in force.
    pub(crate) fn count_evacuated(&self, domain: &str) -> usize {
        let holds = |node: &&Node| node.alive && node.evacuations.in_force().contains(domain);
        self.nodes.iter().filter(holds).count()
    }

    /// Runs until `done` holds, checked every 100 ms of virtual time.
    ///
    /// Returns the time it took, or `None` if it took longer than `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let begin = self.now;
        while !done(self) {
            if self.now - begin > limit {
                return None;
            }
            self.run(Duration::from_millis(100));
        }
        Some(self.now - begin)
    }

    /// Runs for `duration` of virtual time.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { node, generation } => self.tick(node, generation),
            Event::Refusal { node, generation } => {
                let is_current = self.nodes[node].generation == generation;
                if is_current && self.nodes[node].alive {
                    self.update_refusal(node);
                }
            }
            Event::Chase { node, generation } => self.chase(node, generation),
            Event::Request { from, to, message, evacuations } => {
                let known = self.known_evacuations(to);
                self.merge_evacuations(to, &evacuations, RELAY_FANOUT);
                let summary = self.nodes[to].gossip.store().summary();
                let reply = self.nodes[to].members.handle_heartbeat(&message, summary, self.now);
                self.handle_summary(to, from, message.summary);
                self.count_bytes(from, to, peer::ExchangeMessage::from(&reply).encoded_len());
                let at = self.delivery_time();
                match self.can_reach(to, from) {
                    true => self.schedule(
                        at,
                        Event::Reply { from: to, to: from, message: reply, evacuations: known },
                    ),
                    false => {
                        let at = self.now + CALL_TIMEOUT;
                        self.schedule(at, Event::Failed { node: from, peer: to });
                    }
                }
            }
            Event::Reply { from, to, message, evacuations } => {
                self.merge_evacuations(to, &evacuations, RELAY_FANOUT);
                self.nodes[to].members.handle_reply(&message);
                self.handle_summary(to, from, message.summary);
            }
            Event::Evacuated { node, record } => {
                self.merge_evacuations(node, &[record], MembershipEngine::NOTIFY_FANOUT);
            }
            Event::Failed { node, peer } => {
                let vm = self.platform.vms[peer].vm.clone();
                let actions = self.nodes[node].members.handle_heartbeat_failure(&vm);
                self.send_membership(node, actions);
            }
            Event::Indirect { node, peer, answered } => {
                let vm = self.platform.vms[peer].vm.clone();
                self.nodes[node].members.handle_indirect_probe(&vm, answered);
            }
            Event::Push { to, objects } => self.handle_changes(to, &objects),
            Event::Pull { from, to, pull } => {
                let delta = self.nodes[to].gossip.handle_pull(pull.after, pull.full);
                self.count_bytes(from, to, peer::FetchObjectsReply::from(&delta).encoded_len());
                let at = self.delivery_time();
                if self.can_reach(to, from) {
                    self.schedule(at, Event::Page { to: from, pull, delta });
                }
            }
            Event::Page { to, pull, delta } => {
                let node = &mut self.nodes[to];
                let members = &mut node.members;
                let action = node.gossip.handle_pull_page(&pull, &delta, members, self.now);
                self.send_gossip(to, action);
            }
            Event::Watched { node, objects, revision } => {
                self.handle_changes(node, &objects);
                self.nodes[node].gossip.handle_watch_progress(revision);
            }
        }
    }

    fn tick(&mut self, number: usize, generation: u64) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if !node.alive || node.generation != generation {
            return;
        }
        let actions = node.members.tick(node.gossip.store().summary(), now);
        if node.watching_until.is_some() && node.gossip.begin_watch_check(now).is_some() {
            node.watching_until = None;
        }
        self.send_membership(number, actions);
        self.schedule_tick(number);
        self.watch(number);
        self.update_refusal(number);
    }

    fn send_membership(&mut self, from: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Exchange { vm, message, .. } => {
                    let to = self.index[&vm];
                    self.count_bytes(from, to, peer::ExchangeMessage::from(&message).encoded_len());
                    if self.can_reach(from, to) {
                        let at = self.delivery_time();
                        let evacuations = self.known_evacuations(from);
                        self.schedule(at, Event::Request { from, to, message, evacuations });
                    } else {
                        let at = self.now + CALL_TIMEOUT;
                        self.schedule(at, Event::Failed { node: from, peer: to });
                    }
                }
                MembershipAction::ProbeVia { via, vm, .. } => {
                    let (via, peer) = (self.index[&via], self.index[&vm]);
                    self.count_bytes(from, via, vm.len() + 8);
                    self.count_bytes(via, peer, vm.len() + 8);
                    let answered = self.can_reach(from, via) && self.can_reach(via, peer);
                    let at = self.now + CALL_TIMEOUT;
                    self.schedule(at, Event::Indirect { node: from, peer, answered });
                }
            }
        }
    }

    /// Returns how many live nodes hold at least `revision` of an object, and how many are live.
    pub(crate) fn count_holding(&self, name: &str, revision: Revision) -> (usize, usize) {
        let key = object(name, 1, None).key;
        let live = self.nodes.iter().filter(|node| node.alive);
        let holds = |node: &&Node| {
            node.gossip.store().get(&key).is_some_and(|held| held.revision >= revision)
        };
        (live.clone().filter(holds).count(), live.count())
    }

    /// Returns whether every other live node sees node `number` in `state`.
    pub(crate) fn all_see(&self, number: usize, state: MemberState) -> bool {
        let vm = &self.platform.vms[number].vm;
        let others = self.nodes.iter().filter(|node| node.alive && node.members.own().vm != *vm);
        others.into_iter().all(|node| node.members.table().state(vm) == state)
    }
}
