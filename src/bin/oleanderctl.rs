//! Command-line client for operators.

use std::process::ExitCode;

use oleanderwind::ControlCommand;
use oleanderwind::run_command;

fn main() -> ExitCode {
    let command: ControlCommand = argh::from_env();
    let variable = |name: &str| std::env::var(name).ok();
    let outcome = actix_rt::System::new().block_on(run_command(&command, variable));
    print!("{}", outcome.stdout);
    eprint!("{}", outcome.stderr);
    ExitCode::from(outcome.exit_code)
}
