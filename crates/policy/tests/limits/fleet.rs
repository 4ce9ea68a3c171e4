//! A fleet of VMs that call one target with a rate limit, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::CallId;
use oleanderwind_policy::CallPermit;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::FanoutAction;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FleetReach;
use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitRecord;
use oleanderwind_policy::LimitTable;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::PermitGrant;
use oleanderwind_policy::PermitIssuer;
use oleanderwind_policy::PermitRequest;
use oleanderwind_policy::RequestRate;
use oleanderwind_policy::ShardEntry;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use oleanderwind_policy::VmId;
use oleanderwind_policy::rank_limit_holders;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const TARGET: &str = "t";
const INCARNATION: u64 = 1;
/// Span over which the limit is checked.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a second that a cold target bears, as a multiple of the rate of its service and beyond it.
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Time after the limit was first named, and after a fault of a VM, from which on its requests count.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Time after a VM was told a limit from which on its requests count.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time in which VMs learn who else can be reached.
const DETECTION_TIME: Duration = Duration::from_millis(2_500);
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
const UNREACHABLE_TIME: Duration = Duration::from_millis(250);
const WORK_TIME: Duration = Duration::from_millis(5);
const REQUEST_DEADLINE: Duration = Duration::from_millis(400);

/// One step of a history.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LimitStep {
    /// A VM is killed and starts again; it asks a peer before it serves.
    Restart { vm: usize },
    /// A VM stands still; if it is suspended its steady clock does too.
    Freeze { vm: usize, time: Duration, is_suspended: bool },
    /// A VM and those after it are cut off from the other VMs.
    Cut { vm: usize },
    /// All VMs reach each other.
    Heal,
    /// The target names another limit.
    Limit { tenths: u32 },
    /// Time passes.
    Wait { time: Duration },
}

impl LimitStep {
    /// Returns any step.
    pub(crate) fn any() -> impl Strategy<Value = LimitStep> {
        let time = |most: u64| (0..most).prop_map(Duration::from_millis);
        prop_oneof![
            2 => (0..32_usize).prop_map(|vm| LimitStep::Restart { vm }),
            2 => (0..32_usize, time(3_000), any::<bool>())
                .prop_map(|(vm, time, is_suspended)| LimitStep::Freeze { vm, time, is_suspended }),
            1 => (0..32_usize).prop_map(|vm| LimitStep::Cut { vm }),
            1 => Just(LimitStep::Heal),
            1 => (3..400_u32).prop_map(|tenths| LimitStep::Limit { tenths }),
            6 => time(4_000).prop_map(|time| LimitStep::Wait { time }),
        ]
    }
}

struct SimulatedVm {
    id: VmId,
    epoch: u64,
    engine: FanoutEngine,
    limits: LimitTable,
    issuer: PermitIssuer,
    sent_at: HashMap<CallId, Instant>,
    /// VMs of the same group reach each other.
    group: u32,
    frozen_until: Option<Instant>,
    /// Time by which its steady clock is behind.
    suspended: Duration,
    /// Until when its requests don't count.
    excused_until: Instant,
    /// When its timer fires next.
    wake_at: Option<Instant>,
    /// When an answer first told it a limit.
    told_at: Option<Instant>,
}

enum FleetEvent {
    Query {
        vm: usize,
    },
    /// A query that waits for its VM to be resumed.
    HeldQuery {
        vm: usize,
    },
    Wake {
        vm: usize,
    },
    Answer {
        vm: usize,
        epoch: u64,
        call: CallId,
        rate: RequestRate,
    },
    News {
        vm: usize,
        record: LimitRecord,
    },
    Ask {
        holder: usize,
        vm: usize,
        epoch: u64,
        request: PermitRequest,
        record: LimitRecord,
    },
    Grant {
        vm: usize,
        epoch: u64,
        request: PermitRequest,
        grant: PermitGrant,
        asked_at: (Instant, SystemTime),
    },
}

/// A request at the target.
#[derive(Clone, Copy)]
struct Arrival {
    at: Instant,
    counts: bool,
    rate: RequestRate,
}

