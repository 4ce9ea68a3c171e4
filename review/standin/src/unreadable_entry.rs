//! Case: another writer's entry among those of the searchers can't be read.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Ending;
use crate::deployment::Deployment;
use crate::load::Load;
use crate::load::statuses;
use crate::names::Route;
use crate::names::name;
use crate::names::single;
use crate::searcher::Treatment;

/// Time after its acknowledgement in which a version has to be in force.
const CONFIG_TIME: Duration = Duration::from_millis(3_000);

fn route(service: &str) -> Route<'static> {
    Route {
        name: "site-card",
        prefix: "/card/",
        is_idempotent: true,
        timeout_ms: 2_000,
        objective_ms: 500,
        attempts: 2,
        destination: single(service),
    }
}

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<Verdict> {
    for service in ["registry-clerk", "registry-clerk", "photo-archive", "photo-archive"] {
        let plan = |_: &crate::http::Message| Treatment {
            work: Duration::from_millis(20),
            status: 200,
            body: b"card".to_vec(),
        };
        deployment.add_searcher(service, 6, 24, Arc::new(plan), None)?;
    }
    deployment.configure(1, &[route("registry-clerk")]);
    if !deployment.start_machines(3)? {
        return Ok(Verdict::NotRun("a machine is not ready".to_owned()));
    }
    let record = deployment.record.clone();
    let load = Load {
        addresses: deployment.machines.iter().map(|machine| machine.front).collect(),
        clients: 6,
        method: "GET",
        path: "/card/",
        deadline_ms: 2_000,
        body: b"",
        pause: Duration::from_millis(100),
        time: Duration::from_secs(4),
    };
    let before = load.run(&record);
    if has_trouble {
        deployment.store.put("servers", "i-other-writer", include_str!("../texts/unreadable.txt"));
        record.add("another writer adds an entry that can't be read");
    }
    std::thread::sleep(Duration::from_secs(2));
    deployment.configure(2, &[route("photo-archive")]);
    let acknowledged_at = Instant::now();
    let load = Load { time: Duration::from_secs(20), ..load };
    let after = load.run(&record);
    let mut broken = 0;
    let mut last = Duration::ZERO;
    for attempt in &after {
        let age = attempt.sent_at.saturating_duration_since(acknowledged_at);
        let Ending::Answered(answer) = &attempt.ending else { continue };
        let signature = answer.header(name("signature")).unwrap_or_default();
        if age > CONFIG_TIME && signature.starts_with("i-registry-clerk") {
            broken += 1;
            last = last.max(age);
            let age = age.as_millis();
            record.add(format!("request {} sent {age} ms after it ran as before", attempt.id));
        }
    }
    let summary = format!(
        "{broken} requests sent over 3 s after version 2 was acknowledged ran at the service of version 1, \
         the last {} ms after; before: {}; after: {}",
        last.as_millis(),
        statuses(&before),
        statuses(&after)
    );
    Ok(if broken == 0 { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
