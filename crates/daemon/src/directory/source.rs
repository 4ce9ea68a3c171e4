//! Where a change of the configuration was learned.

/// Where this VM learned of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// An event of a watch on the platform.
    Watch,
    /// A list of the platform's objects.
    List,
    /// A peer.
    Peer,
    /// An edit that the platform accepted from this VM.
    Edit,
}

impl ChangeSource {
    /// Returns the name used in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ChangeSource::Watch => "watch",
            ChangeSource::List => "list",
            ChangeSource::Peer => "peer",
            ChangeSource::Edit => "edit",
        }
    }
}
