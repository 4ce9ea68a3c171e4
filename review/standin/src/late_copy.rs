//! Case: a second copy of a rejection comes late, on the connection on which the request is sent again.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::load::Load;
use crate::load::runs_by_request;
use crate::load::statuses;
use crate::names::Route;
use crate::names::single;
use crate::searcher::Plan;
use crate::searcher::Repeat;
use crate::searcher::Treatment;

/// Every 25th answer of the faulty searcher has a second copy, whatever it says: 4%.
const COPY_INTERVAL: u64 = 25;
/// How long copies come.
const COPY_TIME: Duration = Duration::from_secs(5);
/// Pause between two such times.
const COPY_PAUSE: Duration = Duration::from_secs(2);
/// Number of such times.
const COPY_TIMES: u32 = 8;
const LOAD_TIME: Duration = Duration::from_secs(60);

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<Verdict> {
    let is_repeating = Arc::new(AtomicBool::new(false));
    let plan: Plan = Arc::new(|_: &crate::http::Message| Treatment {
        work: Duration::from_millis(20),
        status: 201,
        body: b"booked".to_vec(),
    });
    let repeat: Repeat = {
        let (is_repeating, answers) = (is_repeating.clone(), AtomicU64::new(0));
        Arc::new(move |_| {
            is_repeating.load(Ordering::Relaxed)
                && answers.fetch_add(1, Ordering::Relaxed) % COPY_INTERVAL == COPY_INTERVAL - 1
        })
    };
    let repeat = Some(repeat).filter(|_| has_trouble);
    deployment.add_searcher("registry-clerk", 2, 1, plan.clone(), repeat)?;
    deployment.add_searcher("photo-archive", 2, 12, plan, None)?;
    let routes = [
        Route {
            name: "booking",
            prefix: "/booking/",
            is_idempotent: false,
            timeout_ms: 4_000,
            objective_ms: 500,
            attempts: 3,
            destination: single("registry-clerk"),
        },
        Route {
            name: "photo",
            prefix: "/photo/",
            is_idempotent: true,
            timeout_ms: 4_000,
            objective_ms: 500,
            attempts: 2,
            destination: single("photo-archive"),
        },
    ];
    deployment.configure(1, &routes);
    if !deployment.start_machines(8)? {
        return Ok(Verdict::NotRun("a machine is not ready".to_owned()));
    }
    let record = deployment.record.clone();
    let load = Load {
        addresses: deployment.machines.iter().map(|machine| machine.front).collect(),
        clients: 8,
        method: "POST",
        path: "/booking/bed-",
        deadline_ms: 4_000,
        body: b"minutes=12",
        pause: Duration::from_millis(80),
        time: LOAD_TIME,
    };
    let switch = {
        let (is_repeating, record) = (is_repeating.clone(), record.clone());
        std::thread::spawn(move || {
            for _ in 0..COPY_TIMES {
                std::thread::sleep(COPY_PAUSE);
                is_repeating.store(has_trouble, Ordering::Relaxed);
                record.add("second copies of answers begin");
                std::thread::sleep(COPY_TIME);
                is_repeating.store(false, Ordering::Relaxed);
                record.add("second copies of answers end");
            }
        })
    };
    let photos = Load {
        clients: 4,
        method: "GET",
        path: "/photo/",
        body: b"",
        pause: Duration::from_millis(200),
        ..load.clone()
    };
    let photos = {
        let record = record.clone();
        std::thread::spawn(move || photos.run(&record))
    };
    let attempts = load.run(&record);
    let _ = photos.join();
    let _ = switch.join();
    std::thread::sleep(Duration::from_secs(1));
    let runs = deployment.runs();
    let mut counts = runs_by_request(&runs);
    // Those of the idempotent route may run more than once.
    counts.retain(|id, _| attempts.iter().any(|attempt| attempt.id == *id));
    let twice: Vec<&str> =
        counts.iter().filter(|(_, count)| **count > 1).map(|(id, _)| *id).collect();
    for id in &twice {
        record.add(format!("request {id} ran {} times", counts[id]));
    }
    let mut refused = 0;
    for attempt in &attempts {
        let is_promise = matches!(attempt.ending.status(), 408 | 421 | 429 | 503);
        if is_promise && counts.contains_key(attempt.id.as_str()) {
            refused += 1;
            record.add(format!("request {} was refused and has run", attempt.id));
        }
    }
    let summary = format!(
        "{} requests ran more than once, {refused} were refused and had run; {} attempts ({}), {} runs",
        twice.len(),
        attempts.len(),
        statuses(&attempts),
        counts.values().sum::<usize>()
    );
    Ok(if twice.is_empty() { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
