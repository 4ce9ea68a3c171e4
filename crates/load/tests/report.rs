//! Tests of reports, their summary, comparison and plots.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use expect_test::expect;
use oleanderwind_load::ClassTally;
use oleanderwind_load::CompareBounds;
use oleanderwind_load::ContractCheck;
use oleanderwind_load::ContractMeasure;
use oleanderwind_load::CustomerReport;
use oleanderwind_load::ExtraLoad;
use oleanderwind_load::ProcessUsage;
use oleanderwind_load::REPORT_VERSION;
use oleanderwind_load::RequestSample;
use oleanderwind_load::RunReport;
use oleanderwind_load::compare_reports;
use oleanderwind_load::draw_comparison;
use oleanderwind_load::draw_percentiles;
use oleanderwind_load::render_summary;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::ClassTerms;
use oleanderwind_policy::OperationKind;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_wire::CoverageReport;
use support::full_coverage;
use support::short_run;

/// Returns a report of 100 searches and 100 bookings with latencies of 1 to 100 times `step_ms`.
///
/// The first booking lost its connection. If `covered` is less than 10, every tenth search is
/// partial and covers `covered` of 10 documents.
fn report(step_ms: u64, covered: u64) -> RunReport {
    let terms = ClassTerms {
        service: "member-app".into(),
        operation: OperationKind::Search,
        deadline: Duration::from_millis(150),
        coverage_floor_permille: 950,
        priority: ClassPriority::Interactive,
    };
    let mut search = ClassTally::new("find-bed", Some(&terms)).unwrap();
    let mut booking = ClassTally::new("booking", None).unwrap();
    for number in 1..=100 {
        let is_partial = number % 10 == 0 && covered < 10;
        let mut sample = RequestSample {
            outcome: Some(RequestOutcome::Answered),
            latency: Duration::from_millis(step_ms * number),
            coverage: Some(full_coverage()),
            is_wrong: false,
        };
        if is_partial {
            sample.outcome = Some(RequestOutcome::Partial);
            sample.coverage =
                Some(CoverageReport { documents_covered: covered, ..full_coverage() });
        }
        search.record(&sample);
        let outcome = (number > 1).then_some(RequestOutcome::Answered);
        booking.record(&RequestSample { outcome, coverage: None, ..sample });
    }
    RunReport {
        version: REPORT_VERSION,
        settings: short_run(&["127.0.0.1:1"], 200),
        elapsed_ms: 4_000,
        overflowed: 3,
        reconnects: 1,
        customers: vec![CustomerReport {
            customer: "haneul".to_string(),
            classes: vec![search.report(), booking.report()],
            extra_load: Some(ExtraLoad { primary_calls: 2_000, extra_calls: 20 * step_ms }),
            phases: Vec::new(),
            seconds: Vec::new(),
            checks: vec![ContractCheck {
                class: Some("find-bed".to_string()),
                measure: ContractMeasure::TailMs,
                measured: 99.0,
                bound: 150.0,
                held: true,
            }],
        }],
        processes: vec![ProcessUsage { pid: 12, cpu_seconds: 1.25, resident_kb: 20_480 }],
    }
}