/// The VMs, the target and what is under way between them.
pub(crate) struct LimitFleet {
    now: Instant,
    start: Instant,
    wall: SystemTime,
    vms: Vec<SimulatedVm>,
    rate: RequestRate,
    /// When the limit changed last.
    changed_at: Instant,
    demand: f64,
    arrivals: Vec<Arrival>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    payloads: HashMap<u64, FleetEvent>,
    sequence: u64,
    queries: u64,
    /// When the fleet was cut or healed last; views lag behind it.
    parted_at: Option<Instant>,
    manifest: Arc<SnapshotManifest>,
    rng: Pcg64Mcg,
}

/// Returns the listed target.
pub(crate) fn spec() -> TargetSpec {
    TargetSpec {
        target: TARGET.into(),
        service: "one".into(),
        provider: "east".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 64,
        connection_limit: 4_096,
        incarnation: INCARNATION,
        phase: TargetPhase::Ready,
        cold_ms: 0,
    }
}

fn new_vm(number: usize, epoch: u64, now: Instant) -> SimulatedVm {
    let mut settings = FanoutSettings::default();
    settings.seed = number as u64;
    let mut engine = FanoutEngine::new(settings);
    engine.apply_targets(vec![spec()], now);
    SimulatedVm {
        id: format!("vm-{number}").into(),
        epoch,
        engine,
        limits: LimitTable::default(),
        issuer: PermitIssuer::default(),
        sent_at: HashMap::new(),
        group: 0,
        frozen_until: None,
        suspended: Duration::ZERO,
        excused_until: now,
        wake_at: None,
        told_at: None,
    }
}

impl LimitFleet {
    /// Returns a fleet that gets `demand` queries a second together, for a target with this limit.
    pub(crate) fn new(vms: usize, rate: RequestRate, demand: f64, seed: u64) -> LimitFleet {
        // VMs may be suspended, which sets their clocks back.
        let now = Instant::now() + Duration::from_secs(3_600);
        let shard = ShardEntry { shard: 0, documents: 1, targets: vec![TARGET.into()] };
        let manifest = SnapshotManifest {
            service: "one".into(),
            provider: "east".into(),
            index_version: 1,
            shards: vec![shard],
        };
        let mut fleet = LimitFleet {
            now,
            start: now,
            wall: SystemTime::now(),
            vms: (0..vms).map(|vm| new_vm(vm, 0, now)).collect(),
            rate,
            changed_at: now,
            demand,
            arrivals: Vec::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            sequence: 0,
            queries: 0,
            parted_at: None,
            manifest: Arc::new(manifest),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        fleet.schedule_query();
        fleet
    }

    /// Applies a step.
    pub(crate) fn apply(&mut self, step: LimitStep) {
        let count = self.vms.len();
        match step {
            LimitStep::Wait { time } => self.advance(time),
            LimitStep::Limit { tenths } => {
                self.rate = RequestRate::try_from(f64::from(tenths) / 10.0).unwrap();
                self.changed_at = self.now;
            }
            LimitStep::Restart { vm } => self.restart(vm % count),
            LimitStep::Freeze { vm, time, is_suspended } => {
                let vm = &mut self.vms[vm % count];
                let until = self.now + time;
                let held = vm.frozen_until.map_or(self.now, |held| held.max(self.now));
                vm.frozen_until = Some(held.max(until));
                if is_suspended {
                    vm.suspended += until.saturating_duration_since(held);
                }
                vm.excused_until = vm.excused_until.max(until + STABLE_TIME);
            }
            LimitStep::Cut { vm } => self.part(vm % count, 1),
            LimitStep::Heal => self.part(0, 0),
        }
    }

    /// Puts the VMs from `first` on in a group.
    fn part(&mut self, first: usize, group: u32) {
        self.parted_at = Some(self.now);
        for vm in self.vms.iter_mut().skip(first) {
            if vm.group != group {
                vm.group = group;
                vm.excused_until = self.now + STABLE_TIME;
            }
        }
        // A cut lasts until it heals.
        for vm in self.vms.iter_mut().filter(|vm| vm.group != 0) {
            vm.excused_until = self.now + Duration::from_secs(3_600);
        }
    }

    fn restart(&mut self, number: usize) {
        let (group, epoch) = (self.vms[number].group, self.vms[number].epoch + 1);
        let mut vm = new_vm(number, epoch, self.now);
        vm.group = group;
        vm.excused_until = self.vms[number].excused_until.max(self.now + STABLE_TIME);
        let peer = (0..self.vms.len()).find(|other| {
            *other != number && self.vms[*other].group == group && !self.is_frozen(*other)
        });
        let known = peer.map(|peer| self.vms[peer].limits.limits_in_force()).unwrap_or_default();
        for record in known {
            vm.engine.set_limit(&record.target, record.incarnation, record.rate, self.now);
            vm.limits.merge(&record, self.now);
        }
        self.vms[number] = vm;
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.payloads.remove(&sequence) {
                self.handle(sequence, event);
            }
        }
        self.now = end;
    }

