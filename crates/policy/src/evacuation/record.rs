//! What the platform's store said last of the evacuation of a failure domain.

use crate::FailureDomainId;
use crate::Revision;

/// What the platform's store said last of the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Revision of the store at which its entry was written or removed; of a list that lacks the entry, that of the list.
    pub revision: Revision,
    /// Whether the failure domain's targets get no new calls.
    pub is_in_force: bool,
}

impl EvacuationRecord {
    /// Returns whether this record replaces `held`. Of one revision the end does: it may come from a list that shows only
    /// that the entry is gone.
    pub(crate) fn supersedes(&self, held: &EvacuationRecord) -> bool {
        (self.revision, !self.is_in_force) > (held.revision, !held.is_in_force)
    }
}
