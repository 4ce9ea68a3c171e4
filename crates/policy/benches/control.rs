//! Instruction counts of control-plane operations in a fleet of 2,200 VMs, with hard limits.
//!
//! Requires valgrind and `gungraun-runner`. The set-up of a fleet is not counted.

#![allow(missing_docs, clippy::unwrap_used)]

mod control_fleet;

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use control_fleet::DOMAINS;
use control_fleet::candidates;
use control_fleet::membership;
use control_fleet::platform_vms;
use control_fleet::record;
use control_fleet::target_object;
use gungraun::Callgrind;
use gungraun::EventKind;
use gungraun::LibraryBenchmarkConfig;
use gungraun::library_benchmark;
use gungraun::library_benchmark_group;
use gungraun::main;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::CustomerLimiter;
use oleanderwind_policy::ExchangeMessage;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectSummary;
use oleanderwind_policy::SubsetCandidate;
use oleanderwind_policy::SubsetSpec;
use oleanderwind_policy::VmId;
use oleanderwind_policy::holders_by_service;
use oleanderwind_policy::rank_holders_for_caller;
use oleanderwind_policy::service_holders;
use oleanderwind_policy::watch_holders;

/// Instruction budget of the control plane per second: 2.2% of a core that runs 10^9 instructions
/// per second.
///
/// Each limit below lets one operation use a quarter of the budget at a given rate. The limits are
/// checked one by one and together exceed the budget.
const CONTROL_INSTRUCTIONS: u64 = 22_000_000;
/// Limit per exchange: a quarter of the budget at two exchanges per second.
const EXCHANGE_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 / 2;
/// Limit per change: a quarter of the budget at ten changes per second.
const CHANGE_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 / 10;
/// Limit per address answer: a quarter of the budget at fifty answers per second.
const ADDRESS_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 / 50;
/// Limit per selection of the holders of one service: a quarter of the budget at one per second.
const HOLDER_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4;
/// Limit per selection of the holders of all services: a quarter of the budget at one in 16 s.
///
/// The holders are selected at each change of the fleet. Each of the 1,716 VMs that fail or are
/// replaced in a day causes three changes.
const FLEET_CHANGE_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 * 16;
/// Limit per admission of one request, which is on the data path.
const ADMIT_INSTRUCTIONS: u64 = 10_000;

const VMS: usize = 2_200;
const HOLDERS: usize = 21;
const SERVICES: usize = 66;

fn limit(instructions: u64) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, instructions)]);
    let mut config = LibraryBenchmarkConfig::default();
    config.tool(callgrind);
    config
}

fn heartbeat(vms: usize) -> (MembershipEngine, ExchangeMessage, Instant) {
    let now = Instant::now();
    let mut membership = membership(vms, now);
    // Starts the heartbeat round during set-up. Shuffling happens only once per round, that is once
    // per as many heartbeats as there are VMs, so it is not counted.
    membership.tick(ObjectSummary::default(), now + Duration::from_secs(10));
    let fleet = platform_vms(vms);
    let changed = [2, 4, 6].map(|number: usize| record(&fleet[number], 3)).to_vec();
    let sender = record(&fleet[1], 2);
    let message = ExchangeMessage { sender, members: changed, summary: ObjectSummary::default() };
    (membership, message, now + Duration::from_secs(20))
}

#[library_benchmark(config = limit(EXCHANGE_INSTRUCTIONS))]
#[bench::vms_7(heartbeat(7))]
#[bench::vms_70(heartbeat(70))]
#[bench::vms_700(heartbeat(700))]
#[bench::vms_2200(heartbeat(2_200))]
fn heartbeat_exchange(input: (MembershipEngine, ExchangeMessage, Instant)) -> MembershipEngine {
    let (mut membership, message, now) = input;
    black_box(membership.tick(ObjectSummary::default(), now));
    black_box(membership.handle_heartbeat(&message, ObjectSummary::default(), now));
    membership.handle_reply(&message);
    membership
}

