//! Whether this VM reaches the targets, from the calls that it makes.

mod paths;
mod tracker;

pub use paths::PathTracker;
pub use tracker::ReachState;
pub use tracker::ReachTracker;
