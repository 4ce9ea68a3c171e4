//! Prints the ledger's calls to the platform at several claim rates, in virtual time.
//!
//! A read takes 3 ms, a write 5 ms and a dispatched request 10 ms. Keys are random, so that with
//! several VMs all of them write to each segment.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::ExecuteOutcome;
use oleanderwind_policy::LedgerAction;
use oleanderwind_policy::LedgerEngine;
use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerKey;
use oleanderwind_policy::LedgerRequest;
use oleanderwind_policy::LedgerSegment;
use oleanderwind_policy::LedgerSettings;
use oleanderwind_policy::Revision;
use oleanderwind_policy::RunState;
use oleanderwind_policy::SegmentId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const READ_MS: u64 = 3;
const WRITE_MS: u64 = 5;
const EXECUTE_MS: u64 = 10;
const SECONDS: u64 = 5;
/// Time until a request's deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

/// Result of an action, to be delivered to an engine.
struct Reply {
    vm: usize,
    event: LedgerEvent,
}

/// Call in flight to the platform or a target.
enum Call {
    Read(SegmentId),
    Write { segment: SegmentId, body: LedgerSegment, expected: Revision },
    Execute(u64),
}

#[derive(Default)]
struct Counts {
    submitted: u64,
    ran: u64,
    waited_ms: u64,
    reads: u64,
    writes: u64,
    conflicts: u64,
    written_bytes: usize,
}

struct LedgerFleet {
    engines: Vec<LedgerEngine>,
    /// Segments stored by the platform.
    store: BTreeMap<SegmentId, (Revision, LedgerSegment)>,
    /// Calls in flight with the calling VM, by the time of their completion.
    calls: BTreeMap<u64, Vec<(usize, Call)>>,
    start: Instant,
    now_ms: u64,
    counts: Counts,
    /// Submission time of each request.
    submitted_ms: Vec<u64>,
    rng: Pcg64Mcg,
}

impl LedgerFleet {
    fn new(vms: usize, segments: u64, commit_interval: Duration) -> LedgerFleet {
        let engine = |vm: usize| {
            let token_seed = vm as u64;
            LedgerEngine::new(LedgerSettings {
                segments,
                commit_interval,
                token_seed,
                ..LedgerSettings::default()
            })
        };
        LedgerFleet {
            engines: (0..vms).map(engine).collect(),
            store: BTreeMap::new(),
            calls: BTreeMap::new(),
            start: Instant::now(),
            now_ms: 0,
            counts: Counts::default(),
            submitted_ms: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(1),
        }
    }

    fn clock_times(&self) -> (Instant, SystemTime) {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_millis(START_MS + self.now_ms);
        (self.start + Duration::from_millis(self.now_ms), wall)
    }

    fn run(&mut self, claims_per_second: u64) {
        for now_ms in 0..SECONDS * 1_000 {
            self.now_ms = now_ms;
            let due = (now_ms + 1) * claims_per_second / 1_000;
            while self.counts.submitted < due {
                self.submit();
            }
            for (vm, call) in self.calls.remove(&now_ms).unwrap_or_default() {
                let event = self.complete_call(call);
                self.deliver(Reply { vm, event });
            }
            for vm in 0..self.engines.len() {
                self.drive(vm, |engine, (now, wall), actions| engine.wake(now, wall, actions));
            }
        }
    }

    fn submit(&mut self) {
        let vm = self.rng.random_range(0..self.engines.len());
        let id = self.counts.submitted;
        self.counts.submitted += 1;
        self.submitted_ms.push(self.now_ms);
        let (now, wall) = self.clock_times();
        let text = format!("{}-{:x}", START_MS + self.now_ms, self.rng.random::<u64>());
        let Ok(key) = LedgerKey::try_from(text.as_str()) else { return };
        let request = LedgerRequest {
            id,
            customer: "cooperative".into(),
            key,
            attempt: 1,
            deadline: now + REQUEST_TIMEOUT,
            wall_deadline: wall + REQUEST_TIMEOUT,
        };
        self.drive(vm, |engine, (now, wall), actions| engine.submit(request, now, wall, actions));
    }

