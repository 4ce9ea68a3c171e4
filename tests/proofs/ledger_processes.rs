//! Operations over VMs that are killed or frozen, as processes of their own.

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
/// Keys booked under each seed.
const KEYS: usize = 240;
/// Callers that book at once.
const CALLERS: usize = 8;
/// VMs killed under each seed, each replaced by a new one.
const KILLS: usize = 3;
/// Most tries of one key.
const MAX_TRIES: usize = 4;
/// Additional time of each platform call while a VM is frozen between two of them.
const SLOW_MS: u64 = 150;
/// Deadline of the frozen tries.
const FROZEN_DEADLINE_MS: u64 = 700;

/// Every run of an operation so far.
async fn executions(fleet: &ProcessFleet) -> Vec<ExecutionRecord> {
    let control = fleet.standin.address("control");
    let runs = fleet.caller.get(&control, "/control/executions").await.unwrap();
    serde_json::from_value(runs).unwrap()
}

/// Calls of one kind on the ledger's objects so far.
async fn ledger_calls(fleet: &ProcessFleet, kinds: &[CallKind]) -> u64 {
    let control = fleet.standin.address("control");
    let report = fleet.caller.get(&control, "/control/platform").await.unwrap();
    let report: PlatformReport = serde_json::from_value(report).unwrap();
    let counts = report.calls.iter().filter(|count| count.kind == "ledger");
    counts.filter(|count| kinds.contains(&count.call)).map(|count| count.count).sum()
}

async fn order(fleet: &ProcessFleet, fault: PlatformFault) {
    let control = fleet.standin.address("control");
    let body = serde_json::to_value(fault).unwrap();
    fleet.caller.post(&control, "/control/platform", &body).await;
}

/// What the callers of one seed share.
struct BookingRun {
    record: OperationRecorder,
    addresses: RefCell<Vec<String>>,
    left: Cell<usize>,
    cut: Cell<usize>,
    /// Counts of keys begun at which a VM is killed.
    kills_due: RefCell<VecDeque<usize>>,
}

impl BookingRun {
    /// Books keys until none is left, each with a few tries at VMs drawn from the seed.
    async fn book(&self, seed: u64) {
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        while self.left.get() > 0 {
            self.left.set(self.left.get() - 1);
            let mut asked = self.record.new_key();
            for _ in 0..MAX_TRIES {
                let vm = {
                    let addresses = self.addresses.borrow();
                    addresses[generator.random_range(0..addresses.len())].clone()
                };
                match self.record.send(&vm, &asked).await {
                    Some(received) if received.is_answered() => break,
                    Some(_) => {}
                    None => self.cut.set(self.cut.get() + 1),
                }
                asked = asked.next();
            }
        }
    }

    /// Whether the next kill is due.
    fn is_kill_due(&self) -> bool {
        let begun = KEYS - self.left.get();
        self.kills_due.borrow().front().is_some_and(|due| begun >= *due)
    }
}

/// Kills a VM drawn from the seed whenever a kill is due, and starts another one.
async fn kill_vms(fleet: &mut ProcessFleet, run: &BookingRun, generator: &mut Pcg64Mcg) {
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

async fn book_under_kills(seed: u64) {
    let mut fleet = ProcessFleet::start("tsagaan", 3).await;
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut kills: Vec<usize> = (0..KILLS).map(|_| generator.random_range(20..KEYS - 20)).collect();
    kills.sort_unstable();
    let run = Rc::new(BookingRun {
        record: OperationRecorder::new(&fleet.caller),
        addresses: RefCell::new(fleet.vms.iter().map(|vm| vm.address("caller")).collect()),
        left: Cell::new(KEYS),
        cut: Cell::new(0),
        kills_due: RefCell::new(kills.into()),
    });
    let callers = (0..CALLERS as u64).map(|caller| run.book(seed * 100 + caller));
    join(join_all(callers), kill_vms(&mut fleet, &run, &mut generator)).await;
    let runs = executions(&fleet).await;
    run.record.check(&runs);
    println!(
        "seed {seed}: {} runs of {KEYS} keys, {} answered, {} not run, {} unknown, {} cut",
        runs.len(),
        run.record.count(RequestOutcome::Answered),
        run.record.count(RequestOutcome::NotRun),
        run.record.count(RequestOutcome::Unknown),
        run.cut.get()
    );
    assert!(runs.len() > KEYS / 2, "the kills must not stop the operations");
}

#[actix_rt::test]
async fn execute_runs_at_most_once_while_vms_are_killed() {
    for seed in SEEDS {
        book_under_kills(seed).await;
    }
}

/// Where a VM is frozen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FreezePoint {
    /// Its read of the segment is under way.
    Reading,
    /// Its claim is under way.
    Claiming,
}

/// Freezes a VM within a try, tries the key elsewhere, and wakes the VM in time or too late.
async fn freeze_and_retry(point: FreezePoint, is_late: bool) {
    let fleet = ProcessFleet::start("tsagaan", 2).await;
    let record = OperationRecorder::new(&fleet.caller);
    let (frozen, other) = (fleet.vms[0].address("caller"), fleet.vms[1].address("caller"));
    order(&fleet, PlatformFault::Slow { extra_ms: SLOW_MS }).await;
    let first = record.new_key().within(FROZEN_DEADLINE_MS);
    let kinds: &[CallKind] = match point {
        FreezePoint::Reading => &[CallKind::Get],
        FreezePoint::Claiming => &[CallKind::Create, CallKind::Update],
    };
    let retry = async {
        wait_for("the call arrived", async || ledger_calls(&fleet, kinds).await > 0).await;
        fleet.vms[0].signal("STOP");
        order(&fleet, PlatformFault::Clear).await;
        // The frozen VM's call is through once it has no time left at the platform.
        tokio::time::sleep(Duration::from_millis(SLOW_MS)).await;
        let received = record.send(&other, &first.next()).await.unwrap();
        if is_late {
            tokio::time::sleep(Duration::from_millis(FROZEN_DEADLINE_MS)).await;
        }
        fleet.vms[0].signal("CONT");
        received
    };
    let (woken, retried) = join(record.send(&frozen, &first), retry).await;
    let later = record.retry_until_answered(&other, &first.next().next()).await;
    println!(
        "{point:?} late {is_late}: {:?}",
        [&woken.unwrap(), &retried, &later].map(|received| {
            let (outcome, reason) = received.outcome_and_reason();
            format!("{outcome:?} {reason}")
        })
    );
    let runs = executions(&fleet).await;
    assert_eq!(count_runs(&runs, &first.key), 1, "{runs:?}");
    record.check(&runs);
}

#[actix_rt::test]
async fn execute_runs_once_when_a_frozen_vm_wakes() {
    for point in [FreezePoint::Reading, FreezePoint::Claiming] {
        for is_late in [false, true] {
            freeze_and_retry(point, is_late).await;
        }
    }
}
