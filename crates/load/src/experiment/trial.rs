//! Runs each trial with its own stand-ins and daemons, a load and timed control calls.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use eyre::Context;
use eyre::eyre;

use crate::RunReport;
use crate::RunSettings;
use crate::demo::standin_contracts;
use crate::experiment::ChildProgram;
use crate::experiment::ControlCall;
use crate::experiment::ExperimentPlan;
use crate::experiment::ExperimentReport;
use crate::experiment::PlannedTrial;
use crate::experiment::TrialResult;
use crate::experiment::fleet::VmFleet;
use crate::experiment::fleet::set_rate_limit;
use crate::run_load;

/// Paths of the programs that a trial starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramPaths {
    /// `oleanderwindd`.
    pub daemon: PathBuf,
    /// `oleanderwind-standin`.
    pub standin: PathBuf,
}

/// Runs every trial of a checked plan. Must be called within an actix runtime.
///
/// # Errors
///
/// Fails when a program can't be started, a VM does not become ready, a load can't be run or a
/// control call fails.
pub async fn run_experiment(
    plan: &ExperimentPlan,
    paths: &ProgramPaths,
) -> eyre::Result<ExperimentReport> {
    let mut trials = Vec::new();
    for planned in plan.trials() {
        let variant = &plan.variants[planned.variant].name;
        let scenario = &plan.scenarios[planned.scenario].name;
        eprintln!(
            "round {}: running variant {variant} under scenario {scenario}",
            planned.round + 1
        );
        let report = run_trial(plan, paths, &planned).await.wrap_err_with(|| {
            format!("trial of variant {variant} under scenario {scenario} failed")
        })?;
        trials.push(TrialResult {
            round: planned.round,
            variant: variant.clone(),
            scenario: scenario.clone(),
            report,
        });
    }
    Ok(ExperimentReport { plan: plan.clone(), trials })
}

/// Runs one trial with its own stand-ins and daemons.
async fn run_trial(
    plan: &ExperimentPlan,
    paths: &ProgramPaths,
    trial: &PlannedTrial,
) -> eyre::Result<RunReport> {
    let mut args = vec!["--seed".to_string(), trial.seed.to_string()];
    for deployment in &plan.deployments {
        args.extend(["--deployment".to_string(), deployment.as_str().to_string()]);
    }
    let standin = ChildProgram::start(&paths.standin, &args, &[]).await?;
    let platform = standin.address("platform")?;
    let scenario = &plan.scenarios[trial.scenario];
    for (deployment, rate) in &scenario.contract_rates {
        set_rate_limit(&platform, deployment.customer(), *rate).await?;
    }
    let environment = &plan.variants[trial.variant].environment;
    let mut fleet = VmFleet::new(paths.daemon.clone(), environment, platform);
    fleet.start(plan.vms).await?;
    let settings = trial_settings(plan, trial, &fleet);
    let contracts = standin_contracts()?;
    warm_up(&settings, plan.warm_up_ms).await?;
    let control_calls = send_control_calls(standin.address("control")?, &scenario.control_calls);
    let load = async { futures_util::join!(run_load(&settings, &contracts), control_calls) };
    let Some(interval_ms) = scenario.replace_vm_every_ms else {
        let (report, control_result) = load.await;
        control_result?;
        return report;
    };
    let replacement = fleet.replace_forever(Duration::from_millis(interval_ms));
    tokio::select! {
        (report, control_result) = load => {
            control_result?;
            report
        }
        result = replacement => {
            result?;
            Err(eyre!("VM replacement ended before the load"))
        }
    }
}

/// Returns the settings of a trial's load.
///
/// Metrics and processes are not measured when VMs are replaced, because a replacement starts new
/// counters and has another process id.
fn trial_settings(plan: &ExperimentPlan, trial: &PlannedTrial, fleet: &VmFleet) -> RunSettings {
    let scenario = &plan.scenarios[trial.scenario];
    let has_fixed_vms = scenario.replace_vm_every_ms.is_none();
    RunSettings {
        deployments: plan.deployments.clone(),
        seed_addresses: fleet.caller_addresses(),
        rate: plan.rate,
        rate_factors: scenario.rate_factors.clone(),
        duration_ms: plan.duration_ms,
        phase_ends_ms: scenario.phase_ends_ms(),
        seed: trial.seed,
        metrics_addresses: if has_fixed_vms { fleet.caller_addresses() } else { Vec::new() },
        pids: if has_fixed_vms { fleet.pids() } else { Vec::new() },
        ..RunSettings::default()
    }
}

/// Runs an unmeasured load for `duration_ms`. Uses another seed than the measured load, so that
/// the two do not send the same sequence of requests.
async fn warm_up(settings: &RunSettings, duration_ms: u64) -> eyre::Result<()> {
    if duration_ms == 0 {
        return Ok(());
    }
    let settings = RunSettings {
        duration_ms,
        phase_ends_ms: Vec::new(),
        rate_factors: BTreeMap::new(),
        seed: !settings.seed,
        ..settings.clone()
    };
    run_load(&settings, &[]).await.map(|_| ())
}

/// Sends each control call at its offset from now.
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
            .map_err(|error| eyre!("control call to {} failed: {error}", call.path))?;
        let status = response.status();
        eyre::ensure!(status.is_success(), "control call to {} failed: HTTP {status}", call.path);
    }
    Ok(())
}
