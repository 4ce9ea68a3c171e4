//! Instruction counts of the fan-out engine at the target size, with hard limits.
//!
//! The goal is at most 20,000 instructions per sub-query: 8,000 to submit it, 8,000 to process its
//! answer and 4,000 for its timers. Each benchmark runs whole queries of 72 sub-queries.
// The macros of gungraun generate items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::hint::black_box;
use std::time::Duration;

use gungraun::Callgrind;
use gungraun::EventKind;
use gungraun::LibraryBenchmarkConfig;
use gungraun::library_benchmark;
use gungraun::library_benchmark_group;
use gungraun::main;

mod large_fleet;

use large_fleet::LargeFleet;
use large_fleet::SHARDS;

/// Number of queries per benchmark, which go to the services in turn.
const QUERIES: u64 = 50;
/// Number of sub-queries per benchmark.
const SUB_QUERIES: u64 = QUERIES * SHARDS as u64;
/// Maximum instructions to submit one sub-query.
const SUBMIT_INSTRUCTIONS: u64 = 8_000;
/// Maximum instructions to process one answer.
const ANSWER_INSTRUCTIONS: u64 = 8_000;
/// Maximum instructions for the timers of one sub-query.
const WAKE_INSTRUCTIONS: u64 = 4_000;

fn submitted_fleet(services: usize) -> LargeFleet {
    let mut fleet = LargeFleet::with_services(services);
    fleet.submit(QUERIES);
    fleet
}

fn limit(instructions: u64) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, instructions * SUB_QUERIES)]);
    let mut config = LibraryBenchmarkConfig::default();
    config.tool(callgrind);
    config
}

#[library_benchmark(config = limit(SUBMIT_INSTRUCTIONS))]
#[bench::targets_1008(LargeFleet::with_services(7))]
#[bench::target_size(LargeFleet::new())]
fn submit_queries(mut fleet: LargeFleet) -> LargeFleet {
    fleet.submit(QUERIES);
    black_box(fleet)
}

#[library_benchmark(config = limit(ANSWER_INSTRUCTIONS))]
#[bench::targets_1008(submitted_fleet(7))]
#[bench::target_size(submitted_fleet(66))]
fn answer_calls(mut fleet: LargeFleet) -> LargeFleet {
    fleet.answer();
    black_box(fleet)
}

#[library_benchmark(config = limit(WAKE_INSTRUCTIONS))]
#[bench::targets_1008(submitted_fleet(7))]
#[bench::target_size(submitted_fleet(66))]
fn wake_hedges(mut fleet: LargeFleet) -> LargeFleet {
    fleet.wake(Duration::from_millis(60));
    black_box(fleet)
}

library_benchmark_group!(
    name = fanout_cost,
    benchmarks = [submit_queries, answer_calls, wake_hedges]
);

main!(library_benchmark_groups = fanout_cost);
