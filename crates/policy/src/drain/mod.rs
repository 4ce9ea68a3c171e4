//! Gossip of targets that announced their departure.
//!
//! A target notifies only the VMs that call it. The first VM to receive the notice sends it to up
//! to [`NOTIFY_FANOUT`](crate::MembershipEngine::NOTIFY_FANOUT) peers at once. Each VM that did not
//! know of it relays it to [`DrainTable::RELAY_FANOUT`] more peers, and heartbeats carry it for a
//! while.

mod table;

pub use table::DrainRecord;
pub use table::DrainTable;
