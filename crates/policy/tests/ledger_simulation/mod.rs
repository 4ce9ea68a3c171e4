//! Step-by-step simulation of two engines, the platform, a target and the messages between them.

#![allow(dead_code)] // Each test file uses only some of the items.

mod step;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::ClaimMode;
use oleanderwind_policy::ExecuteOutcome;
use oleanderwind_policy::LedgerAction;
use oleanderwind_policy::LedgerEngine;
use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerKey;
use oleanderwind_policy::LedgerRequest;
use oleanderwind_policy::LedgerSegment;
use oleanderwind_policy::LedgerSettings;
use oleanderwind_policy::RequestOutcome;

pub(crate) use step::Attempt;
pub(crate) use step::InjectedBug;
pub(crate) use step::Message;
pub(crate) use step::Step;

/// Wall time at the start, in milliseconds since 1970.
pub(crate) const START_MS: u64 = 1_800_000_000_000;
/// Time from submission to deadline of an attempt.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SimulatedVm {
    pub(crate) engine: LedgerEngine,
    pub(crate) messages: Vec<Message>,
    pub(crate) elapsed: Duration,
    /// Offset of the wall clock from true time.
    pub(crate) wall_offset: Duration,
    restarts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Simulation {
    pub(crate) vms: Vec<SimulatedVm>,
    /// Stored segments with their revisions, by segment number.
    pub(crate) store: BTreeMap<u64, (u64, LedgerSegment)>,
    revision: u64,
    pub(crate) delayed_writes: Vec<Message>,
    pub(crate) delayed_executions: Vec<u64>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) submitted: usize,
    /// Ids of the requests (indices into `attempts`), in the order in which a target ran them.
    pub(crate) executed: Vec<u64>,
    pub(crate) answers: BTreeMap<u64, (RequestOutcome, Option<String>)>,
    pub(crate) faults_left: u32,
    /// Whether a claim may stay open: set after a crash or an execution of unknown outcome.
    pub(crate) allows_open_claims: bool,
    pub(crate) bug: InjectedBug,
    pub(crate) settings: LedgerSettings,
    /// Provider that the contract names at present.
    pub(crate) provider: &'static str,
    /// Minimum length of a result, in bytes.
    pub(crate) result_bytes: usize,
    start: Instant,
}

pub(crate) fn settings() -> LedgerSettings {
    LedgerSettings {
        mode: ClaimMode::Grouped,
        segments: 1,
        commit_interval: Duration::ZERO,
        backoff: Duration::from_millis(10),
        ..LedgerSettings::default()
    }
}

