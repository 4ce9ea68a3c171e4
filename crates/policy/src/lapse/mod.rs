//! Targets whose entry has gone though they never said that they leave.
//!
//! An entry may run out while the platform's store is away and be back a moment after its return.
//! Until then the target is the last resort; after the hold it is taken for gone.

mod book;

pub use book::LapseOutcome;
pub use book::LapseTracker;
