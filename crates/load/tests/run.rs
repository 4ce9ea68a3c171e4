//! Tests of short runs against fake VMs: counts, contract checks and the start of latency.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use oleanderwind_load::ContractMeasure;
use oleanderwind_load::OutcomeCounts;
use oleanderwind_load::RunReport;
use oleanderwind_load::run_load;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::LedgerKey;
use oleanderwind_policy::RawContract;
use support::FakeBehaviour;
use support::FakeVm;
use support::short_run;

/// Returns the counts of first attempts and of repeats, summed over all classes.
fn totals(report: &RunReport) -> (OutcomeCounts, OutcomeCounts) {
    let mut first = OutcomeCounts::default();
    let mut repeats = OutcomeCounts::default();
    for class in report.customers.iter().flat_map(|customer| &customer.classes) {
        first.add(&class.counts);
        repeats.add(&class.repeats);
    }
    (first, repeats)
}

/// Returns a contract of `haneul` with one search class and one operation class.
fn contract(extra_load_permille: u32) -> CustomerContract {
    let raw: RawContract = serde_json::from_value(serde_json::json!({
        "customer": "haneul", "preference": "latency", "requests_per_second": 100,
        "extra_load_permille": extra_load_permille,
        "placement": [{"provider": "east", "share_permille": 1000}],
        "classes": {
            "find-bed": {"service": "member-app", "operation": "search",
                         "deadline_ms": 60_000, "coverage_floor_permille": 1000},
            "booking": {"service": "salon-counter", "operation": "execute", "deadline_ms": 60_000},
        }
    }))
    .unwrap();
    CustomerContract::try_from(&raw).unwrap()
}

/// Returns the class, the term and the result of each contract check.
fn check_results(report: &RunReport) -> Vec<(Option<&str>, ContractMeasure, bool)> {
    let checks = report.customers.iter().flat_map(|customer| &customer.checks);
    checks.map(|check| (check.class.as_deref(), check.measure, check.held)).collect()
}

/// Runs 60 requests against one fake VM.
async fn run_against(behaviour: FakeBehaviour) -> (RunReport, std::rc::Rc<FakeVm>) {
    let vm = FakeVm::start(behaviour).await;
    let report = run_load(&short_run(&[&vm.address], 60), &[]).await.unwrap();
    (report, vm)
}

#[actix_rt::test]
async fn run_load_correct_vm() {
    let (report, vm) = run_against(FakeBehaviour::Correct).await;
    let (counts, repeats) = totals(&report);
    let expected =
        OutcomeCounts { sent: 60, answered: 60, in_time: 60, ..OutcomeCounts::default() };
    assert_eq!(counts, expected);
    assert_eq!(repeats, OutcomeCounts::default());
    assert_eq!(vm.seen.borrow().len(), 60);
    assert!(vm.address_calls.get() < 60, "a cached address must not be looked up again");
}

#[actix_rt::test]
async fn run_load_shares_an_address_lookup_between_concurrent_requests() {
    let vm = FakeVm::start(FakeBehaviour::Correct).await;
    let mut settings = short_run(&[&vm.address], 60);
    settings.rate = 100_000.0;
    settings.callers = 2;
    run_load(&settings, &[]).await.unwrap();
    assert_eq!(vm.seen.borrow().len(), 60);
    assert_eq!(vm.address_calls.get(), 2, "each caller must look up its address once");
}

#[actix_rt::test]
async fn run_load_wrong_answers() {
    for behaviour in [FakeBehaviour::WrongDigest, FakeBehaviour::WrongId] {
        let (report, _vm) = run_against(behaviour).await;
        assert_eq!(totals(&report).0.wrong_answers, 60, "{behaviour:?}");
    }
    let (report, _vm) = run_against(FakeBehaviour::WrongCoverage).await;
    assert_eq!(totals(&report).0.wrong_answers, 60);
}

#[actix_rt::test]
async fn run_load_repeats_with_the_same_key() {
    let (report, vm) = run_against(FakeBehaviour::RefusesFirst).await;
    let (counts, repeats) = totals(&report);
    assert_eq!((counts.sent, counts.not_run, counts.wrong_answers), (60, 60, 0));
    assert!(repeats.sent > 0);
    assert_eq!(repeats.answered, repeats.sent);
    let mut keys: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
    let mut ids = BTreeSet::new();
    for seen in vm.seen.borrow().iter() {
        let Some(key) = &seen.key else { continue };
        assert_eq!(LedgerKey::try_from(key.as_str()).unwrap().text().as_ref(), key);
        assert!(
            key.ends_with(&format!("-{}", seen.id)),
            "{key} does not end with the id of its request"
        );
        keys.entry(key.clone()).or_default().push(seen.attempt.clone());
        ids.insert(seen.id.clone());
    }
    assert_eq!((keys.len() as u64, ids.len() as u64), (repeats.sent, repeats.sent));
    let counted = [Some("1".to_string()), Some("2".to_string())];
    assert!(
        keys.values().all(|attempts| *attempts == counted),
        "a repeat must keep its key and increment the attempt number"
    );
}