impl Simulation {
    pub(crate) fn new(
        attempts: &[(&str, u32)],
        settings: LedgerSettings,
        bug: InjectedBug,
    ) -> Simulation {
        let vm = |number: u64| SimulatedVm {
            engine: LedgerEngine::new(LedgerSettings { token_seed: number, ..settings.clone() }),
            messages: Vec::new(),
            elapsed: Duration::ZERO,
            wall_offset: Duration::ZERO,
            restarts: 0,
        };
        Simulation {
            vms: vec![vm(0), vm(1)],
            store: BTreeMap::new(),
            revision: 0,
            delayed_writes: Vec::new(),
            delayed_executions: Vec::new(),
            attempts: attempts
                .iter()
                .map(|(key, number)| Attempt { key: (*key).into(), number: *number })
                .collect(),
            submitted: 0,
            executed: Vec::new(),
            answers: BTreeMap::new(),
            faults_left: 0,
            allows_open_claims: false,
            bug,
            settings,
            provider: "east",
            result_bytes: 0,
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self, vm: usize) -> Instant {
        self.start + self.vms[vm].elapsed
    }

    pub(crate) fn wall_time(&self, vm: usize) -> SystemTime {
        SystemTime::UNIX_EPOCH
            + Duration::from_millis(START_MS)
            + self.vms[vm].elapsed
            + self.vms[vm].wall_offset
    }

    /// Applies one step and returns the engine's actions.
    pub(crate) fn apply(&mut self, step: Step) -> Vec<LedgerAction> {
        match step {
            Step::Submit { vm } => return self.submit(vm),
            Step::Serve { vm, index } => self.serve(vm, index),
            Step::Deliver { vm, index } => return self.deliver(vm, index),
            Step::FailRead { vm, index } => {
                if let Message::Read { segment } = self.vms[vm].messages[index] {
                    self.reply(vm, index, LedgerEvent::ReadFailed { segment });
                }
            }
            Step::LoseReply { vm, index } => {
                self.serve(vm, index);
                self.reply_uncertain(vm, index);
            }
            Step::LoseCall { vm, index } => self.reply_uncertain(vm, index),
            Step::DelayCall { vm, index } => {
                let message = self.vms[vm].messages[index].clone();
                self.queue_delayed(message);
                self.reply_uncertain(vm, index);
            }
            Step::RefuseCall { vm, index } => {
                let event = match &self.vms[vm].messages[index] {
                    Message::Write { segment, .. } => {
                        LedgerEvent::WriteRefused { segment: *segment }
                    }
                    Message::Execute { request, .. } => {
                        finished(*request, ExecuteOutcome::RefusedNotRun)
                    }
                    other => panic!("can't refuse {other:?}"),
                };
                self.reply(vm, index, event);
            }
            Step::NotSent { vm, index } => {
                if let Message::Execute { request, .. } = self.vms[vm].messages[index] {
                    self.reply(vm, index, finished(request, ExecuteOutcome::NotSent));
                }
            }
            Step::Expire { vm } => {
                self.vms[vm].elapsed += REQUEST_TIMEOUT;
                return self.wake(vm);
            }
            Step::Tick { vm } => {
                let due = self.vms[vm].engine.next_wake().unwrap();
                self.vms[vm].elapsed = due.max(self.now(vm)) - self.start;
                return self.wake(vm);
            }
            Step::Crash { vm } => self.crash(vm),
            Step::ApplyDelayedWrite { index } => {
                let message = self.delayed_writes.remove(index);
                self.write(&message);
            }
            Step::ExecuteDelayed { index } => {
                let request = self.delayed_executions.remove(index);
                self.executed.push(request);
            }
        }
        Vec::new()
    }

    /// Returns the target's result for an attempt.
    pub(crate) fn result_text(&self, request: u64) -> String {
        let text = format!("result of attempt {request}");
        format!("{text:.<width$}", width = self.result_bytes)
    }

    fn submit(&mut self, vm: usize) -> Vec<LedgerAction> {
        let id = self.submitted as u64;
        let spec = self.attempts[self.submitted].clone();
        self.submitted += 1;
        let (now, wall_time) = (self.now(vm), self.wall_time(vm));
        let request = LedgerRequest {
            id,
            customer: "salon".into(),
            key: LedgerKey::try_from(spec.key.as_str()).unwrap(),
            attempt: spec.number,
            deadline: now + REQUEST_TIMEOUT,
            wall_deadline: wall_time + REQUEST_TIMEOUT,
        };
        self.call_engine(vm, |engine, actions| engine.submit(request, now, wall_time, actions))
    }

    fn wake(&mut self, vm: usize) -> Vec<LedgerAction> {
        let (now, wall_time) = (self.now(vm), self.wall_time(vm));
        self.call_engine(vm, |engine, actions| engine.wake(now, wall_time, actions))
    }

    fn deliver(&mut self, vm: usize, index: usize) -> Vec<LedgerAction> {
        let Message::Reply(event) = self.vms[vm].messages.remove(index) else {
            panic!("no reply at {index}");
        };
        let (now, wall_time) = (self.now(vm), self.wall_time(vm));
        self.call_engine(vm, |engine, actions| engine.handle(event, now, wall_time, actions))
    }

    fn call_engine(
        &mut self,
        vm: usize,
        call: impl FnOnce(&mut LedgerEngine, &mut Vec<LedgerAction>),
    ) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        call(&mut self.vms[vm].engine, &mut actions);
        for action in actions.clone() {
            let message = match action {
                LedgerAction::ReadSegment { segment } => Message::Read { segment },
                LedgerAction::CreateSegment { segment, body } => {
                    Message::Write { segment, expected: 0, body }
                }
                LedgerAction::UpdateSegment { segment, body, expected } => {
                    Message::Write { segment, expected, body }
                }
                LedgerAction::Dispatch { request, deadline, .. } => {
                    assert!(deadline > self.now(vm), "attempt {request} dispatched late");
                    assert!(
                        !self.answers.contains_key(&request),
                        "attempt {request} dispatched after its answer"
                    );
                    Message::Execute { request, deadline }
                }
                LedgerAction::Answer { request, outcome, result, .. } => {
                    let earlier = self.answers.insert(request, (outcome, result));
                    assert!(earlier.is_none(), "attempt {request} answered twice");
                    continue;
                }
            };
            self.vms[vm].messages.push(message);
        }
        actions
    }

