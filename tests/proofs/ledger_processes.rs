//! At-most-once execution while VM processes are killed or frozen.
//!
//! Guards against a second run of an operation when its VM dies after the claim, or resumes from a
//! freeze after another VM has retried the operation.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::CallKind;
use oleanderwind_standin::ExecutionRecord;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::PlatformReport;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::support::OperationRecorder;
use crate::support::ProcessFleet;
use crate::support::count_runs;
use crate::support::wait_for;

/// Seeds of the kills.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Operations sent under each seed.
const KEYS: usize = 240;
/// Concurrent callers.
const CALLERS: usize = 8;
/// VMs killed under each seed, each replaced by a new one.
const KILLS: usize = 3;
/// Most attempts of one key.
const MAX_TRIES: usize = 4;
/// Delay of each platform call, which leaves time to freeze a VM during one, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 150;
/// Deadline of the attempts on the frozen VM, in milliseconds.
const FROZEN_DEADLINE_MS: u64 = 700;

/// Returns every run of an operation so far.
async fn executions(fleet: &ProcessFleet) -> Vec<ExecutionRecord> {
    let control = fleet.standin.address("control");
    let runs = fleet.caller.get(&control, "/control/executions").await.unwrap();
    serde_json::from_value(runs).unwrap()
}

/// Counts the calls of some kinds on the ledger's objects so far.
async fn ledger_calls(fleet: &ProcessFleet, kinds: &[CallKind]) -> u64 {
    let control = fleet.standin.address("control");
    let report = fleet.caller.get(&control, "/control/platform").await.unwrap();
    let report: PlatformReport = serde_json::from_value(report).unwrap();
    let counts = report.calls.iter().filter(|count| count.kind == "ledger");
    counts.filter(|count| kinds.contains(&count.call)).map(|count| count.count).sum()
}

async fn inject_platform_fault(fleet: &ProcessFleet, fault: PlatformFault) {
    let control = fleet.standin.address("control");
    let body = serde_json::to_value(fault).unwrap();
    fleet.caller.post(&control, "/control/platform", &body).await;
}

/// State that the callers of one seed share.
struct SharedRun {
    recorder: OperationRecorder,
    addresses: RefCell<Vec<String>>,
    remaining: Cell<usize>,
    unanswered: Cell<usize>,
    /// Numbers of started keys at which a VM is killed, ascending.
    kills_due: RefCell<VecDeque<usize>>,
}

impl SharedRun {
    /// Sends operations until no key remains, each with a few attempts at random VMs.
    async fn send_operations(&self, seed: u64) {
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        while self.remaining.get() > 0 {
            self.remaining.set(self.remaining.get() - 1);
            let mut attempt = self.recorder.new_key();
            for _ in 0..MAX_TRIES {
                let vm = {
                    let addresses = self.addresses.borrow();
                    addresses[generator.random_range(0..addresses.len())].clone()
                };
                match self.recorder.send(&vm, &attempt).await {
                    Some(received) if received.is_answered() => break,
                    Some(_) => {}
                    None => self.unanswered.set(self.unanswered.get() + 1),
                }
                attempt = attempt.next();
            }
        }
    }

    /// Returns whether the next kill is due.
    fn is_kill_due(&self) -> bool {
        let begun = KEYS - self.remaining.get();
        self.kills_due.borrow().front().is_some_and(|due| begun >= *due)
    }
}

/// Kills a random VM whenever a kill is due, and starts a replacement.
async fn kill_vms(fleet: &mut ProcessFleet, run: &SharedRun, generator: &mut Pcg64Mcg) {
    let mut live: Vec<usize> = (0..fleet.vms.len()).collect();
    while !run.kills_due.borrow().is_empty() {
        if !run.is_kill_due() {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        }
        run.kills_due.borrow_mut().pop_front();
        let vm = live.swap_remove(generator.random_range(0..live.len()));
        fleet.vms[vm].signal("KILL");
        live.push(fleet.add_vm().await);
        let addresses = live.iter().map(|vm| fleet.vms[*vm].address("caller")).collect();
        *run.addresses.borrow_mut() = addresses;
    }
}

