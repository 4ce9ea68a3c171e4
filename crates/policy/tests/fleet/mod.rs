//! Many real policy instances joined by an in-memory message queue in virtual time.
//!
//! Nothing here decides: it delivers, delays and drops messages, and counts bytes and calls.

#![allow(dead_code, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::ExchangeMessage;
use oleanderwind_policy::GossipAction;
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
use oleanderwind_policy::ObjectSummary;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::Revision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WatchBackoff;
use oleanderwind_policy::watch_holders;
use oleanderwind_wire::peer;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Allowance for HTTP/2 frames, compressed headers, TCP and IP, in bytes a message.
pub(crate) const FRAME_BYTES: usize = 128;
/// A heartbeat without a reply has failed by then.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Gap between two looks of a VM at whether it has become a watch holder.
const LOOK_GAP: Duration = Duration::from_secs(10);

enum Step {
    Tick { node: usize, life: u64 },
    Request { from: usize, to: usize, message: ExchangeMessage },
    Reply { from: usize, to: usize, message: ExchangeMessage },
    Failed { node: usize, peer: usize },
    Indirect { node: usize, peer: usize, answered: bool },
    Push { to: usize, objects: Vec<ConfigurationObject> },
    Pull { from: usize, to: usize, after: Revision, full: bool },
    Page { from: usize, to: usize, after: Revision, delta: ObjectDelta },
    Watched { node: usize, objects: Vec<ConfigurationObject>, revision: Revision },
}

pub(crate) struct Node {
    pub(crate) members: MembershipEngine,
    pub(crate) spread: GossipEngine,
    pub(crate) alive: bool,
    pub(crate) bytes: usize,
    life: u64,
    backoff: WatchBackoff,
    watching_until: Option<Instant>,
    next_look: Instant,
}

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) is_down: bool,
    pub(crate) revision: Revision,
    pub(crate) vms: Vec<PlatformVm>,
    /// Calls by second of virtual time.
    pub(crate) calls: BTreeMap<u64, u64>,
    log: Vec<ConfigurationObject>,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) loss: f64,
    /// Nodes from this one on don't reach those below it, nor the platform.
    pub(crate) cut: Option<usize>,
    pub(crate) platform: Platform,
    settings: MembershipSettings,
    index: HashMap<VmId, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    steps: HashMap<u64, Step>,
    next_step: u64,
    generator: Pcg64Mcg,
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
    ConfigurationObject { key, revision, body }
}

impl Fleet {
    pub(crate) fn new(size: usize, settings: MembershipSettings) -> Fleet {
        let start = Instant::now();
        let domains = if size < 16 { 4 } else { 16 };
        let vms: Vec<PlatformVm> = (0..size).map(|number| platform_vm(number, domains)).collect();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            now: start,
            start,
            loss: 0.0,
            cut: None,
            platform: Platform { vms, revision: 10, ..Platform::default() },
            index: HashMap::new(),
            queue: BinaryHeap::new(),
            steps: HashMap::new(),
            next_step: 0,
            generator: Pcg64Mcg::seed_from_u64(settings.seed),
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

    fn new_node(&mut self, number: usize, life: u64) -> Node {
        let seed = self.settings.seed * 100_000 + number as u64 * 10 + life;
        let mut own = MemberRecord::from(&self.platform.vms[number]);
        own.incarnation = 1_796_000_000_000 + life;
        let mut settings = self.settings.clone();
        settings.seed = seed;
        let mut members = MembershipEngine::new(settings, own, self.now);
        members.apply_platform_list(&self.platform.vms);
        let mut spread = GossipEngine::default();
        let first = [object("first", 10, Some("{}"))];
        spread.apply_listing(&ObjectListing::from_platform(&first, 10));
        Node {
            members,
            spread,
            alive: true,
            bytes: 0,
            life,
            backoff: WatchBackoff::new(seed, Duration::from_secs(10), self.now),
            watching_until: None,
            next_look: self.now,
        }
    }

    /// Stops a node without a word and starts it anew with what it first held.
    pub(crate) fn restart(&mut self, number: usize) {
        let life = self.nodes[number].life + 1;
        self.nodes[number] = self.new_node(number, life);
        self.schedule_tick(number);
    }

    fn schedule_tick(&mut self, number: usize) {
        let at = self.nodes[number].members.next_tick();
        self.schedule(at, Step::Tick { node: number, life: self.nodes[number].life });
    }

    fn schedule(&mut self, at: Instant, step: Step) {
        self.next_step += 1;
        self.queue.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, step);
    }

