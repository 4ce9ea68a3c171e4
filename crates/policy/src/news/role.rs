//! Part of a VM in the watches of its failure domain.

/// Part of a VM in the watches of its failure domain, in its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Holds watches as long as it serves, also while the platform refuses it.
    Regular,
    /// Holds watches in the place of VMs that the platform refuses.
    Substitute,
    /// Learns of changes from its peers.
    None,
}

impl WatchRole {
    /// Returns the stable name of the role.
    pub fn as_str(self) -> &'static str {
        match self {
            WatchRole::Regular => "regular",
            WatchRole::Substitute => "substitute",
            WatchRole::None => "none",
        }
    }
}
