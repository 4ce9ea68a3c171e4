//! A fleet of quarantine engines in virtual time, with targets that end under one request.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::QuarantineEngine;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetEnd;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TrialDecision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_policy::WorkRecord;
use oleanderwind_policy::WorkVerdict;
use oleanderwind_policy::trial_arbiters;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const GOOD_WORKS: usize = 3;
/// Number of the deadly work, after the good ones.
const DEADLY: usize = GOOD_WORKS;
const RUN_TIME: Duration = Duration::from_millis(20);
const DOWN_TIME: Duration = Duration::from_secs(2);
const NEWS_DELAY: Duration = Duration::from_millis(3);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
const HOLD: Duration = Duration::from_secs(2);
const ARBITERS_ASKED: usize = 2;
/// Time after a fault from which on a VM has to keep the rule.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Ends of targets from which on the rule counts.
const COUNTED_ENDS: usize = 3;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FleetStep {
    /// A copy of a work comes to a VM.
    Copy { vm: usize, work: usize },
    /// Copies of the deadly work come to all VMs at the same moment.
    Burst,
    /// A target ends by itself.
    Crash { target: usize },
    /// A VM is killed and starts again.
    Restart { vm: usize },
    /// A VM stands still.
    Freeze { vm: usize, time: Duration },
    /// A VM loses all that is told to it but for heartbeats.
    LoseNews { vm: usize, time: Duration },
    /// The platform lists no new processes.
    Unlist { time: Duration },
    /// Time passes.
    Wait { time: Duration },
}

impl FleetStep {
    /// Returns any step.
    pub(crate) fn any() -> impl Strategy<Value = FleetStep> {
        let time = || (0..3_000_u64).prop_map(Duration::from_millis);
        prop_oneof![
            6 => (0..32_usize).prop_map(|vm| FleetStep::Copy { vm, work: DEADLY }),
            4 => (0..32_usize, 0..GOOD_WORKS).prop_map(|(vm, work)| FleetStep::Copy { vm, work }),
            1 => Just(FleetStep::Burst),
            2 => (0..32_usize).prop_map(|target| FleetStep::Crash { target }),
            1 => (0..32_usize).prop_map(|vm| FleetStep::Restart { vm }),
            1 => (0..32_usize, time()).prop_map(|(vm, time)| FleetStep::Freeze { vm, time }),
            1 => (0..32_usize, time()).prop_map(|(vm, time)| FleetStep::LoseNews { vm, time }),
            1 => (0..20_000_u64)
                .prop_map(|ms| FleetStep::Unlist { time: Duration::from_millis(ms) }),
            6 => time().prop_map(|time| FleetStep::Wait { time }),
            3 => (0..30_u64).prop_map(|ms| FleetStep::Wait { time: Duration::from_millis(ms) }),
        ]
    }
}

/// What became of a history.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetReport {
    /// Copies of the deadly work that reached a target, sent by VMs without a fault of late, later than the stable
    /// time after it had ended the third target.
    pub(crate) late_copies: usize,
    /// Longest time for which a good work was blocked.
    pub(crate) longest_good_block: Duration,
    /// Targets that ended under the deadly work.
    pub(crate) ends: Vec<Instant>,
}

struct SimulatedVm {
    id: VmId,
    engine: QuarantineEngine,
    disturbed_until: Option<Instant>,
    frozen_until: Option<Instant>,
    deaf_until: Option<Instant>,
}

#[derive(Clone, Copy, Default)]
struct SimulatedTarget {
    incarnation: u64,
    /// The incarnation that the platform listed last.
    listed: u64,
    down_until: Option<Instant>,
}

/// A call under way.
#[derive(Clone)]
struct RunningCall {
    vm: usize,
    work: usize,
    target: usize,
    incarnation: u64,
    /// The incarnation that was listed when it was sent.
    listed: u64,
    /// The arbiter and what was known of the work when it permitted the call, if it is a trial.
    trial: Option<(usize, WorkRecord)>,
}

enum FleetEvent {
    Finish(RunningCall),
    News { to: usize, from: usize },
    Heartbeat { vm: usize },
}

/// A fleet, its seed and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct FleetHistory {
    pub(crate) vms: usize,
    pub(crate) targets: usize,
    pub(crate) seed: u64,
    pub(crate) steps: Vec<FleetStep>,
}

struct FleetSimulation {
    now: Instant,
    vms: Vec<SimulatedVm>,
    targets: Vec<SimulatedTarget>,
    unlisted_until: Option<Instant>,
    events: BTreeMap<(Instant, u64), FleetEvent>,
    event_count: u64,
    rng: Pcg64Mcg,
    report: FleetReport,
}

