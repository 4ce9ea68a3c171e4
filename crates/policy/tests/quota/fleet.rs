//! A fleet of VMs that admit the requests of one organisation, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::OrganisationId;
use oleanderwind_policy::QuotaAnswer;
use oleanderwind_policy::QuotaDecision;
use oleanderwind_policy::QuotaHolder;
use oleanderwind_policy::QuotaRole;
use oleanderwind_policy::QuotaSettings;
use oleanderwind_policy::QuotaTable;
use oleanderwind_policy::QuotaVm;
use oleanderwind_policy::RequestQuota;
use oleanderwind_policy::VmId;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Time after which VMs notice that another one does not answer, at least.
const MIN_DETECTION_MS: u64 = 1_200;
/// The same at most.
const MAX_DETECTION_MS: u64 = 2_400;
/// Time in which VMs hear that another one serves again or leaves, at most.
const MAX_NEWS_MS: u64 = 1_000;
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Time for which a request waits for a holder that does not answer.
const MAX_WAIT: Duration = Duration::from_millis(140);
/// Time between two refreshes of a VM's view.
const VIEW_INTERVAL: Duration = Duration::from_millis(500);
const CAPABLE_MILLICORES: u32 = 500;
const SMALL_MILLICORES: u32 = 120;
/// Number of VMs that callers prefer in a large fleet.
const CAPABLE_VMS: usize = 8;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QuotaStep {
    /// A VM is killed and starts again.
    Restart { vm: usize, down: Duration },
    /// All VMs lose power at once.
    PowerOff { down: Duration },
    /// A VM leaves by a planned stop and starts again.
    PlannedStop { vm: usize },
    /// A VM stands still; if it is suspended its steady clock does too.
    Freeze { vm: usize, time: Duration, is_suspended: bool },
    /// Every second or third VM is cut off from the others.
    Cut { divisor: usize },
    /// One VM is cut off from the others.
    CutOne { vm: usize },
    /// All VMs reach each other.
    Heal,
    /// The quota is raised, in tenths of what it is.
    Raise { tenths: u32 },
    /// The organisation asks another multiple of its quota, in tenths.
    Demand { tenths: u32 },
    /// Time passes.
    Wait { time: Duration },
}

impl QuotaStep {
    /// Returns any step.
    pub(crate) fn any() -> impl Strategy<Value = QuotaStep> {
        let time = |most: u64| (0..most).prop_map(Duration::from_millis);
        let vm = || 0..CAPABLE_VMS;
        prop_oneof![
            2 => (vm(), time(4_000)).prop_map(|(vm, down)| QuotaStep::Restart { vm, down }),
            1 => time(3_000).prop_map(|down| QuotaStep::PowerOff { down }),
            1 => vm().prop_map(|vm| QuotaStep::PlannedStop { vm }),
            2 => (vm(), time(5_000), any::<bool>())
                .prop_map(|(vm, time, is_suspended)| QuotaStep::Freeze { vm, time, is_suspended }),
            1 => (2..4_usize).prop_map(|divisor| QuotaStep::Cut { divisor }),
            1 => vm().prop_map(|vm| QuotaStep::CutOne { vm }),
            1 => Just(QuotaStep::Heal),
            1 => (10..20_u32).prop_map(|tenths| QuotaStep::Raise { tenths }),
            3 => prop_oneof![Just(3_u32), 5..80_u32].prop_map(|tenths| QuotaStep::Demand { tenths }),
            6 => time(5_000).prop_map(|time| QuotaStep::Wait { time }),
        ]
    }
}

/// What one VM believes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Belief {
    Serving,
    Suspect,
    Leaving,
}

struct SimulatedVm {
    id: VmId,
    millicores: u32,
    holder: QuotaHolder,
    table: QuotaTable,
    epoch: u64,
    group: u32,
    is_up: bool,
    is_leaving: bool,
    frozen_until: Option<Instant>,
    /// Time by which its steady clock is behind.
    suspended: Duration,
    /// When its reachability last changed for the others.
    changed_at: Instant,
    beliefs: Vec<Belief>,
}

enum FleetEvent {
    Request {
        vm: usize,
    },
    View {
        vm: usize,
        epoch: u64,
    },
    Answer {
        vm: usize,
        epoch: u64,
        asked_at: Instant,
        asked_at_wall: SystemTime,
        answer: QuotaAnswer,
    },
    Decide {
        vm: usize,
        epoch: u64,
        is_last: bool,
        tries: u32,
    },
    Start {
        vm: usize,
        epoch: u64,
    },
    Stop {
        vm: usize,
        epoch: u64,
    },
}

