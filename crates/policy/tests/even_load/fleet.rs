//! A fleet of VMs, each with an engine of its own, that share targets in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Replicas of each shard.
pub(crate) const REPLICAS: usize = 3;
/// Calls that a target runs at once.
pub(crate) const SLOTS: usize = 2;
/// Calls that wait at a target beyond which it refuses.
const QUEUE_LIMIT: usize = 12;
/// Time of a call without disturbance.
const SERVICE_TIME: Duration = Duration::from_millis(11);
/// Time of a call in percent of [`SERVICE_TIME`], one drawn for each call.
const SERVICE_PERCENT: [u32; 10] = [60, 70, 80, 90, 95, 100, 110, 120, 140, 200];
/// One way between a VM and a target.
const NETWORK_TIME: Duration = Duration::from_micros(500);
/// Interval at which queues are measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of a query.
const DEADLINE: Duration = Duration::from_millis(600);

/// What disturbs the targets.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbance {
    /// Length and interval of pauses, at a different moment at each target.
    pub(crate) pause: Option<(Duration, Duration)>,
    /// Time for which a sixth of the targets at a time work 2.5 times as long.
    pub(crate) slow_phase: Option<Duration>,
}

/// Load on a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLoad {
    pub(crate) vms: usize,
    pub(crate) shards: usize,
    /// Part of the targets' slots that undisturbed work fills, in percent.
    pub(crate) utilisation_percent: u32,
    /// Age of the load that a target reports.
    pub(crate) news_age: Duration,
    pub(crate) disturbance: Disturbance,
    pub(crate) queries: u64,
}

/// What callers and targets saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetFigures {
    /// Mean over time of the coefficient of variation of the targets' queues.
    pub(crate) variation: f64,
    /// Calls that waited behind another one while a replica had a free slot, in thousandths.
    pub(crate) misplaced_permille: u64,
    pub(crate) p50: Duration,
    pub(crate) p99: Duration,
    pub(crate) sheds: u64,
    pub(crate) extra_permille: u64,
    pub(crate) unanswered: u64,
    pub(crate) calls: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Query,
    Reach(CallId),
    Complete(CallId),
    Reply(CallId),
    Wake(usize),
    Sample,
}

struct SharedTarget {
    running: Vec<CallId>,
    queue: VecDeque<CallId>,
    /// Calls at the target after each change, with the time of the change.
    history: VecDeque<(Instant, u32)>,
    pause_offset: Duration,
}

struct FleetCall {
    vm: usize,
    target: usize,
    load: LoadReport,
    is_shed: bool,
}

struct Fleet {
    load: FleetLoad,
    start: Instant,
    now: Instant,
    engines: Vec<FanoutEngine>,
    plans: Vec<Arc<SnapshotManifest>>,
    targets: Vec<SharedTarget>,
    calls: HashMap<CallId, FleetCall>,
    begun: HashMap<QueryId, Instant>,
    /// When each engine is woken next.
    wakes: Vec<Option<Instant>>,
    events: BinaryHeap<Reverse<(Instant, u64, FleetEvent)>>,
    sequence: u64,
    latencies: Vec<Duration>,
    figures: FleetFigures,
    samples: Vec<f64>,
    next_query: QueryId,
    rng: Pcg64Mcg,
}

/// Plays a load with the given settings of each engine.
pub(crate) fn play(load: FleetLoad, settings: &FanoutSettings, seed: u64) -> FleetFigures {
    let mut fleet = Fleet::new(load, settings, seed);
    fleet.schedule(Duration::ZERO, FleetEvent::Query);
    fleet.schedule(SAMPLE_INTERVAL, FleetEvent::Sample);
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        fleet.now = at;
        fleet.step(event);
        if fleet.next_query > load.queries && fleet.begun.is_empty() {
            break;
        }
    }
    fleet.finish()
}