async fn execute_under_kills(seed: u64) {
    let mut fleet = ProcessFleet::start("tsagaan", 3).await;
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut kills: Vec<usize> = (0..KILLS).map(|_| generator.random_range(20..KEYS - 20)).collect();
    kills.sort_unstable();
    let run = Rc::new(SharedRun {
        recorder: OperationRecorder::new(&fleet.caller),
        addresses: RefCell::new(fleet.vms.iter().map(|vm| vm.address("caller")).collect()),
        remaining: Cell::new(KEYS),
        unanswered: Cell::new(0),
        kills_due: RefCell::new(kills.into()),
    });
    let callers = (0..CALLERS as u64).map(|caller| run.send_operations(seed * 100 + caller));
    join(join_all(callers), kill_vms(&mut fleet, &run, &mut generator)).await;
    let runs = executions(&fleet).await;
    run.recorder.check(&runs);
    println!(
        "seed {seed}: {} runs of {KEYS} keys, {} answered, {} not run, {} unknown, {} unanswered",
        runs.len(),
        run.recorder.count(RequestOutcome::Answered),
        run.recorder.count(RequestOutcome::NotRun),
        run.recorder.count(RequestOutcome::Unknown),
        run.unanswered.get()
    );
    assert!(runs.len() > KEYS / 2, "the kills must not stop the operations");
}

#[actix_rt::test]
async fn execute_runs_at_most_once_while_vms_are_killed() {
    for seed in SEEDS {
        execute_under_kills(seed).await;
    }
}

/// The step of an attempt at which its VM is frozen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FreezePoint {
    /// While its read of the ledger segment is in flight.
    Reading,
    /// While the write of its claim is in flight.
    Claiming,
}

/// Freezes a VM during an attempt, retries on another VM and resumes the first.
///
/// With `is_late` the VM resumes only after the deadline of its attempt.
async fn freeze_and_retry(point: FreezePoint, is_late: bool) {
    let fleet = ProcessFleet::start("tsagaan", 2).await;
    let recorder = OperationRecorder::new(&fleet.caller);
    let (frozen, other) = (fleet.vms[0].address("caller"), fleet.vms[1].address("caller"));
    inject_platform_fault(&fleet, PlatformFault::Slow { extra_ms: PLATFORM_DELAY_MS }).await;
    let first = recorder.new_key().within(FROZEN_DEADLINE_MS);
    let kinds: &[CallKind] = match point {
        FreezePoint::Reading => &[CallKind::Get],
        FreezePoint::Claiming => &[CallKind::Create, CallKind::Update],
    };
    let retry = async {
        wait_for("the platform received the call", async || ledger_calls(&fleet, kinds).await > 0)
            .await;
        fleet.vms[0].signal("STOP");
        inject_platform_fault(&fleet, PlatformFault::Clear).await;
        // Waits until the platform has processed the delayed call of the frozen VM.
        tokio::time::sleep(Duration::from_millis(PLATFORM_DELAY_MS)).await;
        let received = recorder.send(&other, &first.next()).await.unwrap();
        if is_late {
            tokio::time::sleep(Duration::from_millis(FROZEN_DEADLINE_MS)).await;
        }
        fleet.vms[0].signal("CONT");
        received
    };
    let (resumed, retried) = join(recorder.send(&frozen, &first), retry).await;
    let later = recorder.retry_until_answered(&other, &first.next().next()).await;
    println!(
        "{point:?} late {is_late}: {:?}",
        [&resumed.unwrap(), &retried, &later].map(|received| {
            let (outcome, reason) = received.outcome_and_reason();
            format!("{outcome:?} {reason}")
        })
    );
    let runs = executions(&fleet).await;
    assert_eq!(count_runs(&runs, &first.key), 1, "{runs:?}");
    recorder.check(&runs);
}

#[actix_rt::test]
async fn execute_runs_once_when_a_frozen_vm_resumes() {
    for point in [FreezePoint::Reading, FreezePoint::Claiming] {
        for is_late in [false, true] {
            freeze_and_retry(point, is_late).await;
        }
    }
}
