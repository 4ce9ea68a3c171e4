//! Stand-ins of the platform, of targets and of callers for the cases of the second review, and the cases
//! themselves. The names of the platform stand in text files beside the sources.

mod callers;
mod doors;
mod heads;
mod http;
mod record;
mod refusal;
mod slashes;
mod store;
mod target;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a case that could not run.
const EXIT_NOT_RUN: u8 = 2;

/// What a case found.
pub(crate) enum Verdict {
    /// The rule was kept.
    Kept,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE FOLDER, in the root of the repository");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "doors" => doors::run(&folder, is_troubled),
        "heads" => heads::run(&folder, is_troubled),
        "refusal" => refusal::run(&folder, is_troubled),
        "slashes" => slashes::run(&folder, is_troubled),
        _ => Err(format!("there is no case {case}")),
    };
    match verdict {
        Ok(Verdict::Kept) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