impl Fleet {
    fn new(load: FleetLoad, settings: &FanoutSettings, seed: u64) -> Fleet {
        let start = Instant::now();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let name = |index: usize| TargetId::from(format!("t{index}"));
        let spec = |index: usize| TargetSpec {
            target: name(index),
            service: format!("s{}", index / REPLICAS).into(),
            provider: "east".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: "a".into(),
            slots: SLOTS as u32,
            connection_limit: 8,
            incarnation: 0,
            phase: TargetPhase::Ready,
            cold_ms: 0,
        };
        let count = load.shards * REPLICAS;
        let specs: Vec<TargetSpec> = (0..count).map(spec).collect();
        let engines = (0..load.vms).map(|vm| {
            let mut settings = settings.clone();
            settings.seed = seed + vm as u64;
            settings.call_id_prefix = vm as u32 + 1;
            let mut engine = FanoutEngine::new(settings);
            engine.apply_targets(specs.clone(), start);
            engine
        });
        let plan = |shard: usize| {
            let replicas = shard * REPLICAS..(shard + 1) * REPLICAS;
            let entry =
                ShardEntry { shard: 0, documents: 1, targets: replicas.map(name).collect() };
            Arc::new(SnapshotManifest {
                service: format!("s{shard}").into(),
                provider: "east".into(),
                index_version: 1,
                shards: vec![entry],
            })
        };
        let interval = load.disturbance.pause.map_or(Duration::ZERO, |(_, interval)| interval);
        let targets = (0..count).map(|_| SharedTarget {
            running: Vec::new(),
            queue: VecDeque::new(),
            history: VecDeque::new(),
            pause_offset: interval.mul_f64(rng.random_range(0.0..1.0)),
        });
        Fleet {
            load,
            start,
            now: start,
            engines: engines.collect(),
            plans: (0..load.shards).map(plan).collect(),
            targets: targets.collect(),
            calls: HashMap::new(),
            begun: HashMap::new(),
            wakes: vec![None; load.vms],
            events: BinaryHeap::new(),
            sequence: 0,
            latencies: Vec::new(),
            figures: FleetFigures::default(),
            samples: Vec::new(),
            next_query: 1,
            rng,
        }
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn step(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Query => self.submit_query(),
            FleetEvent::Reach(call) => self.reach(call),
            FleetEvent::Complete(call) => self.complete(call),
            FleetEvent::Reply(call) => self.reply(call),
            FleetEvent::Wake(vm) => {
                self.wakes[vm] = None;
                let mut actions = Vec::new();
                self.engines[vm].wake(self.now, &mut actions);
                self.perform(vm, actions);
            }
            FleetEvent::Sample => self.sample(),
        }
    }

