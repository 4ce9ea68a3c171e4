//! Case: a searcher's own failure bears a status that is a promise, without the mark that says so.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::load::Load;
use crate::load::runs_by_request;
use crate::load::statuses;
use crate::names::Route;
use crate::names::single;
use crate::searcher::Treatment;

/// Two requests of five fail at a faulty searcher.
const FAILING_OF_FIVE: u64 = 2;
/// Statuses of its failures, in turn.
const FAILURES: [u16; 4] = [500, 503, 502, 504];
const FAULT_TIME: Duration = Duration::from_secs(6);

fn next_failure(failures: &AtomicUsize) -> u16 {
    FAILURES[failures.fetch_add(1, Ordering::Relaxed) % FAILURES.len()]
}

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<Verdict> {
    let is_failing = Arc::new(AtomicBool::new(false));
    for number in 0..4 {
        let is_failing = is_failing.clone();
        let (requests, failures) = (AtomicU64::new(0), AtomicUsize::new(0));
        let plan = move |_: &crate::http::Message| {
            let count = requests.fetch_add(1, Ordering::Relaxed);
            let fails =
                number == 0 && is_failing.load(Ordering::Relaxed) && count % 5 < FAILING_OF_FIVE;
            Treatment {
                work: Duration::from_millis(40),
                status: if fails { next_failure(&failures) } else { 201 },
                body: if fails { b"ledger failed".to_vec() } else { b"booked".to_vec() },
            }
        };
        deployment.add_searcher("registry-clerk", 6, 24, Arc::new(plan), None)?;
    }
    deployment.configure(
        1,
        &[Route {
            name: "booking",
            prefix: "/booking/",
            is_idempotent: false,
            timeout_ms: 4_000,
            objective_ms: 500,
            attempts: 3,
            destination: single("registry-clerk"),
        }],
    );
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
        pause: Duration::from_millis(100),
        time: Duration::from_secs(12),
    };
    let switch = {
        let (is_failing, record) = (is_failing.clone(), record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(2));
            is_failing.store(has_trouble, Ordering::Relaxed);
            record.add("one searcher of four begins to fail 0.4 of its requests");
            std::thread::sleep(FAULT_TIME);
            is_failing.store(false, Ordering::Relaxed);
            record.add("it ends to fail");
        })
    };
    let attempts = load.run(&record);
    let _ = switch.join();
    let runs = deployment.runs();
    let counts = runs_by_request(&runs);
    let mut broken = 0;
    for attempt in &attempts {
        let is_promise = matches!(attempt.ending.status(), 408 | 421 | 429 | 503);
        if is_promise && counts.contains_key(attempt.id.as_str()) {
            broken += 1;
            let status = attempt.ending.status();
            record.add(format!("request {} has run and was answered {status}", attempt.id));
        }
    }
    let summary = format!(
        "{broken} requests had run and were answered with a promise that they had not; {} attempts ({}), {} runs",
        attempts.len(),
        statuses(&attempts),
        runs.len()
    );
    Ok(if broken == 0 { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
