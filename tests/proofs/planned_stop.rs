//! Planned stops of VMs.
//!
//! Guards against requests that get no answer or are refused while callers still use the addresses
//! of a draining VM.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinSettings;

use crate::support::ProcessFleet;
use crate::support::TestCaller;
use crate::support::TestFleet;
use crate::support::wait_for;

/// Customer of every request.
const CUSTOMER: &str = "tsagaan-ordon";
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Longest time that a caller uses an address answer; VMs announce the same 200 ms.
const ADDRESS_LIFETIME: Duration = Duration::from_millis(200);

/// Counts the results of all callers of a test.
#[derive(Default)]
struct CallerTally {
    served: Cell<u32>,
    unanswered: Cell<u32>,
    refused: RefCell<Vec<String>>,
    is_over: Cell<bool>,
}

/// Requests addresses, calls one of them until the answer expires, and repeats.
async fn run_caller(mut turn: usize, seeds: Rc<RefCell<Vec<String>>>, tally: Rc<CallerTally>) {
    let caller = TestCaller::new();
    while !tally.is_over.get() {
        let seed = seeds.borrow()[0].clone();
        let Some(answer) = caller.addresses(&seed, CUSTOMER).await else {
            tally.unanswered.set(tally.unanswered.get() + 1);
            continue;
        };
        let end = Instant::now() + ADDRESS_LIFETIME.min(Duration::from_millis(answer.keep_ms));
        let vm = answer.addresses[turn % answer.addresses.len()].clone();
        turn += 1;
        while Instant::now() < end && !tally.is_over.get() {
            record(&tally, caller.search(&vm, CUSTOMER, "trainer-lookup", "board").await);
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }
}

fn record(tally: &CallerTally, answer: Option<oleanderwind_wire::CallerAnswer>) {
    match answer {
        None => tally.unanswered.set(tally.unanswered.get() + 1),
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

/// Starts three VMs and waits until each lists all three.
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
        actix_rt::spawn(run_caller(turn, seeds.clone(), tally.clone()));
    }
}

async fn assert_no_request_lost(tally: &CallerTally) {
    tokio::time::sleep(3 * ADDRESS_LIFETIME).await;
    tally.is_over.set(true);
    println!("{} served, {} unanswered", tally.served.get(), tally.unanswered.get());
    assert!(tally.served.get() > 0);
    assert_eq!(tally.unanswered.get(), 0, "requests without an answer");
    assert_eq!(*tally.refused.borrow(), Vec::<String>::new(), "requests refused");
}

/// Replaces the VMs one after the other; callers request addresses from the newest VM.
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
async fn rolling_replacement_loses_no_request() {
    let mut fleet = start_fleet().await;
    let seeds = Rc::new(RefCell::new(vec![fleet.caller_address(2)]));
    let tally = Rc::new(CallerTally::default());
    start_callers(&seeds, &tally);
    replace_every_vm(&mut fleet, &seeds).await;
    assert_no_request_lost(&tally).await;
}

#[actix_rt::test]
async fn drain_during_a_platform_outage_loses_no_request() {
    let fleet = start_fleet().await;
    let seeds = Rc::new(RefCell::new(vec![fleet.caller_address(2)]));
    let tally = Rc::new(CallerTally::default());
    start_callers(&seeds, &tally);
    let fault = PlatformFault::Outage { manner: SilenceManner::Silent };
    fleet.standin.apply_platform_fault(fault);
    fleet.vms[0].drain().await;
    assert_no_request_lost(&tally).await;
}

#[actix_rt::test]
async fn drain_of_two_vms_at_once_loses_no_request() {
    let fleet = start_fleet().await;
    let seeds = Rc::new(RefCell::new(vec![fleet.caller_address(2)]));
    let tally = Rc::new(CallerTally::default());
    start_callers(&seeds, &tally);
    futures_util::future::join(fleet.vms[0].drain(), fleet.vms[1].drain()).await;
    assert_no_request_lost(&tally).await;
}

#[actix_rt::test]
async fn second_sigterm_keeps_the_shutdown_graceful() {
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
