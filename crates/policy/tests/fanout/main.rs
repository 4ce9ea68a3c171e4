//! The fan-out engine in virtual time against small fakes of targets.
#![allow(clippy::unwrap_used, dead_code)]

mod baseline;
mod fake_fleet;
