//! Load reported by targets.

mod estimate;
mod news;

use serde::Deserialize;
use serde::Serialize;

pub(crate) use estimate::LoadEstimate;
pub use news::LoadNews;

/// Load of a target, reported in-band with each of its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Number of calls that are running.
    pub busy: u32,
    /// Number of calls queued for a slot.
    pub queued: u32,
    /// Maximum number of calls that run concurrently.
    pub slots: u32,
    /// Time that work takes on the target's machine at this moment, in percent of the usual; 0 if
    /// it isn't reported.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub pace_percent: u32,
}

fn is_unknown(pace_percent: &u32) -> bool {
    *pace_percent == 0
}