    fn later(&mut self) -> Instant {
        self.now + Duration::from_micros(self.generator.random_range(500..20_000))
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        let same_side = self.cut.is_none_or(|cut| (from < cut) == (to < cut));
        let is_lost = self.loss > 0.0 && self.generator.random_bool(self.loss);
        self.nodes[to].alive && same_side && !is_lost
    }

    fn reaches_platform(&self, node: usize) -> bool {
        !self.platform.is_down && self.cut.is_none_or(|cut| node < cut)
    }

    /// Counts a message at both its ends.
    fn count(&mut self, from: usize, to: usize, encoded: usize) {
        self.nodes[from].bytes += encoded + FRAME_BYTES;
        self.nodes[to].bytes += encoded + FRAME_BYTES;
    }

    /// Writes an object to the platform, which tells the open watches.
    pub(crate) fn write(&mut self, name: &str, body: Option<&str>) -> Revision {
        self.platform.revision += 1;
        let written = object(name, self.platform.revision, body);
        self.platform.log.push(written.clone());
        for node in 0..self.nodes.len() {
            let is_open = self.nodes[node].watching_until.is_some();
            if is_open && self.nodes[node].alive && self.reaches_platform(node) {
                let (at, revision) = (self.later(), written.revision);
                self.schedule(at, Step::Watched { node, objects: vec![written.clone()], revision });
            }
        }
        self.platform.revision
    }

    /// Takes the platform down or up; open watches break at once.
    pub(crate) fn set_platform_down(&mut self, is_down: bool) {
        self.platform.is_down = is_down;
        for number in 0..self.nodes.len() {
            if self.nodes[number].watching_until.take().is_some() {
                let now = self.now;
                self.nodes[number].backoff.record_failure(now);
            }
        }
    }

    /// Runs until `done` holds, looking every tenth of a second; the time it took, if it did.
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