    /// Returns the first window in which more requests than allowed counted, with their number and what is allowed: the
    /// limit, and what may be under way with a permit.
    pub(crate) fn find_excess(&self) -> Option<(Duration, usize, f64)> {
        let counted: Vec<&Arrival> =
            self.arrivals.iter().filter(|arrival| arrival.counts).collect();
        for (index, first) in counted.iter().enumerate() {
            let window = counted[index..].iter().take_while(|other| other.at < first.at + WINDOW);
            let window: Vec<f64> = window.map(|other| other.rate.per_second()).collect();
            let most = window.iter().copied().fold(0.0, f64::max);
            let under_way =
                most * (CallPermit::USE_TIME + Duration::from_millis(100)).as_secs_f64();
            let allowed = most * WINDOW.as_secs_f64() + under_way + 5.0;
            if window.len() as f64 > allowed {
                return Some((first.at - self.start, window.len(), allowed));
            }
        }
        None
    }

    /// Returns the first second in which more requests than a cold target bears counted, with their number and what is
    /// allowed.
    pub(crate) fn find_cold_excess(&self) -> Option<(Duration, usize, f64)> {
        let counted: Vec<&Arrival> =
            self.arrivals.iter().filter(|arrival| arrival.counts).collect();
        counted.iter().enumerate().find_map(|(index, first)| {
            let second = counted[index..].iter();
            let second = second.take_while(|other| other.at < first.at + Duration::from_secs(1));
            let allowed = first.rate.per_second() * COLD_OVERAGE + COLD_SLACK;
            let count = second.count();
            (count as f64 > allowed).then_some((first.at - self.start, count, allowed))
        })
    }

