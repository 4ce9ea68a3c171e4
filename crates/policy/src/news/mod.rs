//! How recent the news from the platform is.
//!
//! A watch that waits in vain looks like a quiet platform. What tells them apart is the age of the
//! platform's last word about a kind of object: any answer about it, also one without changes.

mod tracker;

pub use tracker::NewsTracker;
