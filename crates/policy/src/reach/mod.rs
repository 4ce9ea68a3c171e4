//! Whether this VM reaches the targets, from the calls that it makes.

mod tracker;

pub use tracker::ReachState;
pub use tracker::ReachTracker;
