//! Daemon that runs on every VM of the tier.

use std::process::ExitCode;

use oleanderwind::product_edges;
use oleanderwind::run_daemon;

fn main() -> ExitCode {
    run_daemon(argh::from_env(), product_edges)
}
