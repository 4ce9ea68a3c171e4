//! The command `experiment`.

use std::fs;
use std::io::Write;

use eyre::Context;
use oleanderwind_policy::FindingList;

use crate::ExperimentPlan;
use crate::ProgramPaths;
use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::ExperimentFlags;
use crate::command::run::judge_report;
use crate::draw_experiment;
use crate::render_experiment;
use crate::run_experiment;

/// Reads the plan, runs its trials and prints their table.
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
            .wrap_err_with(|| format!("report {} can't be written", path.display()))?;
    }
    if let Some(path) = &flags.plot {
        draw_experiment(&report, path)?;
    }
    write!(out, "{}", render_experiment(&report))?;
    let is_broken =
        report.trials.iter().any(|trial| judge_report(&trial.report) != ExitStatus::Success);
    Ok(if is_broken { ExitStatus::BoundBroken } else { ExitStatus::Success })
}

/// Reads and checks the plan.
fn read_plan(flags: &ExperimentFlags) -> Result<ExperimentPlan, FindingList> {
    let mut findings = FindingList::default();
    let place = flags.plan.display().to_string();
    let plan = fs::read(&flags.plan).map_err(|error| error.to_string()).and_then(|text| {
        serde_json::from_slice::<ExperimentPlan>(&text).map_err(|error| error.to_string())
    });
    match plan {
        Ok(plan) => plan.check().map(|()| plan),
        Err(problem) => {
            findings.add(place, problem);
            Err(findings)
        }
    }
}
