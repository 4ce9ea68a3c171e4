//! Snapshots: index versions with their partition maps, and the targets that hold them.

mod manifest;
mod target;

pub use manifest::ShardEntry;
pub use manifest::SnapshotManifest;
pub use target::TargetPhase;
pub use target::TargetSpec;
