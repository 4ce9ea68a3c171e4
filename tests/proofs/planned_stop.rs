//! Planned stops cut and refuse no request.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::FailureMode;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::StandinSettings;

use crate::support::ProcessFleet;
use crate::support::TestCaller;
use crate::support::TestFleet;
use crate::support::wait_for;

/// Customer of every request here.
const CUSTOMER: &str = "tsagaan-ordon";
/// Pause of a caller between two requests.
const THINK_TIME: Duration = Duration::from_millis(20);
/// How long a caller keeps its address answer when the VM says 200 ms.
const KEEP_TIME: Duration = Duration::from_millis(200);

/// What the callers of a test saw.
#[derive(Default)]
struct CallerTally {
    served: Cell<u32>,
    cut: Cell<u32>,
    refused: RefCell<Vec<String>>,
    is_over: Cell<bool>,
}

/// Asks for addresses, uses one of them for as long as the answer may be kept, asks again.
async fn keep_calling(mut turn: usize, seeds: Rc<RefCell<Vec<String>>>, tally: Rc<CallerTally>) {
    let caller = TestCaller::new();
    while !tally.is_over.get() {
        let seed = seeds.borrow()[0].clone();
        let Some(answer) = caller.addresses(&seed, CUSTOMER).await else {
            tally.cut.set(tally.cut.get() + 1);
            continue;
        };
        let end = Instant::now() + KEEP_TIME.min(Duration::from_millis(answer.keep_ms));
        let vm = answer.addresses[turn % answer.addresses.len()].clone();
        turn += 1;
        while Instant::now() < end && !tally.is_over.get() {
            note(&tally, caller.search(&vm, CUSTOMER, "trainer-lookup", "board").await);
            tokio::time::sleep(THINK_TIME).await;
        }
    }
}

fn note(tally: &CallerTally, answer: Option<oleanderwind_wire::CallerAnswer>) {
    match answer {
        None => tally.cut.set(tally.cut.get() + 1),
        Some(answer) => match answer.outcome {
            RequestOutcome::Answered | RequestOutcome::Partial => {
                tally.served.set(tally.served.get() + 1);
            }
            RequestOutcome::NotRun | RequestOutcome::Unknown => {
                tally.refused.borrow_mut().push(format!("{:?}", answer.refusal));
            }
        },
    }
}

/// Three VMs that all know of each other.
async fn start_fleet() -> TestFleet {
    let settings =
        StandinSettings { vm_list_lag: Duration::from_millis(50), ..StandinSettings::default() };
    let fleet = TestFleet::start(settings, 3).await;
    for vm in 0..3 {
        let address = fleet.caller_address(vm);
        wait_for("the VM lists all three", async || {
            let answer = fleet.caller.addresses(&address, CUSTOMER).await;
            answer.is_some_and(|answer| answer.addresses.len() == 3)
        })
        .await;
    }
    fleet
}

fn start_callers(seeds: &Rc<RefCell<Vec<String>>>, tally: &Rc<CallerTally>) {
    for turn in 0..8 {
        actix_rt::spawn(keep_calling(turn, seeds.clone(), tally.clone()));
    }
}

async fn finish(tally: &CallerTally) {
    tokio::time::sleep(3 * KEEP_TIME).await;
    tally.is_over.set(true);
    println!("{} served, {} cut", tally.served.get(), tally.cut.get());
    assert!(tally.served.get() > 0);
    assert_eq!(tally.cut.get(), 0, "requests cut");
    assert_eq!(*tally.refused.borrow(), Vec::<String>::new(), "requests refused");
}

/// Replaces every VM, one after the other; the newest one is the seed that callers ask.
async fn replace_every_vm(fleet: &mut TestFleet, seeds: &Rc<RefCell<Vec<String>>>) {
    for old in 0..3 {
        let fresh = fleet.add_vm().await;
        seeds.borrow_mut()[0] = fleet.caller_address(fresh);
        fleet.vms[old].drain().await;
        let name = fleet.vms[old].addresses().vm.clone();
        let spec = serde_json::json!({"vm": name, "phase": "leaving"});
        fleet.standin.put_object("vms", &name, &spec);
    }
}

#[actix_rt::test]
async fn rolling_replacement_cuts_no_request() {
    let mut fleet = start_fleet().await;
    let seeds = Rc::new(RefCell::new(vec![fleet.caller_address(2)]));
    let tally = Rc::new(CallerTally::default());
    start_callers(&seeds, &tally);
    replace_every_vm(&mut fleet, &seeds).await;
    finish(&tally).await;
}

#[actix_rt::test]
async fn stop_during_a_platform_outage_cuts_no_request() {
    let fleet = start_fleet().await;
    let seeds = Rc::new(RefCell::new(vec![fleet.caller_address(2)]));
    let tally = Rc::new(CallerTally::default());
    start_callers(&seeds, &tally);
    let fault = PlatformFault::Outage { manner: FailureMode::Silent };
    fleet.standin.apply_platform_fault(fault);
    fleet.vms[0].drain().await;
    finish(&tally).await;
}

#[actix_rt::test]
async fn stop_of_two_vms_at_once_cuts_no_request() {
    let fleet = start_fleet().await;
    let seeds = Rc::new(RefCell::new(vec![fleet.caller_address(2)]));
    let tally = Rc::new(CallerTally::default());
    start_callers(&seeds, &tally);
    futures_util::future::join(fleet.vms[0].drain(), fleet.vms[1].drain()).await;
    finish(&tally).await;
}

#[actix_rt::test]
async fn two_sigterms_still_end_gracefully() {
    let mut fleet = ProcessFleet::start("tsagaan", 1).await;
    let vm = fleet.vms[0].address("caller");
    let answer = fleet.caller.search(&vm, CUSTOMER, "module-finder", "budget").await;
    assert!(answer.is_some());
    fleet.vms[0].signal("TERM");
    fleet.vms[0].signal("TERM");
    let answer = fleet.caller.search(&vm, CUSTOMER, "module-finder", "budget").await;
    assert_eq!(answer.unwrap().outcome, RequestOutcome::Answered);
    let process = &mut fleet.vms[0];
    wait_for("the daemon ends", async || process.exit_code().is_some()).await;
    assert_eq!(fleet.vms[0].exit_code(), Some(0));
}
