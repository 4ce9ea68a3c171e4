//! Tests of experiments: trial order, plan findings, tables, built-in scenarios and child processes.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use expect_test::expect;
use oleanderwind_load::ChildProgram;
use oleanderwind_load::ClassTally;
use oleanderwind_load::CustomerReport;
use oleanderwind_load::DeploymentName;
use oleanderwind_load::ExperimentPlan;
use oleanderwind_load::ExperimentReport;
use oleanderwind_load::PlannedTrial;
use oleanderwind_load::REPORT_VERSION;
use oleanderwind_load::RequestSample;
use oleanderwind_load::RunReport;
use oleanderwind_load::RunSettings;
use oleanderwind_load::ScenarioName;
use oleanderwind_load::SecondReport;
use oleanderwind_load::TrialResult;
use oleanderwind_load::builtin_variant;
use oleanderwind_load::draw_experiment;
use oleanderwind_load::render_experiment;
use oleanderwind_load::render_objectives;
use oleanderwind_load::variant_names;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::RequestOutcome;

/// Returns a plan with two variants, one scenario and three rounds.
fn plan() -> ExperimentPlan {
    serde_json::from_value(serde_json::json!({
        "variants": [{"name": "base"}, {"name": "keep", "environment": {"OLEANDERWIND_ADDRESS_KEEP_MS": "50"}}],
        "scenarios": [{"name": "calm"}],
        "rounds": 3, "vms": 3, "deployments": ["haneul"], "rate": 20.0, "duration_ms": 1000, "seed": 9,
    }))
    .unwrap()
}

/// Returns the result of a trial with one customer.
fn trial_result(
    plan: &ExperimentPlan,
    trial: &PlannedTrial,
    scenario: &str,
    customer: CustomerReport,
) -> TrialResult {
    TrialResult {
        round: trial.round,
        variant: plan.variants[trial.variant].name.clone(),
        scenario: scenario.to_string(),
        report: RunReport {
            version: REPORT_VERSION,
            settings: RunSettings::default(),
            elapsed_ms: 1,
            overflowed: 0,
            reconnects: 0,
            customers: vec![customer],
            processes: Vec::new(),
        },
    }
}

#[test]
fn trials_alternate_and_share_seeds() {
    let trials = plan().trials();
    let order: Vec<usize> = trials.iter().map(|trial| trial.variant).collect();
    assert_eq!(order, [0, 1, 1, 0, 0, 1]);
    let seeds: Vec<u64> = trials.iter().map(|trial| trial.seed).collect();
    assert_eq!(seeds, [9, 9, 10, 10, 11, 11]);
    assert_eq!(trials[2], PlannedTrial { round: 1, scenario: 0, variant: 1, seed: 10 });
}

