//! Selection of the VMs that a caller of routes uses.

use std::collections::HashMap;

use crate::FailureDomainId;
use crate::MemberRecord;
use crate::MemberState;

/// Minimum number of VMs given to a caller, so that one remains if another fails.
const MIN_VMS: usize = 2;
/// A failure domain is near the shards if it has targets of at least one in this many of them.
///
/// With less than half of the shards, most parts of an answer would cross from other domains.
const NEAR_SHARDS_DIVISOR: usize = 2;
/// A VM is capable if its processor share is at least the largest one divided by this.
///
/// A fan-out over a hundred shards takes 15 ms of a whole core. An objective of 80 ms can't be met
/// with an eighth of a core.
const CAPABLE_DIVISOR: u32 = 2;
/// Capable VMs suffice if they have at least the total processor share divided by this.
const SUFFICIENT_DIVISOR: u32 = 8;

/// Number of the fan-out's shards that have a target in each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardPlacement {
    /// Number of shards of all routes.
    pub shards: usize,
    /// Number of shards with a target in the failure domain.
    pub shards_by_domain: HashMap<FailureDomainId, usize>,
}

impl ShardPlacement {
    /// Returns whether the failure domain has targets of at least half of the shards.
    fn is_near_shards(&self, failure_domain: &FailureDomainId) -> bool {
        let held = self.shards_by_domain.get(failure_domain).copied().unwrap_or_default();
        held * NEAR_SHARDS_DIVISOR >= self.shards
    }
}

/// Returns the VMs that a caller in `failure_domain` should use, in no particular order.
///
/// An answer merged near its shards crosses failure domains once, whereas each part of an answer
/// merged elsewhere crosses on its own. Callers therefore use VMs in failure domains with targets
/// of at least half of the shards, and the most capable of these VMs. If at least two of them are
/// in the caller's own domain, it uses only those. Suspect VMs are returned only if no VM is
/// serving, as a suspicion may be wrong.
pub fn select_vms_for_caller<'a>(
    failure_domain: Option<&str>,
    members: &[(&'a MemberRecord, MemberState)],
    places: &ShardPlacement,
) -> Vec<&'a MemberRecord> {
    let of_standing = |wanted: MemberState| -> Vec<&'a MemberRecord> {
        let members = members.iter().filter(|(_, standing)| *standing == wanted);
        members.map(|(record, _)| *record).collect()
    };
    let serving = of_standing(MemberState::Serving);
    if serving.is_empty() {
        return of_standing(MemberState::Suspect);
    }
    let has_near_shards = |record: &&&MemberRecord| places.is_near_shards(&record.failure_domain);
    let near_shards: Vec<&MemberRecord> = serving.iter().filter(has_near_shards).copied().collect();
    let candidates = if near_shards.len() >= MIN_VMS { near_shards } else { serving };
    let candidates = preferred_vms(&candidates).unwrap_or(candidates);
    let is_local = |record: &&&MemberRecord| failure_domain == Some(&*record.failure_domain);
    let local: Vec<&MemberRecord> = candidates.iter().filter(is_local).copied().collect();
    if local.len() >= MIN_VMS { local } else { candidates }
}

/// Returns the VMs whose processor share is comparable to the largest one.
pub fn most_capable<'a>(vms: &[&'a MemberRecord]) -> Vec<&'a MemberRecord> {
    let largest = vms.iter().map(|record| record.processor_millicores).max().unwrap_or(0);
    let is_capable = |record: &&&MemberRecord| {
        record.processor_millicores.saturating_mul(CAPABLE_DIVISOR) >= largest
    };
    vms.iter().filter(is_capable).copied().collect()
}

/// Returns the most capable VMs, if they can serve all traffic.
///
/// Sending all traffic to few VMs also keeps their connections in use and their latency statistics
/// up to date.
fn preferred_vms<'a>(vms: &[&'a MemberRecord]) -> Option<Vec<&'a MemberRecord>> {
    let sum = |vms: &[&MemberRecord]| -> u32 {
        vms.iter().fold(0, |sum, record| sum.saturating_add(record.processor_millicores))
    };
    let capable = most_capable(vms);
    let is_sufficient = sum(&capable).saturating_mul(SUFFICIENT_DIVISOR) >= sum(vms);
    (is_sufficient && capable.len() >= MIN_VMS).then_some(capable)
}