fn change(vms: usize, targets: usize) -> (GossipEngine, MembershipEngine, ConfigurationObject) {
    let mut gossip = GossipEngine::default();
    let objects: Vec<_> =
        (1..=targets).map(|number| target_object(number, number as u64)).collect();
    let highest = targets as u64;
    gossip.apply_listing(&ObjectListing::from_platform(&objects, highest));
    (gossip, membership(vms, Instant::now()), target_object(77, highest + 1))
}

#[library_benchmark(config = limit(CHANGE_INSTRUCTIONS))]
#[bench::vms_7_targets_95(change(7, 95))]
#[bench::vms_2200_targets_95(change(2_200, 95))]
#[bench::vms_2200_targets_950(change(2_200, 950))]
#[bench::vms_2200_targets_9500(change(2_200, 9_500))]
fn apply_change(
    input: (GossipEngine, MembershipEngine, ConfigurationObject),
) -> (GossipEngine, MembershipEngine) {
    let (mut gossip, mut membership, object) = input;
    black_box(gossip.handle_changes(&[object], &mut membership));
    (gossip, membership)
}

fn holders() -> Vec<MemberRecord> {
    platform_vms(HOLDERS).iter().map(|vm| record(vm, 1)).collect()
}

#[library_benchmark(config = limit(ADDRESS_INSTRUCTIONS))]
#[bench::holders(holders())]
fn address_answer(records: Vec<MemberRecord>) -> Vec<MemberRecord> {
    let holders: Vec<_> =
        records.iter().map(|record| (record, MemberState::Serving, 100)).collect();
    black_box(rank_holders_for_caller("caller", &holders));
    records
}

#[library_benchmark(config = limit(HOLDER_INSTRUCTIONS))]
#[bench::vms_70(candidates(70))]
#[bench::vms_700(candidates(700))]
#[bench::vms_2200(candidates(2_200))]
fn select_service_holders(vms: Vec<SubsetCandidate>) -> Vec<SubsetCandidate> {
    black_box(service_holders("courses", &vms, HOLDERS));
    vms
}

/// Returns the subset spec of each service of the fleet.
fn subset_specs() -> Vec<SubsetSpec> {
    let subset =
        |number| SubsetSpec { service: format!("service-{number}").into(), holders: HOLDERS };
    (0..SERVICES).map(subset).collect()
}

#[library_benchmark(config = limit(FLEET_CHANGE_INSTRUCTIONS))]
#[bench::vms_70(candidates(70))]
#[bench::vms_700(candidates(700))]
#[bench::vms_2200(candidates(2_200))]
fn select_holders_by_service(vms: Vec<SubsetCandidate>) -> Vec<SubsetCandidate> {
    black_box(holders_by_service(&subset_specs(), &vms));
    vms
}

fn domain() -> Vec<VmId> {
    platform_vms(VMS).into_iter().step_by(DOMAINS).map(|listed| listed.vm).collect()
}

#[library_benchmark(config = limit(HOLDER_INSTRUCTIONS))]
#[bench::domain(domain())]
fn select_watch_holders(vms: Vec<VmId>) -> Vec<VmId> {
    black_box(watch_holders(&"d00".into(), &vms));
    vms
}

fn limiter() -> (CustomerLimiter, Instant) {
    let now = Instant::now();
    (CustomerLimiter::new(100_000.0, HOLDERS, now), now + Duration::from_secs(1))
}

#[library_benchmark(config = limit(ADMIT_INSTRUCTIONS))]
#[bench::customer(limiter())]
fn admit_request(input: (CustomerLimiter, Instant)) -> CustomerLimiter {
    let (mut limiter, now) = input;
    black_box(limiter.admit(ClassPriority::Interactive, now));
    limiter
}

library_benchmark_group!(
    name = control;
    benchmarks = heartbeat_exchange, apply_change, address_answer, select_service_holders,
        select_holders_by_service, select_watch_holders, admit_request
);

main!(library_benchmark_groups = control);