    /// Returns the number of requests that reached the target after a time.
    pub(crate) fn arrivals_after(&self, time: Duration) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.at >= self.start + time).count()
    }

    fn is_frozen(&self, vm: usize) -> bool {
        self.vms[vm].frozen_until.is_some_and(|until| self.now < until)
    }

    fn push(&mut self, at: Instant, event: FleetEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    fn schedule_query(&mut self) {
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / self.demand;
        let vm = self.rng.random_range(0..self.vms.len());
        self.push(self.now + Duration::from_secs_f64(gap), FleetEvent::Query { vm });
    }

    /// Returns the VM's steady and wall clock.
    fn clocks(&self, vm: usize) -> (Instant, SystemTime) {
        (self.now - self.vms[vm].suspended, self.wall + (self.now - self.start))
    }

    fn handle(&mut self, sequence: u64, event: FleetEvent) {
        let receiver = match &event {
            FleetEvent::Query { vm }
            | FleetEvent::HeldQuery { vm }
            | FleetEvent::Wake { vm }
            | FleetEvent::Answer { vm, .. }
            | FleetEvent::News { vm, .. }
            | FleetEvent::Grant { vm, .. } => *vm,
            FleetEvent::Ask { holder, .. } => *holder,
        };
        if self.is_frozen(receiver)
            && let Some(until) = self.vms[receiver].frozen_until
        {
            let held = match event {
                FleetEvent::Query { vm } => {
                    self.schedule_query();
                    FleetEvent::HeldQuery { vm }
                }
                other => other,
            };
            self.events.push(Reverse((until, sequence)));
            self.payloads.insert(sequence, held);
            return;
        }
        match event {
            FleetEvent::Query { vm } => {
                self.schedule_query();
                self.submit(vm);
            }
            FleetEvent::HeldQuery { vm } => self.submit(vm),
            FleetEvent::Wake { vm } => {
                if self.vms[vm].wake_at.is_none_or(|at| at > self.now) {
                    return;
                }
                self.vms[vm].wake_at = None;
                let (now, _) = self.clocks(vm);
                let mut actions = Vec::new();
                self.vms[vm].engine.wake(now, &mut actions);
                self.execute(vm, actions);
            }
            FleetEvent::Answer { vm, epoch, call, rate } => self.answer(vm, epoch, call, rate),
            FleetEvent::News { vm, record } => drop(self.merge(vm, record)),
            FleetEvent::Ask { holder, vm, epoch, request, record } => {
                self.issue(holder, vm, epoch, request, record);
            }
            FleetEvent::Grant { vm, epoch, request, grant, asked_at } => {
                if self.vms[vm].epoch != epoch {
                    return;
                }
                let (now, _) = self.clocks(vm);
                let permits: Vec<CallPermit> = grant
                    .delays
                    .iter()
                    .map(|delay| CallPermit::new(*delay, asked_at.0, asked_at.1, now))
                    .collect();
                let closed = (!grant.retry_after.is_zero()).then(|| now + grant.retry_after);
                self.vms[vm].engine.add_permits(&request, &permits, closed, now);
                self.execute(vm, Vec::new());
            }
        }
    }

    fn submit(&mut self, vm: usize) {
        self.queries += 1;
        let (now, _) = self.clocks(vm);
        let plan = FanoutPlan {
            customer: "c".into(),
            class: "c".into(),
            manifest: self.manifest.clone(),
            deadline: now + REQUEST_DEADLINE,
            coverage_floor_permille: 1_000,
            preference: AnswerPreference::Coverage,
            priority: ClassPriority::Interactive,
            urgency: None,
            extra_load_permille: 200,
            objective: None,
            attempt_policy: AttemptPolicy::default(),
        };
        let mut actions = Vec::new();
        self.vms[vm].engine.submit(self.queries, plan, now, &mut actions);
        self.execute(vm, actions);
    }

    /// Executes actions, then asks for permits and sets the VM's timer.
    fn execute(&mut self, vm: usize, actions: Vec<FanoutAction>) {
        let (now, wall) = self.clocks(vm);
        for action in actions {
            let FanoutAction::Send { call, .. } = action else { continue };
            if !self.vms[vm].engine.may_send(call, now, wall) {
                let mut more = Vec::new();
                let event = FanoutEvent::Withdrawn { call };
                self.vms[vm].engine.handle(event, now, &mut more);
                self.execute(vm, more);
                continue;
            }
            self.vms[vm].engine.mark_sent(call, now);
            self.vms[vm].sent_at.insert(call, now);
            let epoch = self.vms[vm].epoch;
            let state = &self.vms[vm];
            let is_told = state.told_at.is_some_and(|at| self.now >= at + NOTICE_TIME);
            let is_stable = self.now >= state.excused_until;
            let counts = is_told && is_stable && self.now >= self.changed_at + STABLE_TIME;
            self.arrivals.push(Arrival { at: self.now, counts, rate: self.rate });
            let rate = self.rate;
            self.push(self.now + WORK_TIME, FleetEvent::Answer { vm, epoch, call, rate });
        }
        for request in self.vms[vm].engine.take_permit_requests() {
            self.ask(vm, request);
        }
        if let Some(at) = self.vms[vm].engine.next_wake() {
            let at = (at + self.vms[vm].suspended).max(self.now + Duration::from_micros(1));
            if self.vms[vm].wake_at.is_none_or(|set| at < set) {
                self.vms[vm].wake_at = Some(at);
                self.push(at, FleetEvent::Wake { vm });
            }
        }
    }

    fn answer(&mut self, vm: usize, epoch: u64, call: CallId, rate: RequestRate) {
        if self.vms[vm].epoch != epoch {
            return;
        }
        self.vms[vm].told_at.get_or_insert(self.now);
        let (now, _) = self.clocks(vm);
        if let Some(observed_at) = self.vms[vm].sent_at.remove(&call) {
            let record = LimitRecord {
                target: TARGET.into(),
                incarnation: INCARNATION,
                rate: Some(rate),
                observed_at,
            };
            if self.merge(vm, record.clone()) {
                let group = self.vms[vm].group;
                let peers: Vec<usize> = (0..self.vms.len())
                    .filter(|peer| *peer != vm && self.vms[*peer].group == group)
                    .collect();
                for peer in peers {
                    // A sixth of the messages are lost.
                    if self.rng.random_range(0..6) > 0 {
                        let record = record.clone();
                        self.push(self.now + MESSAGE_DELAY, FleetEvent::News { vm: peer, record });
                    }
                }
            }
        }
        let event = FanoutEvent::Answered {
            call,
            documents: 1,
            load: LoadReport::default(),
            draining: false,
        };
        let mut actions = Vec::new();
        self.vms[vm].engine.handle(event, now, &mut actions);
        self.execute(vm, actions);
    }

    fn merge(&mut self, vm: usize, record: LimitRecord) -> bool {
        let (now, _) = self.clocks(vm);
        let state = &mut self.vms[vm];
        let change = state.limits.merge(&record, now);
        if change != LimitChange::Unchanged {
            state.engine.set_limit(&record.target, record.incarnation, record.rate, now);
        }
        change != LimitChange::Unchanged
    }

    /// Returns the VMs that `vm` takes for serving, and those that it takes for silent.
    fn view(&self, vm: usize) -> (Vec<VmId>, usize) {
        let lags = self.parted_at.is_some_and(|at| self.now < at + DETECTION_TIME);
        let group = self.vms[vm].group;
        let serving = self.vms.iter().filter(|other| lags || other.group == group);
        let serving: Vec<VmId> = serving.map(|other| other.id.clone()).collect();
        let silent = self.vms.len() - serving.len();
        (serving, silent)
    }

    fn holder(&self, vm: usize) -> usize {
        let (serving, _) = self.view(vm);
        let holder = rank_limit_holders(&TargetId::from(TARGET), &serving).remove(0);
        self.vms.iter().position(|other| other.id == holder).unwrap_or(vm)
    }

    fn ask(&mut self, vm: usize, request: PermitRequest) {
        let holder = self.holder(vm);
        let epoch = self.vms[vm].epoch;
        let reaches = self.vms[holder].group == self.vms[vm].group && !self.is_frozen(holder);
        let record = self.vms[vm].limits.record(&request.target).cloned();
        match record {
            Some(record) if holder == vm => self.issue(holder, vm, epoch, request, record),
            Some(record) if reaches => {
                let ask = FleetEvent::Ask { holder, vm, epoch, request, record };
                self.push(self.now + MESSAGE_DELAY, ask);
            }
            _ => {
                let grant = PermitGrant { delays: Vec::new(), retry_after: UNREACHABLE_TIME };
                let asked_at = self.clocks(vm);
                let event = FleetEvent::Grant { vm, epoch, request, grant, asked_at };
                self.push(self.now + PERMIT_TIMEOUT, event);
            }
        }
    }

    fn issue(
        &mut self,
        holder: usize,
        vm: usize,
        epoch: u64,
        request: PermitRequest,
        record: LimitRecord,
    ) {
        self.merge(holder, record);
        let known = self.vms[holder].limits.record(&request.target).cloned().unwrap();
        let (serving, silent) = self.view(holder);
        let reach = FleetReach { reached: serving.len(), known: serving.len() + silent };
        let (now, _) = self.clocks(holder);
        let rate = known.rate.unwrap();
        let grant = self.vms[holder].issuer.issue(
            &request.target,
            request.incarnation,
            rate,
            request.wanted,
            reach,
            now,
        );
        let delay = if holder == vm { Duration::ZERO } else { MESSAGE_DELAY };
        let (asked, asked_wall) = self.clocks(vm);
        let asked_at = (asked - delay, asked_wall - delay);
        let event = FleetEvent::Grant { vm, epoch, request, grant, asked_at };
        self.push(self.now + delay, event);
    }
}
