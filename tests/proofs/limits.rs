//! A customer's limit holds over the fleet and harms nobody else.

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
const FLEET: usize = 3;
/// Limit of the customer that goes over it, in requests a second.
const LIMIT: f64 = 30.0;
/// How long both customers send.
const SEND_TIME: Duration = Duration::from_secs(5);

/// What one customer's requests came to.
#[derive(Default)]
struct AdmissionTally {
    admitted: Cell<u32>,
    over_limit: Cell<u32>,
    other: Cell<u32>,
}

impl AdmissionTally {
    fn note(&self, answer: &CallerAnswer) {
        let count = match answer.outcome {
            RequestOutcome::Answered | RequestOutcome::Partial => &self.admitted,
            _ if answer.refusal.as_ref().is_some_and(|found| found.reason == "over_limit") => {
                assert!(answer.retry_after_ms.is_some(), "an over-limit caller is told when");
                &self.over_limit
            }
            _ => &self.other,
        };
        count.set(count.get() + 1);
    }
}

/// Sends `rate` requests a second through one VM after the other, without waiting for answers.
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
                tally.note(&answer.unwrap());
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn customer_over_its_limit_is_held_to_it_and_harms_no_other() {
    let settings = StandinSettings {
        deployments: vec![DeploymentName::Tsagaan, DeploymentName::Haneul],
        vm_list_lag: Duration::from_millis(50),
        ..StandinSettings::default()
    };
    let fleet = TestFleet::start_converged(settings, FLEET).await;
    let addresses: Vec<String> = (0..FLEET).map(|vm| fleet.caller_address(vm)).collect();
    fleet.set_customer_rate(0, "tsagaan-ordon", LIMIT).await;
    for vm in 0..FLEET {
        wait_for("the limit is in force", async || {
            fleet.customer_rate(vm, "tsagaan-ordon").await == Some(LIMIT)
        })
        .await;
    }
    let (over, within) = (Rc::new(AdmissionTally::default()), Rc::new(AdmissionTally::default()));
    let begin = Instant::now();
    let first = send(
        vec![addresses[0].clone()],
        "tsagaan-ordon",
        "trainer-lookup",
        10.0 * LIMIT,
        over.clone(),
    );
    let second = send(addresses, "haneul", "counter-lookup", 30.0, within.clone());
    futures_util::future::join(first, second).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let elapsed = begin.elapsed().as_secs_f64();
    println!(
        "over the limit: {} admitted in {elapsed:.1} s, {} refused; within: {} admitted, {} refused",
        over.admitted.get(),
        over.over_limit.get(),
        within.admitted.get(),
        within.over_limit.get()
    );
    // The limit, and one second's worth once for the depth of the buckets.
    let most = LIMIT * (elapsed + 1.0);
    assert!(f64::from(over.admitted.get()) <= most, "{} of {most}", over.admitted.get());
    let own_part = LIMIT / FLEET as f64 * (elapsed + 1.0);
    assert!(f64::from(over.admitted.get()) > own_part, "loans let one VM admit more than its part");
    assert!(over.over_limit.get() > 0);
    assert_eq!(over.other.get(), 0);
    assert_eq!((within.over_limit.get(), within.other.get()), (0, 0), "the other customer");
    assert!(within.admitted.get() > 0);
}