    /// Submits a query for a random shard at a random VM.
    fn submit_query(&mut self) {
        let query = self.next_query;
        self.next_query += 1;
        let vm = self.rng.random_range(0..self.engines.len());
        let shard = self.rng.random_range(0..self.plans.len());
        let plan = FanoutPlan {
            customer: "library".into(),
            class: "finder".into(),
            manifest: self.plans[shard].clone(),
            deadline: self.now + DEADLINE,
            coverage_floor_permille: 1_000,
            preference: AnswerPreference::Coverage,
            priority: ClassPriority::Interactive,
            urgency: None,
            extra_load_permille: 100,
            objective: Some(self.now + DEADLINE / 3),
            attempt_policy: AttemptPolicy::default(),
        };
        self.begun.insert(query, self.now);
        let mut actions = Vec::new();
        self.engines[vm].submit(query, plan, self.now, &mut actions);
        self.perform(vm, actions);
        if self.next_query <= self.load.queries {
            let mean_percent: u32 = SERVICE_PERCENT.iter().sum::<u32>() / 10;
            let work = SERVICE_TIME.as_secs_f64() * f64::from(mean_percent) / 100.0;
            let slots = (self.targets.len() * SLOTS) as f64;
            let rate = slots / work * f64::from(self.load.utilisation_percent) / 100.0;
            let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
            self.schedule(Duration::from_secs_f64(gap), FleetEvent::Query);
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { call, target, .. } => {
                    self.engines[vm].mark_sent(call, self.now);
                    let target: usize = target[1..].parse().unwrap();
                    let load = LoadReport::default();
                    self.calls.insert(call, FleetCall { vm, target, load, is_shed: false });
                    self.figures.calls += 1;
                    self.schedule(NETWORK_TIME, FleetEvent::Reach(call));
                }
                FanoutAction::Cancel { call, .. } => self.leave(call),
                FanoutAction::Finish { query, result } => {
                    let begun = self.begun.remove(&query).unwrap();
                    self.latencies.push(self.now - begun);
                    self.figures.extra_permille += u64::from(result.extra_calls);
                    self.figures.unanswered += u64::from(result.documents_covered == 0);
                }
                FanoutAction::Merge { .. } => {}
            }
        }
        let due = self.engines[vm].next_wake().map(|at| at.max(self.now));
        if let Some(at) = due.filter(|at| self.wakes[vm].is_none_or(|set| *at < set)) {
            self.wakes[vm] = Some(at);
            self.schedule(at - self.now, FleetEvent::Wake(vm));
        }
    }

    fn reach(&mut self, call: CallId) {
        let Some(index) = self.calls.get(&call).map(|call| call.target) else { return };
        let first = index / REPLICAS * REPLICAS;
        let has_idle = (first..first + REPLICAS).any(|other| {
            self.targets[other].running.len() < SLOTS && self.pause_left(other).is_zero()
        });
        if self.targets[index].running.len() >= SLOTS {
            self.figures.misplaced_permille += u64::from(has_idle);
            if self.targets[index].queue.len() >= QUEUE_LIMIT {
                self.figures.sheds += 1;
                let load = self.report(index);
                let held = self.calls.get_mut(&call).unwrap();
                (held.is_shed, held.load) = (true, load);
                return self.schedule(NETWORK_TIME, FleetEvent::Reply(call));
            }
        }
        self.targets[index].queue.push_back(call);
        self.start_queued(index);
        self.record_change(index);
    }

    fn start_queued(&mut self, index: usize) {
        while self.targets[index].running.len() < SLOTS {
            let Some(call) = self.targets[index].queue.pop_front() else { return };
            self.targets[index].running.push(call);
            let percent = SERVICE_PERCENT[self.rng.random_range(0..SERVICE_PERCENT.len())];
            let work = SERVICE_TIME * percent / 100;
            let work = work.mul_f64(f64::from(self.pace_percent(index, self.now)) / 100.0);
            let wait = self.pause_left(index);
            let pause = self.pause_within(index, work);
            self.schedule(wait + work + pause, FleetEvent::Complete(call));
        }
    }

    fn complete(&mut self, call: CallId) {
        let Some(index) = self.calls.get(&call).map(|call| call.target) else { return };
        let load = self.report(index);
        self.targets[index].running.retain(|other| *other != call);
        self.calls.get_mut(&call).unwrap().load = load;
        self.start_queued(index);
        self.record_change(index);
        self.schedule(NETWORK_TIME, FleetEvent::Reply(call));
    }

    fn reply(&mut self, call: CallId) {
        let Some(FleetCall { vm, load, is_shed, .. }) = self.calls.remove(&call) else { return };
        let event = match is_shed {
            true => {
                let cause = RefusalCause::Shedding;
                FanoutEvent::Refused { call, cause, load, draining: false }
            }
            false => FanoutEvent::Answered { call, documents: 1, load, draining: false },
        };
        let mut actions = Vec::new();
        self.engines[vm].handle(event, self.now, &mut actions);
        self.perform(vm, actions);
    }

    /// Removes a cancelled call from its target.
    fn leave(&mut self, call: CallId) {
        let Some(FleetCall { target, .. }) = self.calls.remove(&call) else { return };
        self.targets[target].running.retain(|other| *other != call);
        self.targets[target].queue.retain(|other| *other != call);
        self.start_queued(target);
        self.record_change(target);
    }

    fn record_change(&mut self, index: usize) {
        let (now, horizon) = (self.now, self.load.news_age);
        let target = &mut self.targets[index];
        let calls = (target.running.len() + target.queue.len()) as u32;
        target.history.push_back((now, calls));
        while target.history.get(1).is_some_and(|(at, _)| *at + horizon <= now) {
            target.history.pop_front();
        }
    }

    /// Returns the load that a target reports, which is as old as the fleet's news.
    fn report(&self, index: usize) -> LoadReport {
        let seen_at = self.now.checked_sub(self.load.news_age).unwrap_or(self.start);
        let history = &self.targets[index].history;
        let seen = history.iter().rev().find(|(at, _)| *at <= seen_at);
        let calls = seen.map_or(0, |(_, calls)| *calls);
        let busy = calls.min(SLOTS as u32);
        let pace_percent = self.pace_percent(index, seen_at);
        LoadReport { busy, queued: calls - busy, slots: SLOTS as u32, pace_percent }
    }

    /// Returns how long work takes on a target at a time, in percent of the usual.
    fn pace_percent(&self, index: usize, at: Instant) -> u32 {
        let Some(phase) = self.load.disturbance.slow_phase else { return 100 };
        let number = at.saturating_duration_since(self.start).as_nanos() / phase.as_nanos();
        let draw = Pcg64Mcg::seed_from_u64(number as u64 * 7_919 + index as u64);
        if draw.clone().random_range(0..6) == 0 { 250 } else { 100 }
    }

    /// Returns how far into the interval of its pauses a target is.
    fn pause_position(&self, index: usize) -> Option<(Duration, Duration, Duration)> {
        let (length, interval) = self.load.disturbance.pause?;
        let since = self.now.saturating_duration_since(self.start);
        let position = (since + self.targets[index].pause_offset).as_nanos() % interval.as_nanos();
        Some((Duration::from_nanos(position as u64), length, interval))
    }

    fn pause_left(&self, index: usize) -> Duration {
        let Some((position, length, _)) = self.pause_position(index) else { return Duration::ZERO };
        length.saturating_sub(position)
    }

    /// Returns the pause that begins within `work` from now.
    fn pause_within(&self, index: usize, work: Duration) -> Duration {
        let Some((position, length, interval)) = self.pause_position(index) else {
            return Duration::ZERO;
        };
        if position >= length && position + work > interval { length } else { Duration::ZERO }
    }

    fn sample(&mut self) {
        let calls = |target: &SharedTarget| (target.running.len() + target.queue.len()) as f64;
        let count = self.targets.len() as f64;
        let mean = self.targets.iter().map(calls).sum::<f64>() / count;
        let square = |target: &SharedTarget| (calls(target) - mean).powi(2);
        let variance = self.targets.iter().map(square).sum::<f64>() / count;
        if mean > 0.0 {
            self.samples.push(variance.sqrt() / mean);
        }
        self.schedule(SAMPLE_INTERVAL, FleetEvent::Sample);
    }

    fn finish(mut self) -> FleetFigures {
        self.latencies.sort();
        let at = |permille: usize| self.latencies[self.latencies.len() * permille / 1_000];
        let samples = self.samples.len().max(1) as f64;
        FleetFigures {
            variation: self.samples.iter().sum::<f64>() / samples,
            misplaced_permille: self.figures.misplaced_permille * 1_000 / self.figures.calls,
            extra_permille: self.figures.extra_permille * 1_000 / self.load.queries,
            p50: at(500),
            p99: at(990),
            ..self.figures
        }
    }
}
