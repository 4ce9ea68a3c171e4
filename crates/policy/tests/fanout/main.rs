//! The fan-out engine in virtual time against small fakes of targets.
#![allow(clippy::unwrap_used, dead_code)]

mod answers;
mod baseline;
mod budget_window;
mod comparison;
mod fake_fleet;
mod fake_target;
mod invariants;
mod load;
mod promises;
mod routes;
mod targets;
