//! Cold targets: each takes no more requests a second from all VMs than its service names, until it is warm.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::FailureDomainId;
use crate::LimitNotice;
use crate::LimitRecord;
use crate::RequestRate;
use crate::ServiceId;
use crate::TargetId;
use crate::TargetSpec;

/// Difference between the clocks of a VM and of a target beyond which a process that is still cold passes for warm.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// A target of a service that names a rate for cold targets.
#[derive(Clone, Debug)]
struct ColdTarget {
    failure_domain: FailureDomainId,
    rate: RequestRate,
    incarnation: u64,
    cold_ms: u64,
    is_evacuated: bool,
}

impl ColdTarget {
    /// Returns the limit that this target has from `now` on, if it is cold by what is known beside its answers.
    ///
    /// A target of an evacuated failure domain counts as cold until one of its answers says otherwise.
    fn limit(&self, target: &TargetId, now: Instant) -> Option<LimitRecord> {
        let is_cold = self.cold_ms > 0 || self.is_evacuated;
        is_cold.then(|| LimitRecord {
            target: target.clone(),
            incarnation: self.incarnation,
            rate: Some(self.rate),
            observed_at: now,
        })
    }
}

/// The targets of services that name a rate for cold targets.
///
/// A cold target is one with a rate limit that ends with the first answer to a later call that does not call it cold.
#[derive(Clone, Debug, Default)]
pub struct ColdTargetTable {
    targets: HashMap<TargetId, ColdTarget>,
    evacuated: BTreeSet<FailureDomainId>,
}

impl ColdTargetTable {
    /// Replaces the targets and their services' rates. Returns the limits of those that are cold by what is new of them.
    ///
    /// `wall` is the time now on the wall clock: an entry that this VM sees for the first time may be old, so that it counts
    /// only until the process that wrote it would have been warm after its start.
    pub fn apply_targets(
        &mut self,
        specs: &[TargetSpec],
        rates: &HashMap<ServiceId, RequestRate>,
        now: Instant,
        wall: SystemTime,
    ) -> Vec<LimitRecord> {
        let mut limits = Vec::new();
        let mut before = std::mem::take(&mut self.targets);
        if rates.is_empty() {
            return limits;
        }
        for spec in specs {
            let Some(rate) = rates.get(&spec.service) else { continue };
            let target = ColdTarget {
                failure_domain: spec.failure_domain.clone(),
                rate: *rate,
                incarnation: spec.incarnation,
                cold_ms: spec.cold_ms,
                is_evacuated: self.evacuated.contains(&spec.failure_domain),
            };
            let known = before.remove(&spec.target);
            let word = |target: &ColdTarget| (target.incarnation, target.cold_ms);
            let is_known = known.is_some();
            if known.as_ref().map(word) != Some(word(&target))
                && (is_known || target.is_evacuated || !has_warmed(spec, wall))
            {
                limits.extend(target.limit(&spec.target, now));
            }
            self.targets.insert(spec.target.clone(), target);
        }
        limits
    }

    /// Sets the evacuated failure domains. Returns the limits of the targets of those that are new.
    pub fn set_evacuated(
        &mut self,
        domains: &BTreeSet<FailureDomainId>,
        now: Instant,
    ) -> Vec<LimitRecord> {
        let mut limits = Vec::new();
        for (name, target) in &mut self.targets {
            let was_evacuated = target.is_evacuated;
            target.is_evacuated = domains.contains(&target.failure_domain);
            if target.is_evacuated && !was_evacuated {
                limits.extend(target.limit(name, now));
            }
        }
        self.evacuated.clone_from(domains);
        limits
    }

    /// Returns what an answer says of its target's rate limit, if it also says that the target stays cold for `cold`.
    ///
    /// Of two limits the lower one holds.
    pub fn read_notice(
        &self,
        target: &TargetId,
        notice: LimitNotice,
        cold: Duration,
    ) -> LimitNotice {
        let Some(target) = self.targets.get(target).filter(|_| !cold.is_zero()) else {
            return notice;
        };
        match notice {
            LimitNotice::Named(rate) if rate < target.rate => notice,
            LimitNotice::Named(_) | LimitNotice::Missing | LimitNotice::Unreadable => {
                LimitNotice::Named(target.rate)
            }
        }
    }
}

/// Returns whether a process would be warm by now, if its entry is from its start.
fn has_warmed(spec: &TargetSpec, wall: SystemTime) -> bool {
    let cold_until = Duration::from_millis(spec.incarnation.saturating_add(spec.cold_ms));
    let cold_until = SystemTime::UNIX_EPOCH.checked_add(cold_until + CLOCK_TOLERANCE);
    cold_until.is_some_and(|until| until < wall)
}
