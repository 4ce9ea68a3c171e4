//! Entries that vanish because of an outage of the platform's store.
//!
//! A target whose entry is removed while the store serves has left. While the store is away, living
//! targets can't renew their entries: these may expire, and are written again shortly after the
//! store returns.

mod outage;

pub use outage::OutageTracker;
