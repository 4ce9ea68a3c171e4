//! Command line of `oleanderwind-load`.

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

/// Program name in help texts.
const PROGRAM: &str = "oleanderwind-load";

/// Runs load tests against oleanderwind, checks every answer and reports latency, coverage and
/// extra load.
///
/// Exit codes: 0 success, 1 a bound is broken, 2 usage error, 3 could not run.
#[derive(FromArgs)]
struct LoadFlags {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunFlags),
    Compare(CompareFlags),
    Experiment(ExperimentFlags),
    Demo(DemoFlags),
}

/// Runs the command line `args`, which excludes the program name. Writes results to `out` and errors
/// to `err`. Starts its own actix runtime, so it must be called outside of one.
pub fn run_command(args: &[&str], out: &mut dyn Write, err: &mut dyn Write) -> ExitStatus {
    let flags = match LoadFlags::from_args(&[PROGRAM], args) {
        Ok(flags) => flags,
        Err(exit) => {
            return match exit.status {
                Ok(()) => write_message(out, exit.output.trim_end(), ExitStatus::Success),
                Err(()) => write_message(err, exit.output.trim_end(), ExitStatus::WrongUsage),
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
        Err(failure) => write_message(err, &failure.to_string(), failure.exit_status()),
    }
}

/// Writes `text` and returns `status`. Write errors are ignored, so that a closed output does not
/// change the exit code.
fn write_message(output: &mut dyn Write, text: &str, status: ExitStatus) -> ExitStatus {
    let _ = writeln!(output, "{text}");
    status
}