pub(crate) struct QuotaFleet {
    vms: Vec<SimulatedVm>,
    quota: RequestQuota,
    demand: f64,
    organisation: OrganisationId,
    settings: QuotaSettings,
    now: Instant,
    origin: Instant,
    origin_wall: SystemTime,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: std::collections::HashMap<u64, FleetEvent>,
    next_event: u64,
    asked: u64,
    /// Calls from one VM to another.
    calls: u64,
    admissions: Vec<Instant>,
    random: Pcg64Mcg,
    seed: u64,
}

impl QuotaFleet {
    /// Returns a fleet whose VMs have served for a while; an eighth of a large fleet is capable.
    pub(crate) fn new(vms: usize, quota: RequestQuota, demand: f64, seed: u64) -> QuotaFleet {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000);
        let settings = QuotaSettings::default();
        let simulated = |index: usize| {
            let id: VmId = format!("vm-{index}").as_str().into();
            // The largest fleet consists of equal VMs.
            let is_capable = index < CAPABLE_VMS || vms > 100;
            SimulatedVm {
                holder: QuotaHolder::new(settings, id.clone(), now, wall),
                table: QuotaTable::new(settings),
                id,
                millicores: if is_capable { CAPABLE_MILLICORES } else { SMALL_MILLICORES },
                epoch: 0,
                group: 0,
                is_up: true,
                is_leaving: false,
                frozen_until: None,
                suspended: Duration::ZERO,
                changed_at: now,
                beliefs: vec![Belief::Serving; vms],
            }
        };
        let mut fleet = QuotaFleet {
            vms: (0..vms).map(simulated).collect(),
            quota,
            demand,
            organisation: "o".into(),
            settings,
            now,
            origin: now,
            origin_wall: wall,
            events: BinaryHeap::new(),
            pending: std::collections::HashMap::new(),
            next_event: 0,
            asked: 0,
            calls: 0,
            admissions: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            seed,
        };
        for vm in 0..vms {
            fleet.refresh_view(vm);
        }
        // Traffic begins some time after the machines.
        let idle = Duration::from_secs(10);
        for vm in 0..vms {
            fleet.schedule(VIEW_INTERVAL, FleetEvent::View { vm, epoch: 0 });
        }
        fleet.run(idle);
        fleet.schedule_request();
        fleet
    }

    pub(crate) fn asked(&self) -> u64 {
        self.asked
    }

    pub(crate) fn admitted(&self) -> usize {
        self.admissions.len()
    }

    /// Returns the number of calls between VMs for each request.
    pub(crate) fn calls_per_request(&self) -> f64 {
        self.calls as f64 / self.asked.max(1) as f64
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.next_event += 1;
        self.pending.insert(self.next_event, event);
        self.events.push(Reverse((self.now + after, self.next_event)));
    }

    fn schedule_request(&mut self) {
        let uniform: f64 = self.random.random();
        let after = Duration::from_secs_f64(-(1.0 - uniform).ln() / self.demand);
        // Nearly all callers use the capable VMs.
        let count = self.vms.len();
        let preferred = self.vms.iter().filter(|vm| vm.millicores == CAPABLE_MILLICORES).count();
        let vm = match self.random.random_range(0..20) {
            0 => self.random.random_range(0..count),
            _ => self.random.random_range(0..preferred),
        };
        self.schedule(after, FleetEvent::Request { vm });
    }

    fn wall(&self) -> SystemTime {
        self.origin_wall + (self.now - self.origin)
    }

    /// Returns the time by the steady clock of a VM.
    fn steady(&self, vm: usize) -> Instant {
        self.now - self.vms[vm].suspended
    }

    fn is_running(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        vm.is_up && vm.frozen_until.is_none_or(|until| until <= self.now)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || (self.is_running(to) && self.vms[from].group == self.vms[to].group)
    }

    /// Lets a VM learn what has changed long enough ago.
    fn refresh_view(&mut self, vm: usize) {
        if !self.is_running(vm) {
            return;
        }
        let mut views = Vec::with_capacity(self.vms.len());
        for other in 0..self.vms.len() {
            let truth = match self.reaches(vm, other) {
                false => Belief::Suspect,
                true if self.vms[other].is_leaving => Belief::Leaving,
                true => Belief::Serving,
            };
            let changed_at = self.vms[other].changed_at.max(self.vms[vm].changed_at);
            let delay = match truth {
                Belief::Suspect => self.random.random_range(MIN_DETECTION_MS..MAX_DETECTION_MS),
                Belief::Serving | Belief::Leaving => self.random.random_range(0..MAX_NEWS_MS),
            };
            let is_known = self.now >= changed_at + Duration::from_millis(delay);
            if other == vm || is_known {
                self.vms[vm].beliefs[other] = truth;
            }
            let belief = self.vms[vm].beliefs[other];
            views.push(QuotaVm {
                vm: self.vms[other].id.clone(),
                processor_millicores: self.vms[other].millicores,
                is_heard: true,
                is_reached: belief != Belief::Suspect,
                is_serving: belief == Belief::Serving,
            });
        }
        let (steady, wall) = (self.steady(vm), self.wall());
        self.vms[vm].holder.set_view(&views, steady, wall);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending.remove(&id).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    fn is_current(&self, vm: usize, epoch: u64) -> bool {
        self.vms[vm].epoch == epoch && self.vms[vm].is_up
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Request { vm } => {
                self.schedule_request();
                if self.is_running(vm) && !self.vms[vm].is_leaving {
                    self.asked += 1;
                    self.request(vm);
                }
            }
            FleetEvent::View { vm, epoch } => {
                if self.is_current(vm, epoch) {
                    self.refresh_view(vm);
                    self.schedule(VIEW_INTERVAL, FleetEvent::View { vm, epoch });
                }
            }
            FleetEvent::Answer { vm, epoch, asked_at, asked_at_wall, answer } => {
                if !self.is_current(vm, epoch) {
                    return;
                }
                if let Some(until) = self.vms[vm].frozen_until.filter(|until| *until > self.now) {
                    let event = FleetEvent::Answer { vm, epoch, asked_at, asked_at_wall, answer };
                    self.schedule(until - self.now, event);
                    return;
                }
                let steady = self.steady(vm);
                let organisation = self.organisation.clone();
                let table = &mut self.vms[vm].table;
                table.finish_asking(&organisation, answer, asked_at, asked_at_wall, steady);
            }
            FleetEvent::Decide { vm, epoch, is_last, tries } => {
                if self.is_current(vm, epoch) && self.is_running(vm) {
                    self.decide(vm, is_last, tries);
                }
            }
            FleetEvent::Start { vm, epoch } => {
                if self.vms[vm].epoch == epoch {
                    let (steady, wall) = (self.steady(vm), self.wall());
                    let simulated = &mut self.vms[vm];
                    simulated.is_up = true;
                    simulated.is_leaving = false;
                    simulated.changed_at = self.now;
                    simulated.beliefs.fill(Belief::Suspect);
                    let own = simulated.id.clone();
                    simulated.holder = QuotaHolder::new(self.settings, own, steady, wall);
                    simulated.table = QuotaTable::new(self.settings);
                    self.refresh_view(vm);
                    self.schedule(VIEW_INTERVAL, FleetEvent::View { vm, epoch });
                }
            }
            FleetEvent::Stop { vm, epoch } => {
                if self.vms[vm].epoch == epoch {
                    self.kill(vm, Duration::from_millis(500));
                }
            }
        }
    }

    fn request(&mut self, vm: usize) {
        let (steady, wall) = (self.steady(vm), self.wall());
        let (quota, organisation) = (self.quota, self.organisation.clone());
        let simulated = &mut self.vms[vm];
        let share = simulated.holder.reach().own;
        let decision = simulated.table.admit(&organisation, quota, share, steady, wall);
        self.finish(vm, decision, 3);
    }

    fn decide(&mut self, vm: usize, is_last: bool, tries: u32) {
        let (steady, wall) = (self.steady(vm), self.wall());
        let organisation = self.organisation.clone();
        let simulated = &mut self.vms[vm];
        let share = simulated.holder.reach().own;
        let decision = match is_last {
            true => simulated.table.decide_alone(&organisation, share, steady, wall),
            false => simulated.table.decide(&organisation, share, steady, wall),
        };
        self.finish(vm, decision, tries);
    }

    fn finish(&mut self, vm: usize, decision: QuotaDecision, tries: u32) {
        let unreached = self.ask(vm);
        match decision {
            QuotaDecision::Admitted(_) => self.admissions.push(self.now),
            QuotaDecision::Refused(_) => {}
            QuotaDecision::Waits => {
                let is_last = unreached || tries == 0;
                let after = if is_last { MAX_WAIT } else { ROUND_TRIP + Duration::from_micros(1) };
                let epoch = self.vms[vm].epoch;
                let tries = tries.saturating_sub(1);
                self.schedule(after, FleetEvent::Decide { vm, epoch, is_last, tries });
            }
        }
    }

    /// Asks for tokens as the daemon does; returns whether the first answer comes too late for those that wait.
    fn ask(&mut self, vm: usize) -> bool {
        let steady = self.steady(vm);
        let asked_at_wall = self.wall();
        let organisation = self.organisation.clone();
        let Some(wanted) = self.vms[vm].table.start_asking(&organisation, steady) else {
            return false;
        };
        let holders = self.vms[vm].holder.holders(&organisation);
        let mut answer = QuotaAnswer::Unreached;
        let mut after = Duration::ZERO;
        for (holder, role) in holders.iter().zip([QuotaRole::Holder, QuotaRole::Deputy]) {
            let index = self.vms.iter().position(|vm| vm.id == *holder).unwrap();
            if !self.reaches(vm, index) {
                after += Duration::from_millis(60);
                continue;
            }
            self.calls += u64::from(index != vm);
            after += if index == vm { Duration::ZERO } else { ROUND_TRIP };
            let (issuer_steady, wall) = (self.steady(index), self.wall());
            let quota = self.quota;
            let issuer = &mut self.vms[index].holder;
            if let Some(grant) =
                issuer.issue(&organisation, &quota, wanted, role, issuer_steady, wall)
            {
                answer = QuotaAnswer::Granted(grant);
                break;
            }
        }
        let epoch = self.vms[vm].epoch;
        let event = FleetEvent::Answer { vm, epoch, asked_at: steady, asked_at_wall, answer };
        self.schedule(after, event);
        after > ROUND_TRIP
    }

    fn kill(&mut self, vm: usize, down: Duration) {
        let simulated = &mut self.vms[vm];
        simulated.epoch += 1;
        simulated.is_up = false;
        simulated.is_leaving = false;
        simulated.frozen_until = None;
        simulated.changed_at = self.now;
        let epoch = simulated.epoch;
        self.schedule(down, FleetEvent::Start { vm, epoch });
    }

    /// Takes a step of a history.
    pub(crate) fn step(&mut self, step: QuotaStep) {
        let count = self.vms.len();
        match step {
            QuotaStep::Restart { vm, down } => self.kill(vm % count, down),
            QuotaStep::PowerOff { down } => {
                for vm in 0..count {
                    self.kill(vm, down);
                }
            }
            QuotaStep::PlannedStop { vm } => {
                let vm = vm % count;
                if self.vms[vm].is_up {
                    self.vms[vm].is_leaving = true;
                    self.refresh_view(vm);
                    self.vms[vm].changed_at = self.now;
                    let epoch = self.vms[vm].epoch;
                    self.schedule(Duration::from_secs(3), FleetEvent::Stop { vm, epoch });
                }
            }
            QuotaStep::Freeze { vm, time, is_suspended } => {
                let vm = vm % count;
                let is_frozen = self.vms[vm].frozen_until.is_some_and(|until| until > self.now);
                if self.vms[vm].is_up && !is_frozen {
                    self.vms[vm].frozen_until = Some(self.now + time);
                    self.vms[vm].changed_at = self.now;
                    if is_suspended {
                        self.vms[vm].suspended += time;
                    }
                }
            }
            QuotaStep::Cut { divisor } => {
                for vm in 0..count {
                    self.vms[vm].group = u32::from(vm % divisor == 0);
                    self.vms[vm].changed_at = self.now;
                }
            }
            QuotaStep::CutOne { vm } => {
                let vm = vm % count;
                self.vms[vm].group = 2;
                self.vms[vm].changed_at = self.now;
            }
            QuotaStep::Heal => {
                for vm in 0..count {
                    self.vms[vm].group = 0;
                    self.vms[vm].changed_at = self.now;
                }
            }
            QuotaStep::Raise { tenths } => {
                let factor = f64::from(tenths) / 10.0;
                self.quota.requests_per_second =
                    (self.quota.requests_per_second * factor).min(100.0);
            }
            QuotaStep::Demand { tenths } => {
                let factor = f64::from(tenths) / 10.0;
                self.demand = (self.quota.requests_per_second * factor).clamp(0.1, 300.0);
            }
            QuotaStep::Wait { time } => self.run(time),
        }
    }

    /// Asserts that no window holds more than the bound by the highest quota, which the last one is.
    pub(crate) fn assert_within_bound(&self) {
        let RequestQuota { requests_per_second, burst } = self.quota;
        let nominal = requests_per_second * self.settings.window.as_secs_f64() + burst;
        let bound = nominal * (1.0 + self.settings.overage) + self.settings.slack;
        let mut most = 0;
        let mut first = 0;
        for (index, at) in self.admissions.iter().enumerate() {
            while self.admissions[first] + self.settings.window <= *at {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        assert!(
            most as f64 <= bound,
            "{most} in a window, {bound:.1} are allowed; {} VMs, {:?}, demand {}, seed {}",
            self.vms.len(),
            self.quota,
            self.demand,
            self.seed
        );
    }
}
