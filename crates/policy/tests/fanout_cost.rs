//! Bounds on the engine's work and memory at the full fleet size, in counts independent of the
//! machine.
#![allow(dead_code)]

#[path = "../benches/large_fleet/mod.rs"]
mod large_fleet;

use large_fleet::LargeFleet;
use large_fleet::SHARDS;

/// Timers that one sub-query may set, including its share of the query's own timers.
const TIMERS_PER_SUB_QUERY: u64 = 2;
/// Targets that one sub-query may compare: two replicas for the call, one for a hedge.
const TARGETS_PER_SUB_QUERY: u64 = 3;

#[test]
fn each_sub_query_sets_and_compares_a_bounded_number() {
    let mut fleet = LargeFleet::new();
    let before = fleet.engine.counts();
    fleet.serve(1_000);
    let after = fleet.engine.counts();
    let sub_queries = 1_000 * u64::from(SHARDS);
    assert_eq!(after.known_targets, 9_504);
    assert!(after.timers_set - before.timers_set <= sub_queries * TIMERS_PER_SUB_QUERY);
    let compared = after.targets_compared - before.targets_compared;
    assert!(compared <= sub_queries * TARGETS_PER_SUB_QUERY);
}

#[test]
fn finished_queries_leave_no_state() {
    let mut fleet = LargeFleet::new();
    fleet.serve(500);
    let counts = fleet.engine.counts();
    assert_eq!(fleet.finished, 500 + 66 * 3);
    assert_eq!((counts.running_queries, counts.open_calls, counts.pending_timers), (0, 0, 0));
}
