//! Snapshots: an index version with its partition map, and the targets that hold it.

mod manifest;
mod target;

pub use manifest::ShardEntry;
pub use manifest::SnapshotManifest;
pub use target::TargetPhase;
pub use target::TargetSpec;
