//! Targets that announced their departure, told from VM to VM.
//!
//! A target tells only the VMs that call it. The first VM to hear it tells up to
//! [`NOTIFY_FANOUT`](crate::MembershipEngine::NOTIFY_FANOUT) peers at once; each VM to whom that is
//! news passes it on to [`DrainTable::RELAY_FANOUT`] more, and heartbeats carry it for a while.

mod book;

pub use book::DrainRecord;
pub use book::DrainTable;
