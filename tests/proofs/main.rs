//! End-to-end tests of the guarantees of the tier, under faults.
//!
//! Most tests run stand-ins and daemons in one process, over real sockets. Tests that send signals
//! to daemons start them as separate processes, see `support::ProcessFleet`.
#![allow(clippy::unwrap_used)]

mod bad_input;
mod combined_faults;
mod contracts;
mod drain_gossip;
mod end_to_end;
mod ledger;
mod ledger_processes;
mod ledger_refusals;
mod planned_stop;
mod propagation;
mod quarantine;
mod rate_limits;
mod refusals;
mod reload;
mod searches;
mod silent_connections;
mod support;
mod target_drain;
