//! Rate limits of targets: what this VM knows.

use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitRecord;

use crate::peers::service::PeerService;

impl PeerService {
    /// Merges what an answer of a target said of its limit; returns what that changed.
    pub(crate) fn observe_limit(self: &Rc<Self>, record: LimitRecord) -> LimitChange {
        self.state.borrow_mut().limits.merge(record, Instant::now())
    }
}
