//! Requests served end to end, without faults.

use std::collections::BTreeMap;
use std::time::Duration;

use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_standin::StandinSettings;

use crate::support::ProcessFleet;
use crate::support::TestFleet;
use crate::support::wait_for;

#[actix_rt::test]
async fn search_covers_the_whole_snapshot() {
    let fleet = TestFleet::start(StandinSettings::default(), 3).await;
    let seed = fleet.caller_address(0);
    let addresses = fleet.caller.addresses(&seed, "tsagaan-ordon").await.unwrap();
    let vm = &addresses.addresses[0];
    let answer = fleet.caller.search(vm, "tsagaan-ordon", "module-finder", "budget").await.unwrap();
    let coverage = answer.coverage.unwrap();
    assert_eq!(coverage.shards_answered, 20);
    assert_eq!(coverage.documents_covered, coverage.documents_total);
    assert_eq!(answer.digest, answer.content_digest());
}

#[actix_rt::test]
async fn search_is_served_by_separate_processes() {
    let fleet = ProcessFleet::start("haneul", 3).await;
    let vm = fleet.vms[1].address("caller");
    let answer = fleet.caller.search(&vm, "haneul", "find-bed", "window").await.unwrap();
    assert_eq!(answer.coverage.unwrap().shards_total, 20);
}

#[actix_rt::test]
async fn execute_without_a_key_is_not_run() {
    let fleet = TestFleet::start(StandinSettings::default(), 1).await;
    let vm = fleet.caller_address(0);
    let class = "certificate-entry";
    let answer = fleet.caller.execute(&vm, "tsagaan-ordon", class, "", 1).await.unwrap();
    assert_eq!(answer.outcome, RequestOutcome::NotRun);
    assert_eq!(answer.ran, RunState::No);
    assert_eq!(answer.refusal.unwrap().findings[0].place, "Idempotency-Key");
    assert!(fleet.standin.executions().is_empty());
}

#[actix_rt::test]
async fn addresses_rotate_their_first_entry() {
    let settings = StandinSettings { vm_list_lag: Duration::ZERO, ..StandinSettings::default() };
    let fleet = TestFleet::start(settings, 3).await;
    let seed = fleet.caller_address(0);
    let list_addresses =
        async || fleet.caller.addresses(&seed, "tsagaan-ordon").await.unwrap().addresses;
    wait_for("every VM is listed", async || list_addresses().await.len() == 3).await;
    let mut first_addresses: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..12 {
        *first_addresses.entry(list_addresses().await[0].clone()).or_default() += 1;
    }
    let counts: Vec<usize> = first_addresses.into_values().collect();
    assert_eq!(counts, [4, 4, 4], "first addresses are not evenly distributed over the VMs");
}
