//! Place of a VM among the watch holders.

/// Place of a VM among the watch holders of the fleet, in its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition {
    /// Number of holders before this VM.
    pub rank: usize,
    /// Number of holders, at least 1.
    pub holders: usize,
}

impl WatchPosition {
    /// Position of a VM that hears no other.
    pub const ALONE: WatchPosition = WatchPosition { rank: 0, holders: 1 };
}
