//! One trial: fresh stand-ins and daemons, a load, and control calls at their times.

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
use crate::experiment::TrialResult;
use crate::experiment::TrialStep;
use crate::experiment::fleet::VmFleet;
use crate::experiment::fleet::limit_customer;
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
    let scenario = &plan.scenarios[step.scenario];
    for (deployment, rate) in &scenario.contract_rates {
        limit_customer(&platform, deployment.customer(), *rate).await?;
    }
    let environment = &plan.variants[step.variant].environment;
    let mut fleet = VmFleet::new(paths.daemon.clone(), environment, platform);
    fleet.start(plan.vms).await?;
    let settings = trial_settings(plan, step, &fleet);
    let contracts = standin_contracts()?;
    warm_up(&settings, plan.warm_up_ms).await?;
    let control = send_control_calls(standin.address("control")?, &scenario.control_calls);
    let load = async { futures_util::join!(run_load(&settings, &contracts), control) };
    let Some(period_ms) = scenario.replace_vm_every_ms else {
        let (report, control) = load.await;
        control?;
        return report;
    };
    let replacement = fleet.replace_forever(Duration::from_millis(period_ms));
    tokio::select! {
        (report, control) = load => {
            control?;
            report
        }
        failure = replacement => {
            failure?;
            Err(eyre!("the replacement of VMs ended before the load"))
        }
    }
}

/// Settings of a trial's load.
///
/// Counters and processes of VMs that are replaced can't be followed, so they are not measured then.
fn trial_settings(plan: &ExperimentPlan, step: &TrialStep, fleet: &VmFleet) -> RunSettings {
    let scenario = &plan.scenarios[step.scenario];
    let is_steady = scenario.replace_vm_every_ms.is_none();
    RunSettings {
        deployments: plan.deployments.clone(),
        seed_addresses: fleet.callers(),
        rate: plan.rate,
        rate_factors: scenario.rate_factors.clone(),
        duration_ms: plan.duration_ms,
        phase_ends_ms: scenario.phase_ends(),
        seed: step.seed,
        metrics_addresses: if is_steady { fleet.callers() } else { Vec::new() },
        pids: if is_steady { fleet.pids() } else { Vec::new() },
        ..RunSettings::default()
    }
}

/// Runs a load that is not measured.
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
