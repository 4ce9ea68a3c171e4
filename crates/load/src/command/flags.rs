//! The flags of every command.

use std::path::PathBuf;

use argh::FromArgs;

use crate::DeploymentName;

/// Sends an open-loop load to running VMs. Latency counts from the intended send time.
///
/// Exit codes: 0 all well, 1 a contract's term is broken or an answer is wrong, 2 wrong usage, 3
/// could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
#[argh(
    example = "{command_name} --deployment haneul --seed-address 127.0.0.1:8080 --rate 50 --seconds 30 --contract haneul.json --report run.json"
)]
pub(crate) struct RunFlags {
    /// deployment to put under load: tsagaan or haneul; may be repeated
    #[argh(option)]
    pub(crate) deployment: Vec<DeploymentName>,

    /// ip:port of a VM to ask for addresses; may be repeated
    #[argh(option)]
    pub(crate) seed_address: Vec<String>,

    /// requests a second for each deployment (default 50)
    #[argh(option, default = "50.0")]
    pub(crate) rate: f64,

    /// arrivals end after this many seconds (default 10)
    #[argh(option, default = "10.0")]
    pub(crate) seconds: f64,

    /// arrivals end after this many requests (default 1000000)
    #[argh(option, default = "1_000_000")]
    pub(crate) count: u64,

    /// seed of arrivals, classes and texts (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// thousandths of keyed requests that are repeated with the same key when they did not run or
    /// may have (default 500)
    #[argh(option, default = "500")]
    pub(crate) repeat_permille: u32,

    /// most requests under way; the others wait and are counted (default 1000)
    #[argh(option, default = "1_000")]
    pub(crate) concurrency: usize,

    /// callers of each deployment, each with its own kept address (default 8)
    #[argh(option, default = "8")]
    pub(crate) callers: usize,

    /// longest wait for a reply, in milliseconds (default 10000)
    #[argh(option, default = "10_000")]
    pub(crate) timeout_ms: u64,

    /// time between lines of progress, in milliseconds (default 3000)
    #[argh(option, default = "3_000")]
    pub(crate) progress_ms: u64,

    /// file of a contract in JSON, whose terms are checked; may be repeated
    #[argh(option)]
    pub(crate) contract: Vec<PathBuf>,

    /// ip:port of a VM whose /metrics tell the extra load; give every VM
    #[argh(option)]
    pub(crate) metrics_address: Vec<String>,

    /// process whose CPU seconds and memory are measured; may be repeated
    #[argh(option)]
    pub(crate) pid: Vec<u32>,

    /// file for the report in JSON
    #[argh(option)]
    pub(crate) report: Option<PathBuf>,

    /// file for a plot of the latency distributions in SVG
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Prints two reports side by side with their differences, and checks the stated bounds.
///
/// Exit codes: 0 every bound holds, 1 a bound is broken, 2 wrong usage, 3 could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
#[argh(
    example = "{command_name} before.json after.json --max-p99-growth-permille 50 --max-wrong-answers 0"
)]
pub(crate) struct CompareFlags {
    /// report to compare with
    #[argh(positional)]
    pub(crate) first: PathBuf,

    /// report to check
    #[argh(positional)]
    pub(crate) second: PathBuf,

    /// most growth of a class's 99th percentile, in thousandths of the first report's
    #[argh(option)]
    pub(crate) max_p99_growth_permille: Option<f64>,

    /// most loss of a class's mean coverage, in thousandths of the documents
    #[argh(option)]
    pub(crate) max_coverage_drop_permille: Option<f64>,

    /// most growth of a customer's extra load, in thousandths of its first calls
    #[argh(option)]
    pub(crate) max_extra_load_growth_permille: Option<f64>,

    /// most wrong answers of a class in the second report
    #[argh(option)]
    pub(crate) max_wrong_answers: Option<u64>,

    /// most requests of a class without a reply in the second report
    #[argh(option)]
    pub(crate) max_connection_errors: Option<u64>,

    /// file for a plot of both latency distributions in SVG
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Sets variants of the daemon's environment against each other, in turns, on the same seeds.
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
/// Exit codes: 0 all well, 1 a contract's term is broken or an answer is wrong in some trial, 2
/// wrong usage, 3 could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
#[argh(
    example = "{command_name} --scenario domain-down --variant default --variant hedge-none --rounds 3 --daemon target/release/oleanderwindd --standin target/release/oleanderwind-standin --report trials.json"
)]
pub(crate) struct ExperimentFlags {
    /// file of the plan in JSON
    #[argh(option)]
    pub(crate) plan: Option<PathBuf>,

    /// scenario known by name, or all; may be repeated
    #[argh(option)]
    pub(crate) scenario: Vec<String>,

    /// variant known by name; may be repeated (default: default)
    #[argh(option)]
    pub(crate) variant: Vec<String>,

    /// deployment to put under load: tsagaan or haneul; may be repeated (default: both)
    #[argh(option)]
    pub(crate) deployment: Vec<DeploymentName>,

    /// requests a second for each deployment (default 50)
    #[argh(option, default = "50.0")]
    pub(crate) rate: f64,

    /// length of each trial, in seconds (default 16)
    #[argh(option, default = "16.0")]
    pub(crate) seconds: f64,

    /// load before each trial that is not measured, in seconds (default 3)
    #[argh(option, default = "3.0")]
    pub(crate) warm_up_seconds: f64,

    /// how often each pair of variant and scenario runs (default 1)
    #[argh(option, default = "1")]
    pub(crate) rounds: usize,

    /// VMs of each trial (default 7)
    #[argh(option, default = "7")]
    pub(crate) vms: usize,

    /// seed of the first round (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// path of the program oleanderwindd
    #[argh(option)]
    pub(crate) daemon: PathBuf,

    /// path of the program oleanderwind-standin
    #[argh(option)]
    pub(crate) standin: PathBuf,

    /// file for every trial's report in JSON
    #[argh(option)]
    pub(crate) report: Option<PathBuf>,

    /// file for a plot of the variants' latency distributions in SVG
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Serves both deployments in this process on loopback and puts them under load.
///
/// Exit codes: 0 all well, 1 a contract's term is broken or an answer is wrong, 2 wrong usage, 3
/// could not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoFlags {
    /// how long to send requests, in seconds (default 5)
    #[argh(option, default = "5.0")]
    pub(crate) seconds: f64,

    /// requests a second for each deployment (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) rate: f64,

    /// seed of the load and of the stand-ins (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}
