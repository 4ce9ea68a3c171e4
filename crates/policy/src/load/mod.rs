//! Load that targets report.

use serde::Deserialize;
use serde::Serialize;

/// Load of a target, in-band with each of its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Calls that run now.
    pub busy: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls that can run at once.
    pub slots: u32,
}
