//! The heartbeat between two VMs.

use crate::MemberRecord;
use crate::Revision;

/// A heartbeat or the reply to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeMessage {
    /// The sender's word of itself.
    pub sender: MemberRecord,
    /// Records that may be news, bounded in bytes.
    pub members: Vec<MemberRecord>,
    /// What configuration the sender holds.
    pub summary: ObjectSummary,
}

/// What configuration a VM holds, in a few bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectSummary {
    /// Highest revision held.
    pub highest_revision: Revision,
    /// Everything up to this revision is held.
    pub complete_revision: Revision,
    /// Digest of the names and revisions of all objects that exist.
    pub digest: u64,
}
