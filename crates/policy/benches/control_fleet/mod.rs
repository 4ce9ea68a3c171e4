//! Fixtures of the control state at any size: VMs, targets, contracts and snapshots.

#![allow(dead_code)]

use std::time::Instant;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::PlatformVm;
use oleanderwind_policy::RawClass;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::RawPlacement;
use oleanderwind_policy::SubsetCandidate;

/// Number of failure domains of the fleet.
pub(crate) const DOMAINS: usize = 16;
/// Body size of a target object.
const TARGET_BYTES: usize = 300;
/// Body size of a snapshot object: 72 shards with two targets each.
const SNAPSHOT_BYTES: usize = 72 * 64;
/// Size of a memory page.
const PAGE_BYTES: usize = 4_096;

/// Returns the resident set size of the process in bytes, or zero if it can't be read.
pub(crate) fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

/// Returns the platform's list of a fleet of `vms` VMs.
pub(crate) fn platform_vms(vms: usize) -> Vec<PlatformVm> {
    let listed = |number: usize| PlatformVm {
        vm: format!("vm-{number:04}").into(),
        failure_domain: format!("r{}-d{:02}", number % 6, number % DOMAINS).into(),
        peer_address: ([10, 1, 1, 1], 7_402).into(),
        caller_address: ([10, 1, 1, 1], 7_400).into(),
        processor_millicores: 0,
        leaving: false,
    };
    (0..vms).map(listed).collect()
}

/// Returns the VMs of a fleet as candidates for a service.
pub(crate) fn candidates(vms: usize) -> Vec<SubsetCandidate> {
    let candidate = |listed: PlatformVm| SubsetCandidate {
        vm: listed.vm,
        failure_domain: listed.failure_domain,
    };
    platform_vms(vms).into_iter().map(candidate).collect()
}

/// Returns the record of a VM that has run for a while, with the given sequence number.
pub(crate) fn record(vm: &PlatformVm, sequence: u64) -> MemberRecord {
    MemberRecord { incarnation: 1_796_000_000_000, sequence, ..MemberRecord::from(vm) }
}

/// Returns the membership engine of the first VM of a fleet of `vms` VMs.
pub(crate) fn membership(vms: usize, now: Instant) -> MembershipEngine {
    let fleet = platform_vms(vms);
    let own = record(&fleet[0], 0);
    let mut membership = MembershipEngine::new(MembershipSettings::default(), own, now);
    membership.apply_platform_list(&fleet);
    membership
}

/// Returns a contract with three classes, in the form that operators submit.
pub(crate) fn contract(number: usize) -> RawContract {
    let class = |service: usize, operation: OperationKind| RawClass {
        service: format!("service-{service}"),
        operation,
        deadline_ms: 210,
        coverage_floor_permille: 900,
        priority: ClassPriority::Interactive,
    };
    let classes = [
        ("finder", class(number % 66, OperationKind::Search)),
        ("lookup", class((number + 1) % 66, OperationKind::Search)),
        ("booking", class((number + 2) % 66, OperationKind::Execute)),
    ];
    let placement =
        |provider: &str| RawPlacement { provider: provider.into(), share_permille: 500 };
    RawContract {
        customer: format!("customer-{number:04}"),
        preference: AnswerPreference::Coverage,
        requests_per_second: 168.0,
        extra_load_permille: 100,
        placement: vec![placement("east"), placement("west")],
        classes: classes.map(|(name, class)| (name.to_owned(), class)).into(),
    }
}

/// Returns the object of a target.
pub(crate) fn target_object(number: usize, revision: u64) -> ConfigurationObject {
    let name = format!("t-{number:05}");
    object(ObjectKind::Targets, &name, revision, vec![b'x'; TARGET_BYTES])
}

/// Returns the object of a contract.
pub(crate) fn contract_object(number: usize, revision: u64) -> ConfigurationObject {
    let raw = contract(number);
    let body = serde_json::to_vec(&raw).unwrap_or_default();
    object(ObjectKind::Contracts, &raw.customer, revision, body)
}

/// Returns the object of a snapshot.
pub(crate) fn snapshot_object(number: usize, revision: u64) -> ConfigurationObject {
    let name = format!("service-{number}.east.1");
    object(ObjectKind::Snapshots, &name, revision, vec![b'x'; SNAPSHOT_BYTES])
}

/// Returns the platform's object of a VM.
pub(crate) fn vm_object(number: usize, revision: u64) -> ConfigurationObject {
    object(ObjectKind::Vms, &format!("vm-{number:04}"), revision, vec![b'x'; TARGET_BYTES])
}

fn object(kind: ObjectKind, name: &str, revision: u64, body: Vec<u8>) -> ConfigurationObject {
    let key = ObjectKey { kind, name: name.into() };
    ConfigurationObject { key, revision, version: 0, body: Some(body.into()) }
}