    fn serve(&mut self, vm: usize, index: usize) {
        let message = self.vms[vm].messages[index].clone();
        let event = match &message {
            Message::Read { segment } => {
                let stored = self.store.get(segment).cloned();
                LedgerEvent::SegmentRead {
                    segment: *segment,
                    revision: stored.as_ref().map_or(0, |(revision, _)| *revision),
                    body: stored.map(|(_, body)| body),
                }
            }
            Message::Write { segment, .. } => match self.write(&message) {
                Some(revision) => LedgerEvent::WriteAccepted { segment: *segment, revision },
                None => LedgerEvent::WriteConflict { segment: *segment },
            },
            Message::Execute { request, .. } => {
                self.executed.push(*request);
                let outcome = ExecuteOutcome::Done {
                    provider: self.provider.into(),
                    result: self.result_text(*request),
                };
                finished(*request, outcome)
            }
            Message::Reply(_) => panic!("a reply is delivered, not served"),
        };
        self.reply(vm, index, event);
    }

    fn write(&mut self, message: &Message) -> Option<u64> {
        let Message::Write { segment, expected, body } = message else {
            return None;
        };
        let current = self.store.get(segment).map_or(0, |(revision, _)| *revision);
        if current != *expected && self.bug != InjectedBug::IgnoredRevision {
            return None;
        }
        self.revision += 1;
        self.store.insert(*segment, (self.revision, body.clone()));
        Some(self.revision)
    }

    fn reply_uncertain(&mut self, vm: usize, index: usize) {
        let event = match &self.vms[vm].messages[index] {
            Message::Write { segment, .. }
            | Message::Reply(
                LedgerEvent::WriteAccepted { segment, .. } | LedgerEvent::WriteConflict { segment },
            ) => match self.bug {
                InjectedBug::AssumedAcceptance => {
                    LedgerEvent::WriteAccepted { segment: *segment, revision: self.revision + 1 }
                }
                InjectedBug::None | InjectedBug::IgnoredRevision => {
                    LedgerEvent::WriteUncertain { segment: *segment }
                }
            },
            Message::Execute { request, .. }
            | Message::Reply(LedgerEvent::ExecuteFinished { request, .. }) => {
                self.allows_open_claims = true;
                finished(*request, ExecuteOutcome::Uncertain)
            }
            other => panic!("can't lose {other:?}"),
        };
        self.reply(vm, index, event);
    }

    fn reply(&mut self, vm: usize, index: usize, event: LedgerEvent) {
        self.vms[vm].messages[index] = Message::Reply(event);
    }

    fn queue_delayed(&mut self, message: Message) {
        match message {
            Message::Write { .. } => self.delayed_writes.push(message),
            Message::Execute { request, .. } => self.delayed_executions.push(request),
            Message::Read { .. } | Message::Reply(_) => {}
        }
    }

    fn crash(&mut self, vm: usize) {
        self.allows_open_claims = true;
        for message in std::mem::take(&mut self.vms[vm].messages) {
            self.queue_delayed(message);
        }
        self.vms[vm].restarts += 1;
        let token_seed = 10 * self.vms[vm].restarts + vm as u64;
        let settings = LedgerSettings { token_seed, ..self.settings.clone() };
        self.vms[vm].engine = LedgerEngine::new(settings);
    }
}

fn finished(request: u64, outcome: ExecuteOutcome) -> LedgerEvent {
    LedgerEvent::ExecuteFinished { request, outcome }
}
