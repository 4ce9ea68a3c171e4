//! Stand-ins and checks of the cases 11 to 15 of the review.
//!
//! `oleanderwind-review-3 CASE RECORD` runs from the root of the repository. It exits with 1 if the rule was broken, with 0
//! if it held and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod changes;
mod cold;
mod http;
mod json;
mod link;
mod passed_on;
mod record;
mod replaced;
mod searcher;
mod store;
mod survivors;
mod vm;
mod wire;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;

/// Time for which a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// What became of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// A folder that is removed when it is dropped.
struct Workplace(PathBuf);

impl Drop for Workplace {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Ends everything if the case takes longer than [`TIME_LIMIT`].
fn end_in_time(record: Record, folder: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        record.line("the case could not run: it takes too long");
        vm::kill_all();
        let _ = std::fs::remove_dir_all(folder);
        std::process::exit(2);
    });
}

fn run(case: &str, record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    match case {
        "passed-on" => passed_on::run(record, folder, has_trouble),
        "replaced" => replaced::run(record, folder, has_trouble),
        "survivors" => survivors::run(record, folder, has_trouble),
        "cold" => cold::run(record, folder, has_trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: oleanderwind-review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|text| text == "0").then_some(false);
    let has_trouble = has_trouble.unwrap_or(true);
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let prepared = std::fs::create_dir_all(&folder).and_then(|()| Record::create(Path::new(path)));
    let workplace = Workplace(folder);
    let record = match prepared {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    end_in_time(record.clone(), workplace.0.clone());
    let verdict = run(case, &record, &workplace.0, has_trouble);
    match verdict {
        Verdict::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}
