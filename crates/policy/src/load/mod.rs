//! Load reported by targets.

use serde::Deserialize;
use serde::Serialize;

/// Load of a target, reported in-band with each of its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Number of calls that are running.
    pub busy: u32,
    /// Number of calls queued for a slot.
    pub queued: u32,
    /// Maximum number of calls that run concurrently.
    pub slots: u32,
}
