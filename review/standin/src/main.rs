//! Runs one case of the review: `review-case NUMBER CASE-FOLDER REPOSITORY`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod client;
mod deployment;
mod http;
mod json;
mod late_copy;
mod load;
mod machine;
mod names;
mod one_shard;
mod record;
mod searcher;
mod store;
mod stuck_refusal;
mod unproven_promise;
mod unreadable_entry;

use std::path::Path;
use std::process::ExitCode;

use crate::deployment::Deployment;
use crate::record::Record;

/// Whether a rule was broken; the text says by what.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = &arguments[..] else {
        eprintln!("usage: review-case NAME CASE-FOLDER REPOSITORY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let result = std::path::absolute(root).and_then(|root| run(case, has_trouble, &root, &record));
    let code = match result {
        Ok(Verdict::Held(text)) => {
            record.tell(format!("held: {text}"));
            0
        }
        Ok(Verdict::Broken(text)) => {
            record.tell(format!("BROKEN: {text}"));
            1
        }
        Ok(Verdict::NotRun(text)) => {
            record.tell(format!("could not run: {text}"));
            2
        }
        Err(error) => {
            record.tell(format!("could not run: {error}"));
            2
        }
    };
    record.write(&Path::new(folder).join("record.txt"));
    ExitCode::from(code)
}

fn run(case: &str, has_trouble: bool, root: &Path, record: &Record) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::new(root, record.clone())?;
    match case {
        "late-copy" => late_copy::run(&mut deployment, has_trouble),
        "unproven-promise" => unproven_promise::run(&mut deployment, has_trouble),
        "one-shard" => one_shard::run(&mut deployment, has_trouble),
        "stuck-refusal" => stuck_refusal::run(&mut deployment, has_trouble),
        "unreadable-entry" => unreadable_entry::run(&mut deployment, has_trouble),
        _ => Ok(Verdict::NotRun(format!("there is no case {case}"))),
    }
}