    fn deliver(&mut self, reply: Reply) {
        self.drive(reply.vm, |engine, (now, wall), actions| {
            engine.handle(reply.event, now, wall, actions);
        });
    }

    fn drive(
        &mut self,
        vm: usize,
        run: impl FnOnce(&mut LedgerEngine, (Instant, SystemTime), &mut Vec<LedgerAction>),
    ) {
        let mut actions = Vec::new();
        let times = self.clock_times();
        run(&mut self.engines[vm], times, &mut actions);
        for action in actions {
            self.start_action(vm, action);
        }
    }

    fn start_action(&mut self, vm: usize, action: LedgerAction) {
        let (delay, call) = match action {
            LedgerAction::ReadSegment { segment } => (READ_MS, Call::Read(segment)),
            LedgerAction::CreateSegment { segment, body } => {
                (WRITE_MS, Call::Write { segment, body, expected: 0 })
            }
            LedgerAction::UpdateSegment { segment, body, expected } => {
                (WRITE_MS, Call::Write { segment, body, expected })
            }
            LedgerAction::Dispatch { request, .. } => (EXECUTE_MS, Call::Execute(request)),
            LedgerAction::Answer { request, ran, .. } => {
                self.counts.ran += u64::from(ran == RunState::Yes);
                self.counts.waited_ms += self.now_ms - self.submitted_ms[request as usize];
                return;
            }
        };
        self.calls.entry(self.now_ms + delay).or_default().push((vm, call));
    }

    fn complete_call(&mut self, call: Call) -> LedgerEvent {
        match call {
            Call::Read(segment) => {
                self.counts.reads += 1;
                let held = self.store.get(&segment).cloned();
                let revision = held.as_ref().map_or(0, |held| held.0);
                LedgerEvent::SegmentRead { segment, body: held.map(|held| held.1), revision }
            }
            Call::Write { segment, body, expected } => {
                self.counts.writes += 1;
                let held = self.store.get(&segment).map_or(0, |held| held.0);
                if held != expected {
                    self.counts.conflicts += 1;
                    return LedgerEvent::WriteConflict { segment };
                }
                let bytes = serde_json::to_vec(&body).map_or(0, |json| json.len());
                self.counts.written_bytes += bytes;
                self.store.insert(segment, (held + 1, body));
                LedgerEvent::WriteAccepted { segment, revision: held + 1 }
            }
            Call::Execute(request) => {
                let result = "r".repeat(40);
                let outcome = ExecuteOutcome::Done { provider: "east".into(), result };
                LedgerEvent::ExecuteFinished { request, outcome }
            }
        }
    }
}

fn main() {
    println!(
        "{:>4} {:>9} {:>9} {:>9} {:>8} {:>9} {:>12} {:>12} {:>8}",
        "VMs",
        "segments",
        "every ms",
        "claims/s",
        "reads/s",
        "writes/s",
        "conflicts/s",
        "bytes/write",
        "mean ms"
    );
    for (vms, segments, commit_ms) in [(1, 64, 20), (1, 64, 200), (1, 8, 20), (8, 64, 20)] {
        for claims_per_second in [20, 100, 300, 600] {
            let mut fleet = LedgerFleet::new(vms, segments, Duration::from_millis(commit_ms));
            fleet.run(claims_per_second);
            let counts = &fleet.counts;
            println!(
                "{vms:>4} {segments:>9} {commit_ms:>9} {claims_per_second:>9} {:>8} {:>9} {:>12} \
                 {:>12} {:>8}",
                counts.reads / SECONDS,
                counts.writes / SECONDS,
                counts.conflicts / SECONDS,
                counts.written_bytes / (counts.writes - counts.conflicts) as usize,
                counts.waited_ms / counts.ran,
            );
        }
    }
}
