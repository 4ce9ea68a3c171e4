//! Rate limits of customers over a fleet.
//!
//! Guards against a customer that exceeds its limit because every VM admits requests on its own,
//! and against refusals of other customers meanwhile.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::DeploymentName;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::CallerAnswer;

use crate::support::TestCaller;
use crate::support::TestFleet;
use crate::support::wait_for;

/// VMs of the fleet.
const VMS: usize = 3;
/// Limit of the customer that exceeds it, in requests per second.
const LIMIT_PER_SECOND: f64 = 30.0;
/// How long both customers send.
const SEND_TIME: Duration = Duration::from_secs(5);

/// Counts the requests of one customer by their result.
#[derive(Default)]
struct AdmissionTally {
    admitted: Cell<u32>,
    over_limit: Cell<u32>,
    other: Cell<u32>,
}

impl AdmissionTally {
    fn record(&self, answer: &CallerAnswer) {
        let count = match answer.outcome {
            RequestOutcome::Answered | RequestOutcome::Partial => &self.admitted,
            _ if answer.refusal.as_ref().is_some_and(|found| found.reason == "over_limit") => {
                assert!(
                    answer.retry_after_ms.is_some(),
                    "a refusal over the limit has no retry time"
                );
                &self.over_limit
            }
            _ => &self.other,
        };
        count.set(count.get() + 1);
    }
}

/// Sends `rate` requests per second to the VMs in turn, without waiting for answers.
async fn send(
    addresses: Vec<String>,
    customer: &'static str,
    class: &'static str,
    rate: f64,
    tally: Rc<AdmissionTally>,
) {
    let caller = TestCaller::new();
    let begin = Instant::now();
    let mut sent = 0;
    while begin.elapsed() < SEND_TIME {
        let due = (begin.elapsed().as_secs_f64() * rate) as usize;
        while sent < due {
            let (caller, tally) = (caller.clone(), tally.clone());
            let address = addresses[sent % addresses.len()].clone();
            sent += 1;
            actix_rt::spawn(async move {
                let answer = caller.search(&address, customer, class, "board").await;
                tally.record(&answer.unwrap());
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn rate_limit_holds_for_one_customer_without_affecting_another() {
    let settings = StandinSettings {
        deployments: vec![DeploymentName::Tsagaan, DeploymentName::Haneul],
        vm_list_lag: Duration::from_millis(50),
        ..StandinSettings::default()
    };
    let fleet = TestFleet::start_converged(settings, VMS).await;
    let addresses: Vec<String> = (0..VMS).map(|vm| fleet.caller_address(vm)).collect();
    fleet.set_customer_rate(0, "tsagaan-ordon", LIMIT_PER_SECOND).await;
    for vm in 0..VMS {
        wait_for("the limit is in force", async || {
            fleet.customer_rate(vm, "tsagaan-ordon").await == Some(LIMIT_PER_SECOND)
        })
        .await;
    }
    let (exceeding, within) =
        (Rc::new(AdmissionTally::default()), Rc::new(AdmissionTally::default()));
    let begin = Instant::now();
    let first = send(
        vec![addresses[0].clone()],
        "tsagaan-ordon",
        "trainer-lookup",
        10.0 * LIMIT_PER_SECOND,
        exceeding.clone(),
    );
    let second = send(addresses, "haneul", "counter-lookup", 30.0, within.clone());
    futures_util::future::join(first, second).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let elapsed = begin.elapsed().as_secs_f64();
    println!(
        "over the limit: {} admitted in {elapsed:.1} s, {} refused; within: {} admitted, {} refused",
        exceeding.admitted.get(),
        exceeding.over_limit.get(),
        within.admitted.get(),
        within.over_limit.get()
    );
    // The limit for the elapsed time, plus one second's worth that full token buckets hold.
    let max_admitted = LIMIT_PER_SECOND * (elapsed + 1.0);
    assert!(
        f64::from(exceeding.admitted.get()) <= max_admitted,
        "{} of {max_admitted}",
        exceeding.admitted.get()
    );
    let vm_share = LIMIT_PER_SECOND / VMS as f64 * (elapsed + 1.0);
    assert!(
        f64::from(exceeding.admitted.get()) > vm_share,
        "borrowing did not let one VM admit more than its share"
    );
    assert!(exceeding.over_limit.get() > 0);
    assert_eq!(exceeding.other.get(), 0);
    assert_eq!(
        (within.over_limit.get(), within.other.get()),
        (0, 0),
        "requests of the other customer were not admitted"
    );
    assert!(within.admitted.get() > 0);
}
