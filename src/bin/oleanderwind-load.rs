//! Load and experiment tool; see `oleanderwind-load --help`.

use std::io;
use std::process::ExitCode;

use oleanderwind_load::run_command;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    run_command(&args, &mut io::stdout(), &mut io::stderr()).into()
}
