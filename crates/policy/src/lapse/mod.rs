//! Grace period for targets that are no longer listed but never announced their departure.
//!
//! An entry may expire while the platform's store is unavailable and reappear shortly after the
//! store recovers. Such a target lapses: calls go to it only as a last resort until it is listed
//! again, and it is removed when the grace period ends.

mod tracker;

pub use tracker::LapseOutcome;
pub use tracker::LapseTracker;