fn fingerprint(work: usize) -> WorkFingerprint {
    WorkFingerprint::of(&[&work.to_le_bytes()])
}

fn service() -> ServiceId {
    "searches".into()
}

fn target_id(target: usize) -> TargetId {
    format!("target-{target}").into()
}

fn is_over(until: Option<Instant>, now: Instant) -> bool {
    until.is_none_or(|until| now >= until)
}

impl FleetHistory {
    /// Plays the history, and a minute of copies after it.
    pub(crate) fn play(&self) -> FleetReport {
        let now = Instant::now();
        let vm = |number: usize| SimulatedVm {
            id: format!("vm-{number}").into(),
            engine: QuarantineEngine::default(),
            disturbed_until: None,
            frozen_until: None,
            deaf_until: None,
        };
        let mut simulation = FleetSimulation {
            now,
            vms: (0..self.vms).map(vm).collect(),
            targets: vec![SimulatedTarget::default(); self.targets],
            unlisted_until: None,
            events: BTreeMap::new(),
            event_count: 0,
            rng: Pcg64Mcg::seed_from_u64(self.seed),
            report: FleetReport::default(),
        };
        for vm in 0..self.vms {
            let delay = HEARTBEAT_PERIOD.mul_f64(simulation.rng.random());
            simulation.schedule(delay, FleetEvent::Heartbeat { vm });
        }
        for step in &self.steps {
            simulation.perform(*step);
        }
        for number in 0..40 {
            simulation.perform(FleetStep::Copy { vm: number, work: DEADLY });
            simulation.advance(Duration::from_millis(1_300));
        }
        simulation.report
    }
}

