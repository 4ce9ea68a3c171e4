//! Command-line flags of every command.

use std::path::PathBuf;

use argh::FromArgs;

use crate::DeploymentName;

/// Sends an open-loop load to running VMs. Latency is measured from the intended send time.
///
/// Exit codes: 0 success, 1 a contract term is broken or an answer is wrong, 2 usage error, 3
/// could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
#[argh(
    example = "{command_name} --deployment haneul --seed-address 127.0.0.1:8080 --rate 50 --seconds 30 --contract haneul.json --report run.json"
)]
pub(crate) struct RunFlags {
    /// deployment to send load to: tsagaan or haneul; may be repeated
    #[argh(option)]
    pub(crate) deployment: Vec<DeploymentName>,

    /// ip:port of a VM that is queried for addresses; may be repeated
    #[argh(option)]
    pub(crate) seed_address: Vec<String>,

    /// request rate of each deployment, in requests per second (default 50)
    #[argh(option, default = "50.0")]
    pub(crate) rate: f64,

    /// duration of the load, in seconds (default 10)
    #[argh(option, default = "10.0")]
    pub(crate) seconds: f64,

    /// maximum number of requests (default 1000000)
    #[argh(option, default = "1_000_000")]
    pub(crate) count: u64,

    /// random seed of arrival times, classes and request texts (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// share of requests with an idempotency key that are retried with the same key when they did
    /// not run or it is unknown whether they ran, in thousandths (default 500)
    #[argh(option, default = "500")]
    pub(crate) repeat_permille: u32,

    /// maximum number of requests in flight; further requests wait and are counted as overflowed
    /// (default 1000)
    #[argh(option, default = "1_000")]
    pub(crate) concurrency: usize,

    /// number of callers of each deployment; each caches its own VM address (default 8)
    #[argh(option, default = "8")]
    pub(crate) callers: usize,

    /// maximum time to wait for a reply, in milliseconds (default 10000)
    #[argh(option, default = "10_000")]
    pub(crate) timeout_ms: u64,

    /// interval between progress lines, in milliseconds (default 3000)
    #[argh(option, default = "3_000")]
    pub(crate) progress_ms: u64,

    /// JSON file of a contract whose terms are checked; may be repeated
    #[argh(option)]
    pub(crate) contract: Vec<PathBuf>,

    /// ip:port of a VM whose /metrics report the extra load; give every VM
    #[argh(option)]
    pub(crate) metrics_address: Vec<String>,

    /// id of a process whose CPU time and memory are measured; may be repeated
    #[argh(option)]
    pub(crate) pid: Vec<u32>,

    /// output file of the JSON report
    #[argh(option)]
    pub(crate) report: Option<PathBuf>,

    /// output file of an SVG plot of the latency distributions
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Prints two reports side by side with their differences and checks the given bounds.
///
/// Exit codes: 0 every bound holds, 1 a bound is broken, 2 usage error, 3 could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
#[argh(
    example = "{command_name} before.json after.json --max-p99-growth-permille 50 --max-wrong-answers 0"
)]
pub(crate) struct CompareFlags {
    /// JSON report of the baseline
    #[argh(positional)]
    pub(crate) first: PathBuf,

    /// JSON report to check
    #[argh(positional)]
    pub(crate) second: PathBuf,

    /// maximum growth of a class's 99th percentile latency, in thousandths of the first report's
    #[argh(option)]
    pub(crate) max_p99_growth_permille: Option<f64>,

    /// maximum drop of a class's mean coverage, in thousandths of the documents
    #[argh(option)]
    pub(crate) max_coverage_drop_permille: Option<f64>,

    /// maximum growth of a customer's extra load, in thousandths of its primary calls
    #[argh(option)]
    pub(crate) max_extra_load_growth_permille: Option<f64>,

    /// maximum number of wrong answers of a class in the second report
    #[argh(option)]
    pub(crate) max_wrong_answers: Option<u64>,

    /// maximum number of requests of a class without a reply in the second report
    #[argh(option)]
    pub(crate) max_connection_errors: Option<u64>,

    /// output file of an SVG plot of both latency distributions
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Compares variants of the daemon's environment under the same scenarios and seeds.
///
/// Each trial starts stand-ins and daemons of its own. Give --plan or at least one --scenario. The
/// plan's JSON: variants (name, environment), scenarios (name, control_calls of at_ms, path and
/// body, fault of from_ms and to_ms, replace_vm_every_ms, rate_factors, contract_rates), rounds,
/// vms, deployments, rate, duration_ms, warm_up_ms, seed.
///
/// Scenarios: normal-day, slow-searcher, domain-down, cold-start, shedding, false-load,
/// over-limit, slow-period, platform-away, repartition, vm-replacement, silent-connections.
///
/// Variants: default, hedge-none, hedge-20ms, hedge-q990, least-outstanding, round-robin,
/// floor-late, floor-hedge, floor-third, floor-half.
///
/// Exit codes: 0 success, 1 a contract term is broken or an answer is wrong in some trial, 2
/// usage error, 3 could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
#[argh(
    example = "{command_name} --scenario domain-down --variant default --variant hedge-none --rounds 3 --daemon target/release/oleanderwindd --standin target/release/oleanderwind-standin --report trials.json"
)]
pub(crate) struct ExperimentFlags {
    /// JSON file of the plan
    #[argh(option)]
    pub(crate) plan: Option<PathBuf>,

    /// name of a built-in scenario, or all; may be repeated
    #[argh(option)]
    pub(crate) scenario: Vec<String>,

    /// name of a built-in variant; may be repeated (default: default)
    #[argh(option)]
    pub(crate) variant: Vec<String>,

    /// deployment to send load to: tsagaan or haneul; may be repeated (default: both)
    #[argh(option)]
    pub(crate) deployment: Vec<DeploymentName>,

    /// request rate of each deployment, in requests per second (default 50)
    #[argh(option, default = "50.0")]
    pub(crate) rate: f64,

    /// duration of each trial, in seconds (default 16)
    #[argh(option, default = "16.0")]
    pub(crate) seconds: f64,

    /// duration of the unmeasured load before each trial, in seconds (default 3)
    #[argh(option, default = "3.0")]
    pub(crate) warm_up_seconds: f64,

    /// number of trials of each pair of variant and scenario (default 1)
    #[argh(option, default = "1")]
    pub(crate) rounds: usize,

    /// number of VMs in each trial (default 7)
    #[argh(option, default = "7")]
    pub(crate) vms: usize,

    /// random seed of the first round (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// path of the program oleanderwindd
    #[argh(option)]
    pub(crate) daemon: PathBuf,

    /// path of the program oleanderwind-standin
    #[argh(option)]
    pub(crate) standin: PathBuf,

    /// output file of the JSON report of all trials
    #[argh(option)]
    pub(crate) report: Option<PathBuf>,

    /// output file of an SVG plot of the variants' latency distributions
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Serves both deployments in this process on loopback and sends them a load.
///
/// Exit codes: 0 success, 1 a contract term is broken or an answer is wrong, 2 usage error, 3
/// could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoFlags {
    /// duration of the load, in seconds (default 5)
    #[argh(option, default = "5.0")]
    pub(crate) seconds: f64,

    /// request rate of each deployment, in requests per second (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) rate: f64,

    /// random seed of the load and the stand-ins (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}
