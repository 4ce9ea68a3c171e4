//! Draining of targets.
//!
//! Guards against calls that still reach a target a few seconds after it signalled its drain
//! in-band or in its object, on the signalled VM or on any other.

use std::time::Duration;

use oleanderwind_standin::FaultScope;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::SilenceManner;

use crate::support::SearchFleet;

/// How long searchers keep an old snapshot.
const SNAPSHOT_KEEP: Duration = Duration::from_secs(10);
/// Time after the first drain signal from which no call may arrive, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 3_000;
/// Object lag that is longer than any test, in milliseconds.
const NEVER_UPDATED_LAG_MS: u64 = 3_600_000;
/// The draining targets: one replica of some shards, and a third of a small service.
const DRAINED_TARGETS: [&str; 4] =
    ["course-finder.alpha.0", "member-app.alpha.3", "board-notes.alpha.8", "salon-counter.alpha.1"];

/// Drains the targets: they signal it in-band at once, and their objects follow after the lag.
/// Their health endpoint keeps reporting that they are well.
fn signal_drain(searches: &SearchFleet, object_lag_ms: u64) {
    for target in DRAINED_TARGETS {
        let scope = FaultScope::Searcher(target.into());
        searches.inject_fault(scope.clone(), SearcherFault::MisleadHealth { well: true });
        searches.inject_fault(scope, SearcherFault::Drain { object_lag_ms });
    }
}

/// Returns the calls of each draining target, in milliseconds after its drain began.
fn calls_after_drain(searches: &SearchFleet) -> Vec<Vec<u64>> {
    let reports = searches.fleet.standin.calls().into_iter();
    let drained = reports.filter(|report| DRAINED_TARGETS.contains(&&*report.searcher));
    drained.map(|report| report.after_drain_ms).collect()
}

/// Returns the calls that arrived too long after the one whose reply first carried the signal.
fn late_calls(searches: &SearchFleet) -> Vec<u64> {
    let mut late = Vec::new();
    for calls in calls_after_drain(searches) {
        let first_reply = calls.iter().min().copied().unwrap_or_default();
        late.extend(calls.into_iter().filter(|at| *at > first_reply + DRAIN_LIMIT_MS));
    }
    late
}

/// Runs requests until well after the drain limit, then checks that no call arrived late.
async fn assert_no_late_calls(searches: &SearchFleet, seed: u64) {
    let end = tokio::time::Instant::now() + Duration::from_millis(DRAIN_LIMIT_MS + 800);
    for batch in 0.. {
        if tokio::time::Instant::now() > end {
            break;
        }
        let tally = searches.run(seed + batch, 10).await;
        assert_eq!(tally.not_served.get(), 0, "the other replicas serve");
    }
    let calls = calls_after_drain(searches);
    println!("calls after the drain: {:?}", calls.iter().map(Vec::len).collect::<Vec<_>>());
    assert_eq!(late_calls(searches), Vec::<u64>::new(), "calls after the drain limit");
}

#[actix_rt::test]
async fn target_drain_signal_stops_calls_without_object_update_or_platform() {
    let searches = SearchFleet::start(1, SNAPSHOT_KEEP).await;
    searches.run(100, 10).await;
    signal_drain(&searches, NEVER_UPDATED_LAG_MS);
    searches.run(110, 10).await;
    let fault = PlatformFault::Outage { manner: SilenceManner::Silent };
    searches.fleet.standin.apply_platform_fault(fault);
    assert_no_late_calls(&searches, 120).await;
}

#[actix_rt::test]
async fn target_object_drain_stops_calls_of_vms_without_the_signal() {
    let searches = SearchFleet::start(3, SNAPSHOT_KEEP).await;
    searches.run(160, 10).await;
    signal_drain(&searches, 1_000);
    // Longer than the object's lag, so that no VM depends on the in-band signal.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    searches.run(161, 20).await;
    let calls: usize = calls_after_drain(&searches).iter().map(Vec::len).sum();
    assert_eq!(calls, 0, "calls after the object was updated");
}

#[actix_rt::test]
async fn target_drain_signal_to_one_vm_stops_calls_of_every_vm() {
    let searches = SearchFleet::start(3, SNAPSHOT_KEEP).await;
    searches.run(170, 10).await;
    signal_drain(&searches, NEVER_UPDATED_LAG_MS);
    // Only the first VM serves until every target has signalled its drain to it and the drain
    // limit has passed.
    let mut seed = 1_710;
    while calls_after_drain(&searches).iter().any(Vec::is_empty) {
        assert!(seed < 1_720, "the first VM never called every draining target");
        assert_eq!(searches.run_at(seed, 20, 0..1).await.not_served.get(), 0);
        seed += 1;
    }
    tokio::time::sleep(Duration::from_millis(DRAIN_LIMIT_MS + 200)).await;
    searches.run_at(172, 20, 1..3).await;
    let late = late_calls(&searches);
    assert_eq!(
        late,
        Vec::<u64>::new(),
        "late calls from VMs that did not receive the signal themselves"
    );
}
