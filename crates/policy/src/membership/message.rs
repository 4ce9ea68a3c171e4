//! Heartbeat messages.

use crate::MemberRecord;
use crate::Revision;

/// A heartbeat or the reply to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeMessage {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Records of other VMs that may be new to the receiver, limited in bytes.
    pub members: Vec<MemberRecord>,
    /// Summary of the configuration that the sender holds.
    pub summary: ObjectSummary,
}

/// Summary of the configuration objects that a VM holds, compared to detect missing changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectSummary {
    /// Highest revision of any object held.
    pub highest_revision: Revision,
    /// Revision up to which all objects are held.
    pub complete_revision: Revision,
    /// Digest of the names and revisions of all existing objects.
    pub digest: u64,
}