    /// Runs for a while.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let step = self.steps.remove(&id).unwrap();
            self.step(step);
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick { node, life } => self.tick(node, life),
            Step::Request { from, to, message } => {
                let summary = self.nodes[to].spread.store().summary();
                let reply = self.nodes[to].members.handle_heartbeat(&message, summary, self.now);
                self.heard(to, from, message.summary);
                self.count(from, to, peer::ExchangeMessage::from(&reply).encoded_len());
                let at = self.later();
                match self.reaches(to, from) {
                    true => self.schedule(at, Step::Reply { from: to, to: from, message: reply }),
                    false => {
                        let at = self.now + CALL_TIMEOUT;
                        self.schedule(at, Step::Failed { node: from, peer: to });
                    }
                }
            }
            Step::Reply { from, to, message } => {
                self.nodes[to].members.handle_reply(&message);
                self.heard(to, from, message.summary);
            }
            Step::Failed { node, peer } => {
                let vm = self.platform.vms[peer].vm.clone();
                let actions = self.nodes[node].members.handle_probe_failure(&vm);
                self.act(node, actions);
            }
            Step::Indirect { node, peer, answered } => {
                let vm = self.platform.vms[peer].vm.clone();
                self.nodes[node].members.handle_indirect_probe(&vm, answered);
            }
            Step::Push { to, objects } => self.changed(to, &objects),
            Step::Pull { from, to, after, full } => {
                let delta = self.nodes[to].spread.handle_pull(after, full);
                self.count(from, to, peer::FetchObjectsReply::from(&delta).encoded_len());
                let at = self.later();
                if self.reaches(to, from) {
                    self.schedule(at, Step::Page { from: to, to: from, after, delta });
                }
            }
            Step::Page { from, to, after, delta } => {
                let vm = self.platform.vms[from].vm.clone();
                let node = &mut self.nodes[to];
                let members = &mut node.members;
                let action = node.spread.handle_pull_page(&vm, after, &delta, members, self.now);
                self.spread(to, action);
            }
            Step::Watched { node, objects, revision } => {
                self.changed(node, &objects);
                self.nodes[node].spread.handle_watch_progress(revision);
            }
        }
    }

    fn tick(&mut self, number: usize, life: u64) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if !node.alive || node.life != life {
            return;
        }
        let actions = node.members.tick(node.spread.store().summary(), now);
        self.act(number, actions);
        self.schedule_tick(number);
        self.watch(number);
    }

    /// Opens or reopens the platform's watches when it is this node's turn.
    fn watch(&mut self, number: usize) {
        let now = self.now;
        let node = &self.nodes[number];
        let is_open = node.watching_until.is_some_and(|until| now < until);
        if is_open || now < node.backoff.next_call() || now < node.next_look {
            return;
        }
        if !self.holds_watch(number) {
            self.nodes[number].next_look = now + LOOK_GAP;
            return;
        }
        let reaches = self.reaches_platform(number);
        // A watch a kind; while the platform is down only the first is tried.
        let calls = if reaches { ObjectKind::ALL.len() as u64 } else { 1 };
        *self.platform.calls.entry((now - self.start).as_secs()).or_default() += calls;
        let node = &mut self.nodes[number];
        if !reaches {
            node.watching_until = None;
            node.backoff.record_failure(now);
            return;
        }
        node.backoff.record_success(now);
        node.watching_until = Some(now + node.backoff.watch_duration());
        let after = node.spread.store().summary().complete_revision;
        let missed = self.platform.log.iter().filter(|object| object.revision > after);
        let (objects, revision) = (missed.cloned().collect(), self.platform.revision);
        let at = self.later();
        self.schedule(at, Step::Watched { node: number, objects, revision });
    }

    fn holds_watch(&self, number: usize) -> bool {
        let members = &self.nodes[number].members;
        let domain = &members.own().failure_domain;
        let peers = members.table().iter().filter(|(record, standing)| {
            *standing == MemberState::Serving && record.failure_domain == *domain
        });
        let mut vms: Vec<VmId> = peers.map(|(record, _)| record.vm.clone()).collect();
        vms.push(members.own().vm.clone());
        watch_holders(domain, &vms).contains(&members.own().vm)
    }

    /// The nodes with an open watch.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let is_open = |number: &usize| {
            let node = &self.nodes[*number];
            node.alive && node.watching_until.is_some_and(|until| self.now < until)
        };
        (0..self.nodes.len()).filter(is_open).collect()
    }

    fn act(&mut self, from: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Exchange { vm, message, .. } => {
                    let to = self.index[&vm];
                    self.count(from, to, peer::ExchangeMessage::from(&message).encoded_len());
                    if self.reaches(from, to) {
                        let at = self.later();
                        self.schedule(at, Step::Request { from, to, message });
                    } else {
                        let at = self.now + CALL_TIMEOUT;
                        self.schedule(at, Step::Failed { node: from, peer: to });
                    }
                }
                MembershipAction::ProbeVia { via, vm, .. } => {
                    let (via, peer) = (self.index[&via], self.index[&vm]);
                    self.count(from, via, vm.len() + 8);
                    self.count(via, peer, vm.len() + 8);
                    let answered = self.reaches(from, via) && self.reaches(via, peer);
                    let at = self.now + CALL_TIMEOUT;
                    self.schedule(at, Step::Indirect { node: from, peer, answered });
                }
            }
        }
    }

    fn heard(&mut self, node: usize, peer: usize, summary: ObjectSummary) {
        let vm = self.platform.vms[peer].vm.clone();
        let domain = |number: usize| &self.platform.vms[number].failure_domain;
        let is_near = domain(node) == domain(peer);
        let action = self.nodes[node].spread.handle_summary(&vm, is_near, summary, self.now);
        self.spread(node, action);
    }

    fn changed(&mut self, number: usize, objects: &[ConfigurationObject]) {
        let node = &mut self.nodes[number];
        let actions = node.spread.handle_changes(objects, &mut node.members);
        self.spread(number, actions);
    }

    fn spread(&mut self, from: usize, actions: impl IntoIterator<Item = GossipAction>) {
        for action in actions {
            let at = self.later();
            match action {
                GossipAction::Push { vm, objects } => {
                    let to = self.index[&vm];
                    let pushed = objects.iter().map(peer::ConfigurationObject::from);
                    let message = peer::PushObjectsRequest { objects: pushed.collect() };
                    self.count(from, to, message.encoded_len());
                    if self.reaches(from, to) {
                        self.schedule(at, Step::Push { to, objects });
                    }
                }
                GossipAction::Pull { vm, after, full } => {
                    let to = self.index[&vm];
                    self.count(from, to, 8);
                    if self.reaches(from, to) {
                        self.schedule(at, Step::Pull { from, to, after, full });
                    }
                }
            }
        }
    }

    /// Live nodes that hold `revision` of the object, of all live ones.
    pub(crate) fn holding(&self, name: &str, revision: Revision) -> (usize, usize) {
        let key = object(name, 1, None).key;
        let live = self.nodes.iter().filter(|node| node.alive);
        let holds = |node: &&Node| {
            node.spread.store().get(&key).is_some_and(|held| held.revision >= revision)
        };
        (live.clone().filter(holds).count(), live.count())
    }

    /// Whether every live node but `number` itself gives it this standing.
    pub(crate) fn all_see(&self, number: usize, standing: MemberState) -> bool {
        let vm = &self.platform.vms[number].vm;
        let others = self.nodes.iter().filter(|node| node.alive && node.members.own().vm != *vm);
        others.into_iter().all(|node| node.members.table().state(vm) == standing)
    }
}
