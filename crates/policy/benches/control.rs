//! Instructions of the control decisions in a fleet of 2,200 VMs.
//!
//! Needs valgrind and `gungraun-runner`; the set-up of a fleet is not counted.

#![allow(missing_docs, clippy::unwrap_used)]

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

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
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberStanding;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectSummary;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::SpreadEngine;
use oleanderwind_policy::SubsetCandidate;
use oleanderwind_policy::VmId;
use oleanderwind_policy::address_plan;
use oleanderwind_policy::service_holders;
use oleanderwind_policy::watch_holders;

/// Instructions a second that control may take: 2.2% of a core of a thousand million.
const CONTROL_INSTRUCTIONS: u64 = 22_000_000;
/// A quarter of it for exchanges, two a second.
const EXCHANGE_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 / 2;
/// A quarter of it for changes, ten a second.
const CHANGE_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 / 10;
/// A quarter of it for address answers, fifty a second.
const ADDRESS_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4 / 50;
/// A quarter of it for holders worked out anew, once a second.
const HOLDER_INSTRUCTIONS: u64 = CONTROL_INSTRUCTIONS / 4;
/// Most instructions to admit one request, on the data path.
const ADMIT_INSTRUCTIONS: u64 = 10_000;

const FLEET: usize = 2_200;
const DOMAINS: usize = 16;
const TARGETS: u64 = 9_500;
const HOLDERS: usize = 21;

fn limit(instructions: u64) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, instructions)]);
    let mut config = LibraryBenchmarkConfig::default();
    config.tool(callgrind);
    config
}

fn fleet() -> Vec<PlatformVm> {
    let listed = |number: usize| PlatformVm {
        vm: format!("vm-{number:04}").into(),
        failure_domain: format!("d{:02}", number % DOMAINS).into(),
        peer_address: ([10, 1, 1, 1], 7_402).into(),
        caller_address: ([10, 1, 1, 1], 7_400).into(),
        leaving: false,
    };
    (0..FLEET).map(listed).collect()
}

fn record(vm: &PlatformVm, sequence: u64) -> MemberRecord {
    MemberRecord { incarnation: 1_796_000_000_000, sequence, ..MemberRecord::from(vm) }
}

fn members() -> (MembershipEngine, Instant) {
    let (fleet, now) = (fleet(), Instant::now());
    let own = record(&fleet[0], 0);
    let mut members = MembershipEngine::new(MembershipSettings::default(), own, now);
    members.apply_list(&fleet);
    // Begins the round, which is shuffled once in as many heartbeats as there are VMs.
    members.tick(ObjectSummary::default(), now + Duration::from_secs(10));
    (members, now + Duration::from_secs(20))
}

fn heartbeat() -> (MembershipEngine, ExchangeMessage, Instant) {
    let (members, now) = members();
    let fleet = fleet();
    let news = [10, 20, 30].map(|number: usize| record(&fleet[number], 3)).to_vec();
    let sender = record(&fleet[1], 2);
    let message = ExchangeMessage { sender, members: news, summary: ObjectSummary::default() };
    (members, message, now)
}

#[library_benchmark(config = limit(EXCHANGE_INSTRUCTIONS))]
#[bench::fleet(heartbeat())]
fn heartbeat_exchange(input: (MembershipEngine, ExchangeMessage, Instant)) -> MembershipEngine {
    let (mut members, message, now) = input;
    black_box(members.tick(ObjectSummary::default(), now));
    black_box(members.receive(&message, ObjectSummary::default(), now));
    members.reply_came(&message);
    members
}

fn target(number: u64, revision: u64) -> ConfigurationObject {
    let key = ObjectKey { kind: ObjectKind::Targets, name: format!("t-{number:05}").into() };
    ConfigurationObject { key, revision, body: Some(vec![b'x'; 300].into()) }
}

fn change() -> (SpreadEngine, MembershipEngine, ConfigurationObject) {
    let mut spread = SpreadEngine::default();
    let (members, _) = members();
    let objects: Vec<_> = (1..=TARGETS).map(|number| target(number, number)).collect();
    spread.apply_listing(&ObjectListing::from_platform(&objects, TARGETS));
    (spread, members, target(77, TARGETS + 1))
}

#[library_benchmark(config = limit(CHANGE_INSTRUCTIONS))]
#[bench::target(change())]
fn change_taken_in(
    input: (SpreadEngine, MembershipEngine, ConfigurationObject),
) -> (SpreadEngine, MembershipEngine) {
    let (mut spread, mut members, object) = input;
    black_box(spread.changed(&[object], &mut members));
    (spread, members)
}

fn holders() -> Vec<MemberRecord> {
    fleet().iter().take(HOLDERS).map(|vm| record(vm, 1)).collect()
}

#[library_benchmark(config = limit(ADDRESS_INSTRUCTIONS))]
#[bench::holders(holders())]
fn address_answer(records: Vec<MemberRecord>) -> Vec<MemberRecord> {
    let holders: Vec<_> =
        records.iter().map(|record| (record, MemberStanding::Serving, 100)).collect();
    black_box(address_plan("caller", &holders));
    records
}

fn candidates() -> Vec<SubsetCandidate> {
    let candidate = |listed: PlatformVm| SubsetCandidate {
        vm: listed.vm,
        failure_domain: listed.failure_domain,
    };
    fleet().into_iter().map(candidate).collect()
}

#[library_benchmark(config = limit(HOLDER_INSTRUCTIONS))]
#[bench::fleet(candidates())]
fn service_holders_anew(vms: Vec<SubsetCandidate>) -> Vec<SubsetCandidate> {
    black_box(service_holders("courses", &vms, HOLDERS));
    vms
}

fn domain() -> Vec<VmId> {
    fleet().into_iter().step_by(DOMAINS).map(|listed| listed.vm).collect()
}

#[library_benchmark(config = limit(HOLDER_INSTRUCTIONS))]
#[bench::domain(domain())]
fn watch_holders_anew(vms: Vec<VmId>) -> Vec<VmId> {
    black_box(watch_holders(&"d00".into(), &vms));
    vms
}

fn limiter() -> (CustomerLimiter, Instant) {
    let now = Instant::now();
    (CustomerLimiter::new(100_000.0, HOLDERS, now), now + Duration::from_secs(1))
}

#[library_benchmark(config = limit(ADMIT_INSTRUCTIONS))]
#[bench::customer(limiter())]
fn request_admitted(input: (CustomerLimiter, Instant)) -> CustomerLimiter {
    let (mut limiter, now) = input;
    black_box(limiter.admit(ClassPriority::Interactive, now));
    limiter
}

library_benchmark_group!(
    name = control;
    benchmarks = heartbeat_exchange, change_taken_in, address_answer, service_holders_anew,
        watch_holders_anew, request_admitted
);

main!(library_benchmark_groups = control);
