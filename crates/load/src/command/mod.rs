//! The command line.

mod compare;
mod demo;
mod exit_status;
mod experiment;
mod flags;
mod run;

use std::io::Write;

use argh::FromArgs;

pub use exit_status::ExitStatus;

use flags::CompareFlags;
use flags::DemoFlags;
use flags::ExperimentFlags;
use flags::RunFlags;

/// Name of the program in its help texts.
const PROGRAM: &str = "oleanderwind-load";

/// Puts oleanderwind under load, checks every answer and reports latency, coverage and extra load.
///
/// Exit codes: 0 all well, 1 a stated bound is broken, 2 wrong usage, 3 could not run.
#[derive(FromArgs)]
struct LoadFlags {
    #[argh(subcommand)]
    command: LoadCommand,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunFlags),
    Compare(CompareFlags),
    Experiment(ExperimentFlags),
    Demo(DemoFlags),
}

/// Runs the command line `args`, without the program's name. Results go to `out`, problems to
/// `err`. Starts its own actix runtime, so call it outside of one.
pub fn run_command(args: &[&str], out: &mut dyn Write, err: &mut dyn Write) -> ExitStatus {
    let flags = match LoadFlags::from_args(&[PROGRAM], args) {
        Ok(flags) => flags,
        Err(exit) => {
            return match exit.status {
                Ok(()) => finish(out, exit.output.trim_end(), ExitStatus::Success),
                Err(()) => finish(err, exit.output.trim_end(), ExitStatus::WrongUsage),
            };
        }
    };
    let result = match flags.command {
        LoadCommand::Run(flags) => run::run(&flags, out),
        LoadCommand::Compare(flags) => compare::run(&flags, out),
        LoadCommand::Experiment(flags) => experiment::run(&flags, out),
        LoadCommand::Demo(flags) => demo::run(&flags, out),
    };
    match result {
        Ok(status) => status,
        Err(failure) => finish(err, &failure.to_string(), failure.status()),
    }
}

/// Writes a last text; a closed output is no reason for another exit code.
fn finish(output: &mut dyn Write, text: &str, status: ExitStatus) -> ExitStatus {
    let _ = writeln!(output, "{text}");
    status
}