#[test]
fn check_reports_every_finding() {
    assert!(plan().check().is_ok());
    let mut broken = plan();
    broken.variants[1].name = "base".to_string();
    broken.scenarios.clear();
    broken.rate = 0.0;
    expect![[r#"
        scenarios: is 0 or empty; give at least one
        rate: is 0; give more than 0
        variants[1].name: is empty or repeated; give another"#]]
    .assert_eq(&broken.check().unwrap_err().to_string());
}

#[test]
fn render_experiment_shows_medians() {
    let plan = plan();
    let trials = plan.trials().into_iter().map(|planned| {
        let mut tally = ClassTally::new("find-bed", None).unwrap();
        tally.record(&RequestSample {
            outcome: Some(RequestOutcome::Answered),
            latency: std::time::Duration::from_millis(
                10 + planned.seed * (1 + planned.variant as u64),
            ),
            coverage: None,
            is_wrong: false,
        });
        let customer = CustomerReport {
            customer: "haneul".to_string(),
            classes: vec![tally.report()],
            extra_load: None,
            phases: Vec::new(),
            seconds: Vec::new(),
            checks: Vec::new(),
        };
        trial_result(&plan, &planned, "calm", customer)
    });
    let trials = trials.collect();
    let report = ExperimentReport { plan, trials };
    expect![[r#"
        scenario         customer/class                     variant                              p99 ms          coverage permille       not in time permille
        calm             haneul/find-bed                    base                      20.0 (19.0..21.0)                          -             0.0 (0.0..0.0)
        calm             haneul/find-bed                    keep                      30.0 (28.0..32.0)                          -             0.0 (0.0..0.0)
    "#]].assert_eq(&render_experiment(&report));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("experiment.svg");
    draw_experiment(&report, &path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    assert!(text.contains("calm, keep: haneul/find-bed"), "{text}");
}

#[actix_rt::test]
async fn child_program_reads_its_addresses() {
    let shell = Path::new("/bin/sh");
    let script = |text: &str| ["-c".to_string(), text.to_string()];
    let environment = [("CALLER".to_string(), "127.0.0.1:5".to_string())];
    let text = "echo \"{\\\"caller\\\":\\\"$CALLER\\\"}\"; exec sleep 60";
    let program = ChildProgram::start(shell, &script(text), &environment).await.unwrap();
    assert_eq!(program.address("caller").unwrap(), "127.0.0.1:5");
    assert!(program.address("peer").is_err());
    let entry = format!("/proc/{}", program.pid());
    assert!(Path::new(&entry).exists());
    drop(program);
    assert!(!Path::new(&entry).exists(), "dropping a ChildProgram kills its process");
    assert!(ChildProgram::start(shell, &script("exit 1"), &[]).await.is_err());
    assert!(ChildProgram::start(Path::new("/no/such"), &[], &[]).await.is_err());
}

#[test]
fn builtin_scenarios_make_valid_plans() {
    let deployments = [DeploymentName::Tsagaan, DeploymentName::Haneul];
    for name in ScenarioName::ALL {
        assert_eq!(ScenarioName::parse(name.as_str()), Some(name));
        let mut plan = plan();
        plan.duration_ms = 8_000;
        plan.scenarios = vec![name.scenario(&deployments, plan.rate, plan.duration_ms)];
        assert!(plan.check().is_ok(), "{name:?}: {:?}", plan.check());
        for call in &plan.scenarios[0].control_calls {
            match call.path.as_str() {
                "/control/faults" => {
                    serde_json::from_value::<oleanderwind_standin::FaultOrder>(call.body.clone())
                        .unwrap();
                }
                "/control/platform" => {
                    serde_json::from_value::<oleanderwind_standin::PlatformFault>(
                        call.body.clone(),
                    )
                    .unwrap();
                }
                "/control/snapshots" => {
                    serde_json::from_value::<oleanderwind_standin::SnapshotOrder>(
                        call.body.clone(),
                    )
                    .unwrap();
                }
                other => panic!("unknown control path {other}"),
            }
        }
    }
    assert_eq!(ScenarioName::parse("no-such"), None);
    for name in variant_names().split(", ") {
        assert_eq!(builtin_variant(name).unwrap().name, name);
    }
}

#[test]
fn render_objectives_marks_missed_objectives() {
    let raw: RawContract = serde_json::from_value(serde_json::json!({
        "customer": "haneul", "preference": "latency",
        "requests_per_second": 50, "extra_load_permille": 100,
        "placement": [{"provider": "east", "share_permille": 1000}],
        "classes": {"find-bed": {"service": "beds", "operation": "search", "deadline_ms": 15,
                                 "coverage_floor_permille": 900}}
    }))
    .unwrap();
    let contract = CustomerContract::try_from(&raw).unwrap();
    let terms = contract.classes.get("find-bed");
    let mut plan = plan();
    plan.rounds = 1;
    plan.scenarios =
        vec![ScenarioName::SlowPeriod.scenario(&[DeploymentName::Haneul], 20.0, 8_000)];
    let trials = plan.trials().into_iter().map(|planned| {
        let mut tally = ClassTally::new("find-bed", terms).unwrap();
        tally.record(&RequestSample {
            outcome: Some(RequestOutcome::Answered),
            latency: std::time::Duration::from_millis(10 + 10 * planned.variant as u64),
            coverage: None,
            is_wrong: false,
        });
        // The fault lasts from 2000 to 5000 ms.
        let degraded = SecondReport { sent: 10, held: 9 };
        let recovered = SecondReport { sent: 10, held: 10 };
        let mut seconds =
            vec![recovered, recovered, degraded, degraded, degraded, degraded, degraded, recovered];
        seconds[5 + planned.variant] = recovered;
        let customer = CustomerReport {
            customer: "haneul".to_string(),
            classes: vec![tally.report()],
            extra_load: Some(oleanderwind_load::ExtraLoad {
                primary_calls: 100,
                extra_calls: 10 + planned.variant as u64,
            }),
            phases: vec![Vec::new(), vec![tally.report()], Vec::new()],
            seconds,
            checks: Vec::new(),
        };
        trial_result(&plan, &planned, "slow-period", customer)
    });
    let trials = trials.collect();
    let report = ExperimentReport { plan: plan.clone(), trials };
    expect![[r#"
        slow-period, base, haneul, 1 rounds
          find-bed          whole  p99 10.0 of 15 ms              cover -                        p50  10.0 unanswered    0.0 late    0 given up <=    0.0 ms  holds
          find-bed          during p99 10.0 of 15 ms              cover -                        p50  10.0 unanswered    0.0 late    0 given up <=    0.0 ms  holds
          extra load 100.0 of 100 permille  holds
          first second after the fault in which 99 in 100 searches hold begins after: 0 ms
        slow-period, keep, haneul, 1 rounds
          find-bed          whole  p99 20.0 of 15 ms              cover -                        p50  20.0 unanswered 1000.0 late    1 given up <=    0.0 ms  BROKEN [Tail, Late, Answered]
          find-bed          during p99 20.0 of 15 ms              cover -                        p50  20.0 unanswered 1000.0 late    1 given up <=    0.0 ms  BROKEN [Tail, Late, Answered]
          extra load 110.0 of 100 permille  BROKEN
          first second after the fault in which 99 in 100 searches hold begins after: 1000 ms
    "#]].assert_eq(&render_objectives(&report, &[contract]));
}
