//! Proofs of what must always hold, under the faults that threaten it.
//!
//! Most tests run stand-ins and daemons in one process over real sockets; `processes` starts
//! real processes where a kill or a freeze is the point.
#![allow(clippy::unwrap_used)]

mod bad_input;
mod combined_faults;
mod contracts;
mod departure;
mod leaving_targets;
mod ledger;
mod ledger_processes;
mod ledger_refusals;
mod limits;
mod planned_stop;
mod refusals;
mod reload;
mod searches;
mod silence;
mod spread;
mod support;
mod whole_path;
