//! Tests of the command line: help texts, errors and exit codes.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use expect_test::Expect;
use expect_test::expect;
use oleanderwind_load::ExitStatus;
use oleanderwind_load::run_command;

/// Runs `args`. Returns the exit status, the output and the errors.
fn run(args: &[&str]) -> (ExitStatus, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let status = run_command(args, &mut out, &mut err);
    (status, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

/// Checks that `args` succeed and print the help text `expected`.
fn check_help(args: &[&str], expected: Expect) {
    let (status, out, err) = run(args);
    assert_eq!((status, err.as_str()), (ExitStatus::Success, ""));
    expected.assert_eq(&out);
}

/// Writes a file with `text` into the tests' temporary directory and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn help_of_the_program() {
    check_help(
        &["--help"],
        expect![[r#"
            Usage: oleanderwind-load <command> [<args>]

            Runs load tests against oleanderwind, checks every answer and reports latency, coverage and extra load. Exit codes: 0 success, 1 a bound is broken, 2 usage error, 3 could not run.

            Options:
              --help, help      display usage information

            Commands:
              run               Sends an open-loop load to running VMs. Latency is measured
                                from the intended send time. Exit codes: 0 success, 1 a
                                contract term is broken or an answer is wrong, 2 usage
                                error, 3 could not run.
              compare           Prints two reports side by side with their differences and
                                checks the given bounds. Exit codes: 0 every bound holds, 1
                                a bound is broken, 2 usage error, 3 could not run.
              experiment        Compares variants of the daemon's environment under the same
                                scenarios and seeds. Each trial starts stand-ins and daemons
                                of its own. Give --plan or at least one --scenario. The
                                plan's JSON: variants (name, environment), scenarios (name,
                                control_calls of at_ms, path and body, fault of from_ms and
                                to_ms, replace_vm_every_ms, rate_factors, contract_rates),
                                rounds, vms, deployments, rate, duration_ms, warm_up_ms,
                                seed. Scenarios: normal-day, slow-searcher, domain-down,
                                cold-start, shedding, false-load, over-limit, slow-period,
                                platform-away, repartition, vm-replacement,
                                silent-connections. Variants: default, hedge-none,
                                hedge-20ms, hedge-q990, least-outstanding, round-robin,
                                floor-late, floor-hedge, floor-third, floor-half. Exit
                                codes: 0 success, 1 a contract term is broken or an answer
                                is wrong in some trial, 2 usage error, 3 could not run.
              demo              Serves both deployments in this process on loopback and
                                sends them a load. Exit codes: 0 success, 1 a contract term
                                is broken or an answer is wrong, 2 usage error, 3 could not
                                run.
        "#]],
    );
}

#[test]
fn help_of_run() {
    check_help(
        &["run", "--help"],
        expect![[r#"
            Usage: oleanderwind-load run [--deployment <deployment...>] [--seed-address <seed-address...>] [--rate <rate>] [--seconds <seconds>] [--count <count>] [--seed <seed>] [--repeat-permille <repeat-permille>] [--concurrency <concurrency>] [--callers <callers>] [--timeout-ms <timeout-ms>] [--progress-ms <progress-ms>] [--contract <contract...>] [--metrics-address <metrics-address...>] [--pid <pid...>] [--report <report>] [--plot <plot>]

            Sends an open-loop load to running VMs. Latency is measured from the intended send time. Exit codes: 0 success, 1 a contract term is broken or an answer is wrong, 2 usage error, 3 could not run.

            Options:
              --deployment      deployment to send load to: tsagaan or haneul; may be
                                repeated
              --seed-address    ip:port of a VM that is queried for addresses; may be
                                repeated
              --rate            request rate of each deployment, in requests per second
                                (default 50)
              --seconds         duration of the load, in seconds (default 10)
              --count           maximum number of requests (default 1000000)
              --seed            random seed of arrival times, classes and request texts
                                (default 1)
              --repeat-permille share of requests with an idempotency key that are retried
                                with the same key when they did not run or it is unknown
                                whether they ran, in thousandths (default 500)
              --concurrency     maximum number of requests in flight; further requests wait
                                and are counted as overflowed (default 1000)
              --callers         number of callers of each deployment; each caches its own VM
                                address (default 8)
              --timeout-ms      maximum time to wait for a reply, in milliseconds (default
                                10000)
              --progress-ms     interval between progress lines, in milliseconds (default
                                3000)
              --contract        JSON file of a contract whose terms are checked; may be
                                repeated
              --metrics-address ip:port of a VM whose /metrics report the extra load; give
                                every VM
              --pid             id of a process whose CPU time and memory are measured; may
                                be repeated
              --report          output file of the JSON report
              --plot            output file of an SVG plot of the latency distributions
              --help, help      display usage information

            Examples:
              oleanderwind-load run --deployment haneul --seed-address 127.0.0.1:8080 --rate 50 --seconds 30 --contract haneul.json --report run.json
        "#]],
    );
}

#[test]
fn help_of_compare() {
    check_help(
        &["compare", "--help"],
        expect![[r#"
            Usage: oleanderwind-load compare [--max-p99-growth-permille <max-p99-growth-permille>] [--max-coverage-drop-permille <max-coverage-drop-permille>] [--max-extra-load-growth-permille <max-extra-load-growth-permille>] [--max-wrong-answers <max-wrong-answers>] [--max-connection-errors <max-connection-errors>] [--plot <plot>] [--] <first> <second>

            Prints two reports side by side with their differences and checks the given bounds. Exit codes: 0 every bound holds, 1 a bound is broken, 2 usage error, 3 could not run.

            Positional Arguments:
              first             JSON report of the baseline
              second            JSON report to check

            Options:
              --max-p99-growth-permille
                                maximum growth of a class's 99th percentile latency, in
                                thousandths of the first report's
              --max-coverage-drop-permille
                                maximum drop of a class's mean coverage, in thousandths of
                                the documents
              --max-extra-load-growth-permille
                                maximum growth of a customer's extra load, in thousandths of
                                its primary calls
              --max-wrong-answers
                                maximum number of wrong answers of a class in the second
                                report
              --max-connection-errors
                                maximum number of requests of a class without a reply in the
                                second report
              --plot            output file of an SVG plot of both latency distributions
              --help, help      display usage information

            Examples:
              oleanderwind-load compare before.json after.json --max-p99-growth-permille 50 --max-wrong-answers 0
        "#]],
    );
}

#[test]
fn run_reports_every_finding() {
    let contract = write_file(
        "broken-contract.json",
        r#"{"customer": "haneul", "preference": "latency",
        "requests_per_second": 0, "extra_load_permille": 50, "placement": [], "classes": {}}"#,
    );
    let args = [
        "run",
        "--seed-address",
        "here",
        "--rate",
        "0",
        "--repeat-permille",
        "1001",
        "--count",
        "0",
    ];
    let contract = contract.to_string_lossy().to_string();
    let (status, out, err) = run(&[&args[..], &["--contract", &contract]].concat());
    assert_eq!((status, out.as_str()), (ExitStatus::WrongUsage, ""));
    expect![[r#"
        --deployment: is missing; give tsagaan or haneul
        --seed-address: `here` is not a socket address; give ip:port
        --rate: is 0; give more than 0 and at most 100000
        --repeat-permille: is 1001; give 0 to 1000
        --count: is 0; give 1 or more
        --contract FILE: requests_per_second: is 0; give more than 0 and at most 1000000
        --contract FILE: placement: shares add up to 0; give 1000
        --contract FILE: classes: is empty; give at least one class
    "#]]
    .assert_eq(&err.replace(&contract, "FILE"));
}

#[test]
fn run_rejects_unknown_flag() {
    let (status, _, err) = run(&["run", "--speed", "3"]);
    assert_eq!(status, ExitStatus::WrongUsage);
    expect![[r#"
        Unrecognized argument: --speed
    "#]]
    .assert_eq(&err);
}

#[test]
fn run_fails_on_unreadable_process() {
    let args = ["run", "--deployment", "haneul", "--seed-address", "127.0.0.1:1"];
    let (status, _, err) = run(&[&args[..], &["--pid", "4294967295"]].concat());
    assert_eq!(status, ExitStatus::CouldNotRun);
    expect![[r#"
        could not run: process 4294967295 can't be read: No such file or directory (os error 2)
    "#]]
    .assert_eq(&err);
}

#[test]
fn compare_reports_findings_about_both_files() {
    let broken = write_file("no-report.json", "{}").to_string_lossy().to_string();
    let (status, _, err) = run(&["compare", &broken, "/does/not/exist.json"]);
    assert_eq!(status, ExitStatus::WrongUsage);
    expect![[r#"
        FILE: missing field `version` at line 1 column 2
        /does/not/exist.json: No such file or directory (os error 2)
    "#]]
    .assert_eq(&err.replace(&broken, "FILE"));
}

#[test]
fn help_of_experiment() {
    check_help(
        &["experiment", "--help"],
        expect![[r#"
            Usage: oleanderwind-load experiment [--plan <plan>] [--scenario <scenario...>] [--variant <variant...>] [--deployment <deployment...>] [--rate <rate>] [--seconds <seconds>] [--warm-up-seconds <warm-up-seconds>] [--rounds <rounds>] [--vms <vms>] [--seed <seed>] --daemon <daemon> --standin <standin> [--report <report>] [--plot <plot>]

            Compares variants of the daemon's environment under the same scenarios and seeds. Each trial starts stand-ins and daemons of its own. Give --plan or at least one --scenario. The plan's JSON: variants (name, environment), scenarios (name, control_calls of at_ms, path and body, fault of from_ms and to_ms, replace_vm_every_ms, rate_factors, contract_rates), rounds, vms, deployments, rate, duration_ms, warm_up_ms, seed. Scenarios: normal-day, slow-searcher, domain-down, cold-start, shedding, false-load, over-limit, slow-period, platform-away, repartition, vm-replacement, silent-connections. Variants: default, hedge-none, hedge-20ms, hedge-q990, least-outstanding, round-robin, floor-late, floor-hedge, floor-third, floor-half. Exit codes: 0 success, 1 a contract term is broken or an answer is wrong in some trial, 2 usage error, 3 could not run.

            Options:
              --plan            JSON file of the plan
              --scenario        name of a built-in scenario, or all; may be repeated
              --variant         name of a built-in variant; may be repeated (default:
                                default)
              --deployment      deployment to send load to: tsagaan or haneul; may be
                                repeated (default: both)
              --rate            request rate of each deployment, in requests per second
                                (default 50)
              --seconds         duration of each trial, in seconds (default 16)
              --warm-up-seconds duration of the unmeasured load before each trial, in
                                seconds (default 3)
              --rounds          number of trials of each pair of variant and scenario
                                (default 1)
              --vms             number of VMs in each trial (default 7)
              --seed            random seed of the first round (default 1)
              --daemon          path of the program oleanderwindd
              --standin         path of the program oleanderwind-standin
              --report          output file of the JSON report of all trials
              --plot            output file of an SVG plot of the variants' latency
                                distributions
              --help, help      display usage information

            Examples:
              oleanderwind-load experiment --scenario domain-down --variant default --variant hedge-none --rounds 3 --daemon target/release/oleanderwindd --standin target/release/oleanderwind-standin --report trials.json
        "#]],
    );
}

#[test]
fn help_of_demo() {
    check_help(
        &["demo", "--help"],
        expect![[r#"
            Usage: oleanderwind-load demo [--seconds <seconds>] [--rate <rate>] [--seed <seed>]

            Serves both deployments in this process on loopback and sends them a load. Exit codes: 0 success, 1 a contract term is broken or an answer is wrong, 2 usage error, 3 could not run.

            Options:
              --seconds         duration of the load, in seconds (default 5)
              --rate            request rate of each deployment, in requests per second
                                (default 20)
              --seed            random seed of the load and the stand-ins (default 1)
              --help, help      display usage information
        "#]],
    );
}

#[test]
fn demo_reports_every_finding() {
    let (status, _, err) = run(&["demo", "--rate", "-1", "--seconds", "0"]);
    assert_eq!(status, ExitStatus::WrongUsage);
    expect![[r#"
        --rate: is -1; give more than 0 and at most 100000
        --seconds: is 0; give more than 0 and at most 86400
    "#]]
    .assert_eq(&err);
}