impl FleetSimulation {
    fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                FleetEvent::Finish(call) => self.finish(&call),
                FleetEvent::News { to, from } => self.tell(to, from),
                FleetEvent::Heartbeat { vm } => self.heartbeat(vm),
            }
            self.check_good_works();
        }
        self.now = end;
    }

    fn perform(&mut self, step: FleetStep) {
        let count = self.vms.len();
        match step {
            FleetStep::Copy { vm, work } => self.receive_copy(vm % count, work),
            FleetStep::Burst => (0..count).for_each(|vm| self.receive_copy(vm, DEADLY)),
            FleetStep::Crash { target } => self.end_target(target % self.targets.len()),
            // A VM without peers has nobody to learn from.
            FleetStep::Restart { vm } if count > 1 => self.restart(vm % count),
            FleetStep::Restart { .. } => {}
            FleetStep::Freeze { vm, time } => {
                let until = self.now + time;
                let vm = &mut self.vms[vm % count];
                vm.frozen_until = vm.frozen_until.max(Some(until));
                vm.disturbed_until = vm.disturbed_until.max(Some(until));
            }
            FleetStep::LoseNews { vm, time } => {
                self.vms[vm % count].deaf_until = Some(self.now + time);
            }
            FleetStep::Unlist { time } => self.unlisted_until = Some(self.now + time),
            FleetStep::Wait { time } => self.advance(time),
        }
    }

    fn is_frozen(&self, vm: usize) -> bool {
        !is_over(self.vms[vm].frozen_until, self.now)
    }

    fn restart(&mut self, vm: usize) {
        self.vms[vm].engine = QuarantineEngine::default();
        self.vms[vm].disturbed_until = self.vms[vm].disturbed_until.max(Some(self.now));
        let teacher = (0..self.vms.len()).find(|peer| *peer != vm && !self.is_frozen(*peer));
        if let Some(teacher) = teacher {
            self.learn_from(vm, teacher);
        }
    }

    fn receive_copy(&mut self, vm: usize, work: usize) {
        if self.is_frozen(vm) {
            return;
        }
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| is_over(self.targets[*target].down_until, self.now))
            .collect();
        let Some(target) = up.get(self.rng.random_range(0..up.len().max(1))).copied() else {
            return;
        };
        match self.vms[vm].engine.verdict(&fingerprint(work), self.now) {
            WorkVerdict::Clear => self.send(vm, work, target, None),
            WorkVerdict::Blocked { .. } => {}
            WorkVerdict::Suspect => {
                if let Some(trial) = self.ask_for_trial(vm, work, target) {
                    self.send(vm, work, target, Some(trial));
                }
            }
        }
    }

    fn ask_for_trial(
        &mut self,
        vm: usize,
        work: usize,
        target: usize,
    ) -> Option<(usize, WorkRecord)> {
        let record = self.vms[vm].engine.record(&fingerprint(work), self.now)?;
        let ids: Vec<VmId> = self.vms.iter().map(|vm| vm.id.clone()).collect();
        for arbiter in trial_arbiters(&service(), &ids).into_iter().take(ARBITERS_ASKED) {
            let arbiter = ids.iter().position(|id| *id == arbiter)?;
            if self.is_frozen(arbiter) {
                continue;
            }
            let engine = &mut self.vms[arbiter].engine;
            let decision = engine.begin_trial(&record, &target_id(target), HOLD, self.now);
            if let Some(held) = engine.record(&record.work, self.now) {
                self.vms[vm].engine.merge(&held, self.now);
            }
            let known = self.vms[vm].engine.record(&record.work, self.now)?;
            return (decision == TrialDecision::Granted).then_some((arbiter, known));
        }
        None
    }

    fn send(&mut self, vm: usize, work: usize, target: usize, trial: Option<(usize, WorkRecord)>) {
        let incarnation = self.targets[target].incarnation;
        if is_over(self.unlisted_until, self.now) {
            self.targets[target].listed = incarnation;
        }
        let listed = self.targets[target].listed;
        let third_end = self.report.ends.get(COUNTED_ENDS - 1);
        let is_late = third_end.is_some_and(|at| self.now > *at + STABLE_TIME);
        let disturbed_until = self.vms[vm].disturbed_until;
        let is_stable = is_over(disturbed_until.map(|until| until + STABLE_TIME), self.now);
        self.report.late_copies += usize::from(work == DEADLY && is_late && is_stable);
        let call = RunningCall { vm, work, target, incarnation, listed, trial };
        self.schedule(RUN_TIME, FleetEvent::Finish(call));
    }

    fn end_target(&mut self, target: usize) {
        if is_over(self.targets[target].down_until, self.now) {
            self.targets[target].incarnation += 1;
            self.targets[target].down_until = Some(self.now + DOWN_TIME);
        }
    }

    fn finish(&mut self, call: &RunningCall) {
        let has_lived = self.targets[call.target].incarnation == call.incarnation;
        if call.work == DEADLY && has_lived {
            self.end_target(call.target);
            self.report.ends.push(self.now);
        }
        let has_answered = has_lived && call.work != DEADLY;
        let work = fingerprint(call.work);
        let target = target_id(call.target);
        let engine = &mut self.vms[call.vm].engine;
        let is_news = match has_answered {
            true => {
                engine.record_recent_answer(call.work as u64, self.now);
                engine.clear(&work, self.now)
            }
            false
                if call.trial.is_none()
                    && engine.is_recently_answered(call.work as u64, self.now) =>
            {
                false
            }
            false => {
                let end = match &call.trial {
                    Some((_, known)) => TargetEnd::in_trial(&target, call.listed, known),
                    None => TargetEnd::outside_trial(&target, call.listed),
                };
                engine.record_end(work, &service(), end, self.now)
            }
        };
        let record = engine.record(&work, self.now);
        if let (Some((arbiter, _)), Some(record)) = (&call.trial, record) {
            self.vms[*arbiter].engine.end_trial(&record, &target, false, self.now);
        }
        if is_news {
            for to in (0..self.vms.len()).filter(|to| *to != call.vm) {
                self.schedule(NEWS_DELAY, FleetEvent::News { to, from: call.vm });
            }
        }
    }

    fn tell(&mut self, to: usize, from: usize) {
        let is_deaf = !is_over(self.vms[to].deaf_until, self.now);
        if !is_deaf && !self.is_frozen(to) && !self.is_frozen(from) {
            for record in self.vms[from].engine.news(self.now) {
                self.vms[to].engine.merge(&record, self.now);
            }
        }
    }

    fn heartbeat(&mut self, vm: usize) {
        self.schedule(HEARTBEAT_PERIOD, FleetEvent::Heartbeat { vm });
        let peer = self.rng.random_range(0..self.vms.len());
        if peer != vm && !self.is_frozen(vm) && !self.is_frozen(peer) {
            self.learn_from(vm, peer);
        }
    }

    fn learn_from(&mut self, vm: usize, peer: usize) {
        let teacher = &self.vms[peer].engine;
        if teacher.digest(self.now) != self.vms[vm].engine.digest(self.now) {
            for record in teacher.shared_records(self.now) {
                self.vms[vm].engine.merge(&record, self.now);
            }
        }
    }

    fn check_good_works(&mut self) {
        for vm in &self.vms {
            for work in 0..GOOD_WORKS {
                if let WorkVerdict::Blocked { retry_after } =
                    vm.engine.verdict(&fingerprint(work), self.now)
                {
                    let longest = &mut self.report.longest_good_block;
                    *longest = (*longest).max(retry_after);
                }
            }
        }
    }
}
