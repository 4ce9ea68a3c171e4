//! Case: a searcher's failure is merged as a part where a query has a single shard.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::client::Ending;
use crate::deployment::Deployment;
use crate::load::Load;
use crate::load::statuses;
use crate::names::Route;
use crate::names::gather;
use crate::names::name;
use crate::searcher::Treatment;

/// Two requests of five fail at a faulty searcher.
const FAILING_OF_FIVE: u64 = 2;
/// Statuses of its failures, in turn.
const FAILURES: [u16; 3] = [500, 404, 503];
const FAULT_TIME: Duration = Duration::from_secs(6);
/// Six records of 16 bytes.
const RECORDS: &[u8] =
    b"0000000000000001000000000000000200000000000000030000000000000004000000000000000500000000000000ff";
const FAILURE: &[u8] = b"this searcher can't answer from its index now";

fn next_failure(failures: &AtomicUsize) -> u16 {
    FAILURES[failures.fetch_add(1, Ordering::Relaxed) % FAILURES.len()]
}

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<Verdict> {
    let is_failing = Arc::new(AtomicBool::new(false));
    for number in 0..2 {
        let is_failing = is_failing.clone();
        let (requests, failures) = (AtomicU64::new(0), AtomicUsize::new(0));
        let plan = move |_: &crate::http::Message| {
            let count = requests.fetch_add(1, Ordering::Relaxed);
            let fails =
                number == 0 && is_failing.load(Ordering::Relaxed) && count % 5 < FAILING_OF_FIVE;
            Treatment {
                work: Duration::from_millis(10),
                status: if fails { next_failure(&failures) } else { 200 },
                body: if fails { FAILURE.to_vec() } else { RECORDS.to_vec() },
            }
        };
        deployment.add_searcher("inspection-desk", 2, 12, Arc::new(plan), None)?;
    }
    deployment.configure(
        1,
        &[Route {
            name: "quick-check",
            prefix: "/quick/",
            is_idempotent: true,
            timeout_ms: 1_000,
            objective_ms: 60,
            attempts: 2,
            destination: gather(&["inspection-desk"]),
        }],
    );
    if !deployment.start_machines(3)? {
        return Ok(Verdict::NotRun("a machine is not ready".to_owned()));
    }
    let record = deployment.record.clone();
    let load = Load {
        addresses: deployment.machines.iter().map(|machine| machine.front).collect(),
        clients: 6,
        method: "GET",
        path: "/quick/window-",
        deadline_ms: 1_000,
        body: b"",
        pause: Duration::from_millis(100),
        time: Duration::from_secs(12),
    };
    let switch = {
        let (is_failing, record) = (is_failing.clone(), record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(2));
            is_failing.store(has_trouble, Ordering::Relaxed);
            record.add("one searcher of two begins to fail 0.4 of its requests");
            std::thread::sleep(FAULT_TIME);
            is_failing.store(false, Ordering::Relaxed);
            record.add("it ends to fail");
        })
    };
    let attempts = load.run(&record);
    let _ = switch.join();
    // The greatest five of the six records, falling.
    let mut expected: Vec<&[u8]> = RECORDS.chunks_exact(16).collect();
    expected.sort_unstable_by(|left, right| right.cmp(left));
    let expected = expected[..5].concat();
    let mut broken = 0;
    for attempt in &attempts {
        let Ending::Answered(answer) = &attempt.ending else { continue };
        if answer.status() == 200 && answer.body != expected {
            broken += 1;
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let parts = answer.header(name("parts")).unwrap_or("-").to_owned();
            record.add(format!("request {}: 200 with body {body:?}, parts {parts}", attempt.id));
        }
    }
    let summary = format!(
        "{broken} successes were made of a searcher's failure; {} attempts ({})",
        attempts.len(),
        statuses(&attempts)
    );
    Ok(if broken == 0 { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
