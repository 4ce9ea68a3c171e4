//! How recent the news from the platform is.
//!
//! A watch that waits in vain looks like a quiet platform. What tells them apart is the age of the
//! platform's last word about a kind of object: any answer about it, also one without changes.

mod duty;
mod pace;
mod position;
mod refusal;
mod role;
mod tracker;

pub use duty::DutyStep;
pub use duty::WatchDuty;
pub use pace::WatchPace;
pub use position::WatchPosition;
pub use refusal::RefusalTracker;
pub use role::WatchRole;
pub use tracker::NewsTracker;
