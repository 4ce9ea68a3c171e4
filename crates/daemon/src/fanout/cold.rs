//! Cold targets: what entries, answers and evacuations say of them becomes a rate limit.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::LimitNotice;
use oleanderwind_policy::RequestRate;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetSpec;

use crate::edge::ReplyMetadata;
use crate::fanout::FanoutService;

impl FanoutService {
    /// Returns what an answer says of its target's rate limit; a cold target takes what its service names.
    pub(crate) fn read_limit(&self, target: &TargetId, marks: &ReplyMetadata) -> LimitNotice {
        self.cold_targets.borrow().read_notice(target, marks.limit, marks.cold)
    }

    /// Replaces the targets and the services' rates for cold targets, before the limits are put in force.
    pub(crate) fn note_cold_targets(
        &self,
        specs: &[TargetSpec],
        rates: &HashMap<ServiceId, RequestRate>,
    ) {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let limits = self.cold_targets.borrow_mut().apply_targets(specs, rates, now, wall);
        limits.iter().for_each(|limit| self.peers.note_limit(limit));
    }

    /// Keeps calls from the targets of evacuated failure domains, which count as cold when they are taken back.
    pub(crate) fn set_evacuated(&self, domains: BTreeSet<FailureDomainId>) {
        let now = Instant::now();
        let limits = self.cold_targets.borrow_mut().set_evacuated(&domains, now);
        let mut engine = self.engine.borrow_mut();
        for limit in limits {
            self.peers.note_limit(&limit);
            engine.set_limit(&limit.target, limit.incarnation, limit.rate, now);
        }
        engine.set_evacuated(domains, now);
        self.timer_changes.notify_one();
    }
}