#[actix_rt::test]
async fn run_load_measures_latency_from_the_intended_send_time() {
    let delay = Duration::from_secs(1);
    let vm = FakeVm::start(FakeBehaviour::DelaysFirst(delay)).await;
    let mut settings = short_run(&[&vm.address], 60);
    settings.concurrency = 1;
    let report = run_load(&settings, &[]).await.unwrap();
    assert_eq!(vm.seen.borrow().len(), 60);
    // The VM delays only the first request, by 1 s, and the concurrency of 1 makes the others wait
    // for it. Each request was due within the first 400 ms, so each took at least 600 ms. A slower
    // machine only makes this longer.
    let last = oleanderwind_load::ArrivalPlan::new(settings.arrivals()).last().unwrap();
    assert!(last.at < Duration::from_millis(400));
    for class in report.customers.iter().flat_map(|customer| &customer.classes) {
        assert!(class.latency.count == 0 || class.latency.p50_us >= 599_000, "{class:?}");
    }
    assert!(report.overflowed > 0);
}

#[actix_rt::test]
async fn run_load_counts_lost_connections() {
    let closing = FakeVm::start(FakeBehaviour::ClosesConnections).await;
    let seed = FakeVm::start(FakeBehaviour::Correct).await;
    *seed.addresses.borrow_mut() = vec![closing.address.clone()];
    let report = run_load(&short_run(&[&seed.address], 20), &[contract(0)]).await.unwrap();
    let (counts, _) = totals(&report);
    assert_eq!((counts.sent, counts.connection_errors, counts.answered), (20, 20, 0));
    let unanswered = ContractMeasure::UnansweredPermille;
    let expected = [(Some("booking"), unanswered, false), (Some("find-bed"), unanswered, false)];
    assert_eq!(
        check_results(&report),
        expected,
        "a lost connection must not count as an answer in time"
    );
}

#[actix_rt::test]
async fn run_load_refusals_violate_the_contract() {
    let vm = FakeVm::start(FakeBehaviour::RefusesFirst).await;
    let report = run_load(&short_run(&[&vm.address], 20), &[contract(0)]).await.unwrap();
    let unanswered = ContractMeasure::UnansweredPermille;
    let expected = [(Some("booking"), unanswered, false), (Some("find-bed"), unanswered, false)];
    assert_eq!(
        check_results(&report),
        expected,
        "a fast refusal must not count as an answer in time"
    );
}

#[actix_rt::test]
async fn run_load_looks_up_another_address_when_it_cannot_connect() {
    let seed = FakeVm::start(FakeBehaviour::Correct).await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_address = closed.local_addr().unwrap().to_string();
    drop(closed);
    *seed.addresses.borrow_mut() = vec![closed_address, seed.address.clone()];
    let mut settings = short_run(&[&seed.address], 20);
    settings.concurrency = 1;
    let report = run_load(&settings, &[]).await.unwrap();
    let (counts, _) = totals(&report);
    assert_eq!((counts.answered, counts.connection_errors), (20, 0));
    assert_eq!(report.reconnects, 2, "each of the two callers must look up an address once more");
}

#[actix_rt::test]
async fn run_load_measures_extra_load_and_processes() {
    let vm = FakeVm::start(FakeBehaviour::Correct).await;
    let mut settings = short_run(&[&vm.address], 20);
    settings.metrics_addresses = vec![vm.address.clone()];
    settings.pids = vec![std::process::id()];
    let report = run_load(&settings, &[contract(49)]).await.unwrap();
    let expected = [
        (Some("booking"), ContractMeasure::UnansweredPermille, true),
        (Some("booking"), ContractMeasure::TailMs, true),
        (Some("find-bed"), ContractMeasure::UnansweredPermille, true),
        (Some("find-bed"), ContractMeasure::TailMs, true),
        (Some("find-bed"), ContractMeasure::CoveragePermille, true),
        (None, ContractMeasure::ExtraLoadPermille, false),
    ];
    assert_eq!(
        check_results(&report),
        expected,
        "an extra load of 50 permille must exceed a limit of 49"
    );
    let load = report.customers[0].extra_load.unwrap();
    assert_eq!((load.primary_calls, load.extra_calls), (400, 20));
    assert!(report.processes[0].resident_kb > 0);
}
