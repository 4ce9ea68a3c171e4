//! One trial: fresh stand-ins and daemons, a load, and control calls at their times.

use std::path::PathBuf;
use std::time::Duration;

use eyre::Context;
use eyre::eyre;

use crate::RunReport;
use crate::RunSettings;
use crate::demo::standin_contracts;
use crate::demo::wait_until_ready;
use crate::experiment::ChildProgram;
use crate::experiment::ControlCall;
use crate::experiment::ExperimentPlan;
use crate::experiment::ExperimentReport;
use crate::experiment::TrialResult;
use crate::experiment::TrialStep;
use crate::run_load;

/// Where the programs are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramPaths {
    /// `oleanderwindd`.
    pub daemon: PathBuf,
    /// `oleanderwind-standin`.
    pub standin: PathBuf,
}

/// Runs every trial of a checked plan. Call it within an actix runtime.
///
/// # Errors
///
/// When a program can't be started, a VM does not get ready or a control call fails.
pub async fn run_experiment(
    plan: &ExperimentPlan,
    paths: &ProgramPaths,
) -> eyre::Result<ExperimentReport> {
    let mut trials = Vec::new();
    for step in plan.steps() {
        let variant = &plan.variants[step.variant].name;
        let scenario = &plan.scenarios[step.scenario].name;
        eprintln!("round {}: {variant} under {scenario}", step.round + 1);
        let report = run_trial(plan, paths, &step)
            .await
            .wrap_err_with(|| format!("{variant} under {scenario} failed"))?;
        trials.push(TrialResult {
            round: step.round,
            variant: variant.clone(),
            scenario: scenario.clone(),
            report,
        });
    }
    Ok(ExperimentReport { plan: plan.clone(), trials })
}

/// Runs one trial in processes of its own.
async fn run_trial(
    plan: &ExperimentPlan,
    paths: &ProgramPaths,
    step: &TrialStep,
) -> eyre::Result<RunReport> {
    let mut args = vec!["--seed".to_string(), step.seed.to_string()];
    for deployment in &plan.deployments {
        args.extend(["--deployment".to_string(), deployment.as_str().to_string()]);
    }
    let standin = ChildProgram::start(&paths.standin, &args, &[]).await?;
    let platform = standin.address("platform")?;
    let mut daemons = Vec::new();
    for index in 1..=plan.vms {
        daemons.push(start_daemon(plan, paths, step, index, &platform).await?);
    }
    let mut addresses = Vec::new();
    for daemon in &daemons {
        let address = daemon.address("caller")?;
        wait_until_ready(&address).await?;
        addresses.push(address);
    }
    let pids = daemons.iter().map(ChildProgram::pid).collect();
    let settings = trial_settings(plan, step, addresses, pids);
    let contracts = standin_contracts()?;
    let calls = &plan.scenarios[step.scenario].control_calls;
    let control = send_control_calls(standin.address("control")?, calls);
    let (report, control) = futures_util::join!(run_load(&settings, &contracts), control);
    control?;
    report
}

/// Starts one VM with the variant's environment.
async fn start_daemon(
    plan: &ExperimentPlan,
    paths: &ProgramPaths,
    step: &TrialStep,
    index: usize,
    platform: &str,
) -> eyre::Result<ChildProgram> {
    let (vm, domain) = (format!("vm-{index}"), format!("fd-{index}"));
    let flags = [
        ("--vm", vm.as_str()),
        ("--failure-domain", domain.as_str()),
        ("--platform", platform),
        ("--caller-listen", "127.0.0.1:0"),
        ("--admin-listen", "127.0.0.1:0"),
        ("--peer-listen", "127.0.0.1:0"),
    ];
    let args: Vec<String> =
        flags.iter().flat_map(|(flag, value)| [flag.to_string(), value.to_string()]).collect();
    let environment = &plan.variants[step.variant].environment;
    let environment: Vec<(String, String)> =
        environment.iter().map(|(variable, value)| (variable.clone(), value.clone())).collect();
    ChildProgram::start(&paths.daemon, &args, &environment).await
}

/// Settings of a trial's load.
fn trial_settings(
    plan: &ExperimentPlan,
    step: &TrialStep,
    addresses: Vec<String>,
    pids: Vec<u32>,
) -> RunSettings {
    RunSettings {
        deployments: plan.deployments.clone(),
        seed_addresses: addresses.clone(),
        rate: plan.rate,
        duration_ms: plan.duration_ms,
        seed: step.seed,
        metrics_addresses: addresses,
        pids,
        ..RunSettings::default()
    }
}

/// Makes each call at its time.
async fn send_control_calls(address: String, calls: &[ControlCall]) -> eyre::Result<()> {
    let start = tokio::time::Instant::now();
    let client = awc::Client::default();
    for call in calls {
        tokio::time::sleep_until(start + Duration::from_millis(call.at_ms)).await;
        let url = format!("http://{address}{}", call.path);
        let response = client
            .post(url)
            .send_json(&call.body)
            .await
            .map_err(|error| eyre!("control call {} failed: {error}", call.path))?;
        let status = response.status();
        eyre::ensure!(status.is_success(), "control call {} failed: HTTP {status}", call.path);
    }
    Ok(())
}
