//! The command `experiment`.

use std::fs;
use std::io::Write;
use std::path::Path;

use eyre::Context;
use oleanderwind_policy::FindingList;

use crate::DeploymentName;
use crate::ExperimentPlan;
use crate::ProgramPaths;
use crate::ScenarioName;
use crate::builtin_variant;
use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::ExperimentFlags;
use crate::command::run::check_load_bounds;
use crate::command::run::report_exit_status;
use crate::demo::standin_contracts;
use crate::draw_experiment;
use crate::render_experiment;
use crate::render_objectives;
use crate::run_experiment;
use crate::variant_names;

/// Reads the plan, runs its trials and prints the result tables.
pub(crate) fn run(
    flags: &ExperimentFlags,
    out: &mut dyn Write,
) -> Result<ExitStatus, CommandFailure> {
    let plan = read_plan(flags)?;
    let paths = ProgramPaths { daemon: flags.daemon.clone(), standin: flags.standin.clone() };
    let report = actix_rt::System::new().block_on(run_experiment(&plan, &paths))?;
    if let Some(path) = &flags.report {
        let text = serde_json::to_vec_pretty(&report).map_err(eyre::Report::from)?;
        fs::write(path, text)
            .wrap_err_with(|| format!("failed to write report {}", path.display()))?;
    }
    if let Some(path) = &flags.plot {
        draw_experiment(&report, path)?;
    }
    write!(out, "{}", render_experiment(&report))?;
    write!(out, "{}", render_objectives(&report, &standin_contracts()?))?;
    let has_violation =
        report.trials.iter().any(|trial| report_exit_status(&trial.report) != ExitStatus::Success);
    Ok(if has_violation { ExitStatus::CheckFailed } else { ExitStatus::Success })
}

/// Returns the checked plan from the plan file or the built-in scenarios.
fn read_plan(flags: &ExperimentFlags) -> Result<ExperimentPlan, FindingList> {
    let plan = match (&flags.plan, flags.scenario.is_empty()) {
        (Some(path), true) => read_plan_file(path)?,
        (None, false) => builtin_plan(flags)?,
        _ => {
            let mut findings = FindingList::default();
            findings.add(
                "--scenario",
                format!("give either --plan or scenarios: all, {}", ScenarioName::names()),
            );
            return Err(findings);
        }
    };
    plan.check().map(|()| plan)
}

/// Reads a plan file.
fn read_plan_file(path: &Path) -> Result<ExperimentPlan, FindingList> {
    let plan = fs::read(path).map_err(|error| error.to_string()).and_then(|text| {
        serde_json::from_slice::<ExperimentPlan>(&text).map_err(|error| error.to_string())
    });
    plan.map_err(|problem| {
        let mut findings = FindingList::default();
        findings.add(path.display().to_string(), problem);
        findings
    })
}

/// Builds a plan from the built-in scenarios and variants named by the flags.
fn builtin_plan(flags: &ExperimentFlags) -> Result<ExperimentPlan, FindingList> {
    let mut findings = check_load_bounds(flags.rate, flags.seconds);
    let duration_ms = (flags.seconds * 1_000.0) as u64;
    let deployments = match flags.deployment.is_empty() {
        true => vec![DeploymentName::Tsagaan, DeploymentName::Haneul],
        false => flags.deployment.clone(),
    };
    let mut scenario_names = Vec::new();
    for text in &flags.scenario {
        match ScenarioName::parse(text) {
            Some(name) => scenario_names.push(name),
            None if text == "all" => scenario_names.extend(ScenarioName::ALL),
            None => findings.add(
                "--scenario",
                format!("unknown scenario `{text}`; give all or one of {}", ScenarioName::names()),
            ),
        }
    }
    let mut variants = Vec::new();
    let default_variants = ["default".to_string()];
    let requested_variants =
        if flags.variant.is_empty() { &default_variants[..] } else { &flags.variant };
    for text in requested_variants {
        match builtin_variant(text) {
            Some(variant) => variants.push(variant),
            None => findings.add(
                "--variant",
                format!("unknown variant `{text}`; give one of {}", variant_names()),
            ),
        }
    }
    let scenarios =
        scenario_names.into_iter().map(|name| name.scenario(&deployments, flags.rate, duration_ms));
    let scenarios = scenarios.collect();
    findings.into_result(ExperimentPlan {
        variants,
        scenarios,
        rounds: flags.rounds,
        vms: flags.vms,
        deployments,
        rate: flags.rate,
        duration_ms,
        warm_up_ms: (flags.warm_up_seconds * 1_000.0) as u64,
        seed: flags.seed,
    })
}
