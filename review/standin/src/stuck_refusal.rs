//! Case: machines that found no searcher for some seconds refuse all requests for good.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::load::Load;
use crate::load::statuses;
use crate::names::Route;
use crate::names::single;
use crate::searcher::Plan;
use crate::searcher::Treatment;

const SEARCHERS: usize = 4;
/// Time of calm before the final fault.
const CALM_TIME: Duration = Duration::from_secs(6);
/// How long the processes of all machines are down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Longest time that is waited for the machines to be ready again.
const READY_TIME: Duration = Duration::from_secs(5);
/// How long the searchers are down.
const CRASH_TIME: Duration = Duration::from_millis(4_500);
/// Silence after which an entry is removed: three heartbeats of 1,200 ms.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);
/// Time after which requests have to be served again.
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Time for which that is looked at.
const CHECK_TIME: Duration = Duration::from_secs(20);

fn route(timeout_ms: u64) -> Route<'static> {
    Route {
        name: "booking",
        prefix: "/booking/",
        is_idempotent: false,
        timeout_ms,
        objective_ms: 500,
        attempts: 3,
        destination: single("registry-clerk"),
    }
}

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<Verdict> {
    let plan: Plan = Arc::new(|_: &crate::http::Message| Treatment {
        work: Duration::from_millis(40),
        status: 201,
        body: b"booked".to_vec(),
    });
    for _ in 0..SEARCHERS {
        deployment.add_searcher("registry-clerk", 6, 24, plan.clone(), None)?;
    }
    deployment.configure(1, &[route(4_000)]);
    if !deployment.start_machines(3)? {
        return Ok(Verdict::NotRun("a machine is not ready".to_owned()));
    }
    let record = deployment.record.clone();
    let load = Load {
        addresses: deployment.machines.iter().map(|machine| machine.front).collect(),
        clients: 9,
        method: "POST",
        path: "/booking/bed-",
        deadline_ms: 4_000,
        body: b"minutes=12",
        pause: Duration::from_millis(150),
        time: CALM_TIME + DOWN_TIME + RECOVER_TIME + CHECK_TIME,
    };
    let begun_at = Instant::now();
    let clients = {
        let record = record.clone();
        std::thread::spawn(move || load.run(&record))
    };
    std::thread::sleep(CALM_TIME);
    deployment.configure(2, &[route(3_900)]);
    if has_trouble {
        deployment.machines.iter_mut().for_each(crate::machine::Machine::kill);
        std::thread::sleep(DOWN_TIME);
        for machine in &mut deployment.machines {
            machine.start()?;
        }
    }
    let back_at = Instant::now();
    // The searchers crash when the machines are ready, which takes some two seconds.
    deployment.machines.iter().for_each(|machine| {
        machine.wait_ready(READY_TIME);
    });
    if has_trouble {
        let crashed = deployment.searchers.clone();
        crashed.iter().for_each(crate::searcher::Searcher::crash);
        std::thread::sleep(EXPIRY_TIME);
        for searcher in &crashed {
            deployment.store.remove("servers", &searcher.settings.id);
        }
        std::thread::sleep(CRASH_TIME - EXPIRY_TIME);
        for _ in 0..SEARCHERS {
            deployment.add_searcher("registry-clerk", 6, 24, plan.clone(), None)?;
        }
        record.add("all searchers are back");
    }
    let attempts = clients.join().unwrap_or_default();
    let (before, rest): (Vec<_>, Vec<_>) =
        attempts.into_iter().partition(|attempt| attempt.sent_at < begun_at + CALM_TIME);
    let (_, after): (Vec<_>, Vec<_>) =
        rest.into_iter().partition(|attempt| attempt.sent_at < back_at + RECOVER_TIME);
    let served = |attempts: &[crate::load::Attempt]| {
        let served = attempts.iter().filter(|attempt| attempt.ending.status() == 201).count();
        (served, attempts.len())
    };
    let (served_before, sent_before) = served(&before);
    let (served_after, sent_after) = served(&after);
    let summary = format!(
        "before the fault {served_before} of {sent_before} requests were served; of those sent later than 12 s \
         after the machines were back {served_after} of {sent_after} ({})",
        statuses(&after)
    );
    let is_broken = served_before * 4 >= sent_before && served_after * 4 < sent_after;
    Ok(if is_broken { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
