//! Propagation of configuration between VMs.
//!
//! Guards against VMs that keep or return to an old configuration because the platform does not
//! answer them, or because they were frozen.

use std::time::Instant;

use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::ContractEdit;
use oleanderwind_wire::FleetMember;
use serde_json::Value;

use crate::support::ProcessFleet;
use crate::support::TestCaller;
use crate::support::TestFleet;
use crate::support::wait_for;

/// Customer of every request.
const CUSTOMER: &str = "tsagaan-ordon";
/// Address where no platform answers.
const UNREACHABLE_PLATFORM: &str = "127.0.0.1:1";

/// Returns the contract that is in force on a VM.
async fn contract(caller: &TestCaller, admin: &str) -> Option<ContractDocument> {
    let list = caller.get(admin, "/v1/contracts").await?;
    let list: Vec<ContractDocument> = serde_json::from_value(list).ok()?;
    list.into_iter().next()
}

/// Changes the rate limit through one VM and returns the new revision.
async fn set_rate(caller: &TestCaller, admin: &str, rate: f64) -> u64 {
    let base = contract(caller, admin).await.unwrap();
    let mut changed = base.contract.clone();
    changed.requests_per_second = rate;
    let edit = ContractEdit {
        expected_revision: Some(base.revision),
        operator: "operator".to_owned(),
        contract: serde_json::to_value(&changed).unwrap(),
    };
    let body = serde_json::to_value(&edit).unwrap();
    let path = format!("/v1/contracts/{CUSTOMER}");
    let report: Value = caller.put(admin, &path, &body).await.unwrap();
    let revision = report["revision"].as_u64();
    revision.unwrap_or_else(|| panic!("the edit is not accepted: {report}"))
}

/// Waits until a revision is in force on a VM, and prints the time since `since`.
async fn wait_for_revision(caller: &TestCaller, admin: &str, revision: u64, since: Instant) {
    wait_for("the change is in force", async || {
        contract(caller, admin).await.is_some_and(|held| held.revision == revision)
    })
    .await;
    println!("in force at {admin} after {} ms", since.elapsed().as_millis());
}

/// Prints the propagation delays that a VM has measured.
async fn print_propagation(caller: &TestCaller, address: &str) {
    let metrics = caller.text(address, "/metrics").await.unwrap();
    let lines = metrics.lines().filter(|line| line.starts_with("oleanderwind_propagation_ms"));
    lines.for_each(|line| println!("{line}"));
}

#[actix_rt::test]
async fn contract_reaches_vms_whose_platform_is_unreachable() {
    let mut fleet = TestFleet::start(StandinSettings::default(), 3).await;
    for _ in 0..2 {
        fleet.add_vm_with_platform(UNREACHABLE_PLATFORM, 0).await;
    }
    for rate in [111.0, 222.0, 333.0] {
        let revision = set_rate(&fleet.caller, &fleet.admin_address(0), rate).await;
        let since = Instant::now();
        for vm in 0..5 {
            let admin = fleet.admin_address(vm);
            wait_for_revision(&fleet.caller, &admin, revision, since).await;
        }
    }
    print_propagation(&fleet.caller, &fleet.caller_address(4)).await;
}

#[actix_rt::test]
async fn vm_started_during_an_outage_takes_its_configuration_from_peers() {
    let mut fleet = TestFleet::start_converged(StandinSettings::default(), 3).await;
    let revision = set_rate(&fleet.caller, &fleet.admin_address(0), 111.0).await;
    for vm in 0..3 {
        let admin = fleet.admin_address(vm);
        wait_for_revision(&fleet.caller, &admin, revision, Instant::now()).await;
    }
    fleet.standin.apply_platform_fault(PlatformFault::Outage { manner: SilenceManner::Silent });
    fleet.vms[0].drain().await;
    let platform = fleet.standin.platform_address().to_string();
    let fresh = fleet.add_vm_with_platform(&platform, 1).await;
    let held = contract(&fleet.caller, &fleet.admin_address(fresh)).await.unwrap();
    assert_eq!(held.revision, revision);
    let address = fleet.caller_address(fresh);
    wait_for("the new VM admits requests", async || {
        let answer = fleet.caller.search(&address, CUSTOMER, "trainer-lookup", "board").await;
        answer.unwrap().outcome == RequestOutcome::Answered
    })
    .await;
    let other = fleet.caller_address(2);
    wait_for("another VM lists the new VM", async || {
        let answer = fleet.caller.addresses(&other, CUSTOMER).await.unwrap();
        answer.addresses.contains(&address)
    })
    .await;
}

#[actix_rt::test]
async fn frozen_vm_catches_up_without_an_older_revision() {
    let fleet = ProcessFleet::start("tsagaan", 3).await;
    let admins: Vec<String> = fleet.vms.iter().map(|vm| vm.address("admin")).collect();
    let caller = &fleet.caller;
    for admin in &admins {
        wait_for("the VM knows every VM", async || known_members(caller, admin).await == 3).await;
    }
    set_rate(caller, &admins[0], 111.0).await;
    fleet.vms[2].signal("STOP");
    let second = set_rate(caller, &admins[0], 222.0).await;
    // An edit on an older contract is a conflict.
    wait_for_revision(caller, &admins[1], second, Instant::now()).await;
    let revision = set_rate(caller, &admins[1], 333.0).await;
    for admin in &admins[..2] {
        wait_for_revision(caller, admin, revision, Instant::now()).await;
    }
    fleet.vms[2].signal("CONT");
    let mut newest = 0;
    wait_for("the resumed VM catches up", async || {
        let held = contract(caller, &admins[2]).await.map_or(0, |held| held.revision);
        assert!(held >= newest, "{held} after {newest}");
        newest = held;
        held == revision
    })
    .await;
}

/// Counts the VMs that a VM knows of, itself included.
async fn known_members(caller: &TestCaller, admin: &str) -> usize {
    let members = caller.get(admin, "/v1/fleet").await.unwrap();
    let members: Vec<FleetMember> = serde_json::from_value(members).unwrap();
    members.len()
}
