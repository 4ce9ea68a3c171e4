//! Short runs against fake VMs: what is counted, and from when latency counts.
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

/// Sums of the first tries and of the repeats over all classes.
fn totals(report: &RunReport) -> (OutcomeCounts, OutcomeCounts) {
    let mut first = OutcomeCounts::default();
    let mut repeats = OutcomeCounts::default();
    for class in report.customers.iter().flat_map(|customer| &customer.classes) {
        first.add(&class.counts);
        repeats.add(&class.repeats);
    }
    (first, repeats)
}

/// A contract of `haneul` with one search and one operation.
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

/// Terms that held and terms that did not.
fn verdicts(report: &RunReport) -> Vec<(Option<&str>, ContractMeasure, bool)> {
    let checks = report.customers.iter().flat_map(|customer| &customer.checks);
    checks.map(|check| (check.class.as_deref(), check.measure, check.held)).collect()
}

/// Runs 60 requests against one VM.
async fn run_against(behaviour: FakeBehaviour) -> (RunReport, std::rc::Rc<FakeVm>) {
    let vm = FakeVm::start(behaviour).await;
    let report = run_load(&short_run(&[&vm.address], 60), &[]).await.unwrap();
    (report, vm)
}

#[actix_rt::test]
async fn run_load_sound_vm() {
    let (report, vm) = run_against(FakeBehaviour::Sound).await;
    let (counts, repeats) = totals(&report);
    let expected =
        OutcomeCounts { sent: 60, answered: 60, in_time: 60, ..OutcomeCounts::default() };
    assert_eq!(counts, expected);
    assert_eq!(repeats, OutcomeCounts::default());
    assert_eq!(vm.seen.borrow().len(), 60);
    assert!(vm.address_calls.get() < 60, "a kept address is not asked for again");
}

#[actix_rt::test]
async fn run_load_asks_once_for_requests_that_come_together() {
    let vm = FakeVm::start(FakeBehaviour::Sound).await;
    let mut settings = short_run(&[&vm.address], 60);
    settings.rate = 100_000.0;
    settings.callers = 2;
    run_load(&settings, &[]).await.unwrap();
    assert_eq!(vm.seen.borrow().len(), 60);
    assert_eq!(vm.address_calls.get(), 2, "one call a caller");
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
    let (report, vm) = run_against(FakeBehaviour::RefusedFirst).await;
    let (counts, repeats) = totals(&report);
    assert_eq!((counts.sent, counts.not_run, counts.wrong_answers), (60, 60, 0));
    assert!(repeats.sent > 0);
    assert_eq!(repeats.answered, repeats.sent);
    let mut keys: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
    let mut ids = BTreeSet::new();
    for seen in vm.seen.borrow().iter() {
        let Some(key) = &seen.key else { continue };
        assert_eq!(LedgerKey::try_from(key.as_str()).unwrap().text().as_ref(), key);
        assert!(key.ends_with(&format!("-{}", seen.id)), "{key} is not the request's own");
        keys.entry(key.clone()).or_default().push(seen.attempt.clone());
        ids.insert(seen.id.clone());
    }
    assert_eq!((keys.len() as u64, ids.len() as u64), (repeats.sent, repeats.sent));
    let counted = [Some("1".to_string()), Some("2".to_string())];
    assert!(
        keys.values().all(|attempts| *attempts == counted),
        "a repeat keeps the key with its issue time and counts the attempt"
    );
}

#[actix_rt::test]
async fn run_load_counts_from_the_intended_time() {
    let stall = Duration::from_secs(1);
    let vm = FakeVm::start(FakeBehaviour::Stalled(stall)).await;
    let mut settings = short_run(&[&vm.address], 60);
    settings.concurrency = 1;
    let report = run_load(&settings, &[]).await.unwrap();
    assert_eq!(vm.seen.borrow().len(), 60);
    // One request alone was slow at the VM. Each was due within the first 400 ms, so each
    // waited at least 600 ms; a slower machine only makes the wait longer.
    let last = oleanderwind_load::ArrivalPlan::new(settings.arrivals()).last().unwrap();
    assert!(last.at < Duration::from_millis(400));
    for class in report.customers.iter().flat_map(|customer| &customer.classes) {
        assert!(class.latency.count == 0 || class.latency.p50_us >= 599_000, "{class:?}");
    }
    assert!(report.overflowed > 0);
}

#[actix_rt::test]
async fn run_load_counts_cut_requests() {
    let cut = FakeVm::start(FakeBehaviour::Cut).await;
    let seed = FakeVm::start(FakeBehaviour::Sound).await;
    *seed.addresses.borrow_mut() = vec![cut.address.clone()];
    let report = run_load(&short_run(&[&seed.address], 20), &[contract(0)]).await.unwrap();
    let (counts, _) = totals(&report);
    assert_eq!((counts.sent, counts.connection_errors, counts.answered), (20, 20, 0));
    let unanswered = ContractMeasure::UnansweredPermille;
    let expected = [(Some("booking"), unanswered, false), (Some("find-bed"), unanswered, false)];
    assert_eq!(verdicts(&report), expected, "a cut request is no answer in time");
}

#[actix_rt::test]
async fn run_load_refusals_hold_no_contract() {
    let vm = FakeVm::start(FakeBehaviour::RefusedFirst).await;
    let report = run_load(&short_run(&[&vm.address], 20), &[contract(0)]).await.unwrap();
    let unanswered = ContractMeasure::UnansweredPermille;
    let expected = [(Some("booking"), unanswered, false), (Some("find-bed"), unanswered, false)];
    assert_eq!(verdicts(&report), expected, "a soon refusal is no answer in time");
}

#[actix_rt::test]
async fn run_load_asks_again_when_it_cannot_connect() {
    let seed = FakeVm::start(FakeBehaviour::Sound).await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_address = closed.local_addr().unwrap().to_string();
    drop(closed);
    *seed.addresses.borrow_mut() = vec![closed_address, seed.address.clone()];
    let mut settings = short_run(&[&seed.address], 20);
    settings.concurrency = 1;
    let report = run_load(&settings, &[]).await.unwrap();
    let (counts, _) = totals(&report);
    assert_eq!((counts.answered, counts.connection_errors), (20, 0));
    assert_eq!(report.reconnects, 2, "each of the two callers asks once more");
}

#[actix_rt::test]
async fn run_load_measures_extra_load_and_processes() {
    let vm = FakeVm::start(FakeBehaviour::Sound).await;
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
    assert_eq!(verdicts(&report), expected, "50 permille of extra load break a limit of 49");
    let load = report.customers[0].extra_load.unwrap();
    assert_eq!((load.primary_calls, load.extra_calls), (400, 20));
    assert!(report.processes[0].resident_kb > 0);
}
