//! Server of stand-ins of the platform and of the searchers.

use std::process::ExitCode;

use oleanderwind_standin::StandinCommand;

fn main() -> ExitCode {
    let command: StandinCommand = argh::from_env();
    match oleanderwind_standin::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