#[test]
fn run_report_as_json() {
    let report = report(1, 9);
    let text = serde_json::to_string_pretty(&report).unwrap();
    expect![[r#"
        {
          "version": 1,
          "settings": {
            "deployments": [
              "haneul"
            ],
            "seed_addresses": [
              "127.0.0.1:1"
            ],
            "rate": 1000.0,
            "duration_ms": 60000,
            "count": 200,
            "seed": 5,
            "repeat_permille": 1000,
            "concurrency": 100,
            "callers": 2,
            "timeout_ms": 20000,
            "progress_ms": 60000,
            "metrics_addresses": [],
            "pids": []
          },
          "elapsed_ms": 4000,
          "overflowed": 3,
          "reconnects": 1,
          "customers": [
            {
              "customer": "haneul",
              "classes": [
                {
                  "class": "find-bed",
                  "counts": {
                    "sent": 100,
                    "answered": 90,
                    "partial": 10,
                    "not_run": 0,
                    "unknown": 0,
                    "in_time": 100,
                    "connection_errors": 0,
                    "deadline_misses": 0,
                    "wrong_answers": 0
                  },
                  "repeats": {
                    "sent": 0,
                    "answered": 0,
                    "partial": 0,
                    "not_run": 0,
                    "unknown": 0,
                    "in_time": 0,
                    "connection_errors": 0,
                    "deadline_misses": 0,
                    "wrong_answers": 0
                  },
                  "latency": {
                    "count": 100,
                    "p50_us": 50015,
                    "p90_us": 90047,
                    "p99_us": 99007,
                    "p999_us": 100031,
                    "max_us": 100031
                  },
                  "given_up": {
                    "count": 0,
                    "p50_us": 0,
                    "p90_us": 0,
                    "p99_us": 0,
                    "p999_us": 0,
                    "max_us": 0
                  },
                  "percentiles": [
                    {
                      "percentile": 0.0,
                      "latency_us": 1000
                    },
                    {
                      "percentile": 10.0,
                      "latency_us": 10007
                    },
                    {
                      "percentile": 25.0,
                      "latency_us": 25007
                    },
                    {
                      "percentile": 50.0,
                      "latency_us": 50015
                    },
                    {
                      "percentile": 75.0,
                      "latency_us": 75007
                    },
                    {
                      "percentile": 90.0,
                      "latency_us": 90047
                    },
                    {
                      "percentile": 95.0,
                      "latency_us": 95039
                    },
                    {
                      "percentile": 99.0,
                      "latency_us": 99007
                    },
                    {
                      "percentile": 99.5,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.9,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.95,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.99,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 100.0,
                      "latency_us": 100031
                    }
                  ],
                  "coverage": {
                    "count": 100,
                    "mean_permille": 990.0,
                    "min_permille": 900.0,
                    "below_floor_permille": 100.0
                  }
                },
                {
                  "class": "booking",
                  "counts": {
                    "sent": 100,
                    "answered": 99,
                    "partial": 0,
                    "not_run": 0,
                    "unknown": 0,
                    "in_time": 99,
                    "connection_errors": 1,
                    "deadline_misses": 0,
                    "wrong_answers": 0
                  },
                  "repeats": {
                    "sent": 0,
                    "answered": 0,
                    "partial": 0,
                    "not_run": 0,
                    "unknown": 0,
                    "in_time": 0,
                    "connection_errors": 0,
                    "deadline_misses": 0,
                    "wrong_answers": 0
                  },
                  "latency": {
                    "count": 99,
                    "p50_us": 51007,
                    "p90_us": 91007,
                    "p99_us": 100031,
                    "p999_us": 100031,
                    "max_us": 100031
                  },
                  "given_up": {
                    "count": 0,
                    "p50_us": 0,
                    "p90_us": 0,
                    "p99_us": 0,
                    "p999_us": 0,
                    "max_us": 0
                  },
                  "percentiles": [
                    {
                      "percentile": 0.0,
                      "latency_us": 2000
                    },
                    {
                      "percentile": 10.0,
                      "latency_us": 11007
                    },
                    {
                      "percentile": 25.0,
                      "latency_us": 26015
                    },
                    {
                      "percentile": 50.0,
                      "latency_us": 51007
                    },
                    {
                      "percentile": 75.0,
                      "latency_us": 76031
                    },
                    {
                      "percentile": 90.0,
                      "latency_us": 91007
                    },
                    {
                      "percentile": 95.0,
                      "latency_us": 96063
                    },
                    {
                      "percentile": 99.0,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.5,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.9,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.95,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 99.99,
                      "latency_us": 100031
                    },
                    {
                      "percentile": 100.0,
                      "latency_us": 100031
                    }
                  ],
                  "coverage": null
                }
              ],
              "extra_load": {
                "primary_calls": 2000,
                "extra_calls": 20
              },
              "checks": [
                {
                  "class": "find-bed",
                  "measure": "tail_ms",
                  "measured": 99.0,
                  "bound": 150.0,
                  "held": true
                }
              ]
            }
          ],
          "processes": [
            {
              "pid": 12,
              "cpu_seconds": 1.25,
              "resident_kb": 20480
            }
          ]
        }"#]]
    .assert_eq(&text);
    assert_eq!(serde_json::from_str::<RunReport>(&text).unwrap(), report);
}

#[test]
fn render_summary_of_one_customer() {
    expect![[r#"
        seed 5, 4000 ms, 3 overflowed, 1 reconnects

        haneul
          class                 sent answered partial not run unknown    cut missed  wrong    p50 ms    p99 ms  p99.9 ms    max ms  coverage
          find-bed               100       90      10       0       0      0     25      0     100.0     198.0     200.1     200.1     990.0
          booking                100       99       0       0       0      1      0      0     102.0     200.1     200.1     200.1         -
          extra load: 20.0 permille (40 extra calls, 2000 first calls)
          held: find-bed, p99 against deadline: 99.0 of 150.0 ms
        process 12: 1.25 CPU seconds, 20480 kB resident
    "#]].assert_eq(&render_summary(&report(2, 9)));
}

#[test]
fn compare_reports_within_bounds() {
    let bounds = CompareBounds {
        p99_growth_permille: Some(0.0),
        coverage_drop_permille: Some(0.0),
        extra_load_growth_permille: Some(0.0),
        wrong_answers: Some(0),
        connection_errors: Some(1),
    };
    let table = compare_reports(&report(1, 9), &report(1, 9), &bounds);
    assert!(table.holds(), "{}", table.render());
}

#[test]
fn compare_reports_beyond_bounds() {
    let bounds = CompareBounds {
        p99_growth_permille: Some(500.0),
        coverage_drop_permille: Some(10.0),
        extra_load_growth_permille: Some(5.0),
        wrong_answers: Some(0),
        connection_errors: Some(0),
    };
    let table = compare_reports(&report(1, 10), &report(2, 8), &bounds);
    assert!(!table.holds());
    expect![[r#"
        customer/class                     value                      first      second  difference       bound
        haneul/find-bed                    p50 ms                      50.0       100.0       +50.0           -
        haneul/find-bed                    p99 ms                      99.0       198.0       +99.0       148.5 BROKEN
        haneul/find-bed                    p99.9 ms                   100.0       200.1      +100.0           -
        haneul/find-bed                    coverage permille         1000.0       980.0       -20.0       990.0 BROKEN
        haneul/find-bed                    cut                          0.0         0.0        +0.0         0.0
        haneul/find-bed                    missed                       0.0        25.0       +25.0           -
        haneul/find-bed                    wrong                        0.0         0.0        +0.0         0.0
        haneul/booking                     p50 ms                      51.0       102.0       +51.0           -
        haneul/booking                     p99 ms                     100.0       200.1      +100.0       150.0 BROKEN
        haneul/booking                     p99.9 ms                   100.0       200.1      +100.0           -
        haneul/booking                     cut                          1.0         1.0        +0.0         0.0 BROKEN
        haneul/booking                     wrong                        0.0         0.0        +0.0         0.0
        haneul                             extra load permille         10.0        20.0       +10.0        15.0 BROKEN
    "#]].assert_eq(&table.render());
}

#[test]
fn compare_reports_missing_measurement() {
    let mut lacking = report(1, 9);
    lacking.customers[0].classes.pop();
    lacking.customers[0].extra_load = None;
    let free = compare_reports(&report(1, 9), &lacking, &CompareBounds::default());
    assert_eq!(free.missing, ["haneul/booking", "haneul, extra load"]);
    assert!(free.holds(), "a comparison without bounds must hold");
    let bounds = CompareBounds { wrong_answers: Some(0), ..CompareBounds::default() };
    assert!(!compare_reports(&report(1, 9), &lacking, &bounds).holds());
    lacking.customers.clear();
    assert!(!compare_reports(&report(1, 9), &lacking, &bounds).holds());
    assert!(!compare_reports(&lacking, &report(1, 9), &bounds).holds());
}

#[test]
fn draw_percentiles_and_comparison() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (first, second) = (report(1, 9), report(2, 9));
    let path = folder.join("percentiles.svg");
    draw_percentiles(&first, &path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    assert!(text.contains("haneul/find-bed") && text.contains("99.9"), "{text}");
    let path = folder.join("comparison.svg");
    draw_comparison(&[("old", &first), ("new", &second)], &path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    for label in ["old: haneul/find-bed", "old: haneul/booking", "new: haneul/booking"] {
        assert!(text.contains(label), "{label}");
    }
    assert!(draw_percentiles(&first, &folder.join("none/x.svg")).is_err());
}
