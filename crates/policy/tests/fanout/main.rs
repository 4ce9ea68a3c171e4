//! Tests of the fan-out engine in virtual time, against simulated targets.
#![allow(clippy::unwrap_used, dead_code)]

mod answers;
mod baseline;
mod budget;
mod budget_window;
mod comparison;
mod evacuation;
mod fairness;
mod fake_fleet;
mod fake_target;
mod guarantees;
mod invariants;
mod load;
mod routes;
mod targets;
mod withdrawal;
