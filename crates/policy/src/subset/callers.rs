//! Which VMs a caller of routes is sent to.

use std::collections::HashMap;

use crate::FailureDomainId;
use crate::MemberRecord;
use crate::MemberState;

/// Fewest VMs that a caller is named: one that fails leaves it another.
const FEWEST_NAMED: usize = 2;
/// A failure domain is a good place to fan out from when it holds at least one in this many of the
/// shards: less than half and most of an answer's parts would cross to it.
const HELD_DIVISOR: usize = 2;
/// A VM is capable when it has at least one in this many of the processor of the greatest one: a
/// fan-out over a hundred shards takes 15 ms of a whole core, and an objective of 80 ms is lost on
/// an eighth of one.
const CAPABLE_DIVISOR: u32 = 2;
/// Capable VMs are enough where they have at least one in this many of the fleet's processor.
const ENOUGH_DIVISOR: u32 = 8;

/// How many of the fan-out's shards have a target in each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardPlacement {
    /// Shards of all routes.
    pub shards: usize,
    /// Shards with a target in the failure domain.
    pub shards_by_domain: HashMap<FailureDomainId, usize>,
}

impl ShardPlacement {
    /// Whether a VM there finds most shards near.
    fn is_near_shards(&self, failure_domain: &FailureDomainId) -> bool {
        let held = self.shards_by_domain.get(failure_domain).copied().unwrap_or_default();
        held * HELD_DIVISOR >= self.shards
    }
}

/// The VMs that a caller in `failure_domain` should use, in no order.
///
/// An answer that is merged near its shards crosses between failure domains once; one merged
/// elsewhere crosses part by part. So callers are sent to VMs of failure domains that hold most
/// shards, to the most capable of them, and of these to those of their own domain if there are at
/// least two. Suspect VMs are named only where nobody serves, as a suspicion may be wrong.
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
    let is_placed = |record: &&&MemberRecord| places.is_near_shards(&record.failure_domain);
    let placed: Vec<&MemberRecord> = serving.iter().filter(is_placed).copied().collect();
    let candidates = if placed.len() >= FEWEST_NAMED { placed } else { serving };
    let candidates = carriers(&candidates).unwrap_or(candidates);
    let is_near = |record: &&&MemberRecord| failure_domain == Some(&*record.failure_domain);
    let near: Vec<&MemberRecord> = candidates.iter().filter(is_near).copied().collect();
    if near.len() >= FEWEST_NAMED { near } else { candidates }
}

/// The VMs with about the most processor each.
pub fn most_capable<'a>(vms: &[&'a MemberRecord]) -> Vec<&'a MemberRecord> {
    let greatest = vms.iter().map(|record| record.processor_millicores).max().unwrap_or(0);
    let is_capable = |record: &&&MemberRecord| {
        record.processor_millicores.saturating_mul(CAPABLE_DIVISOR) >= greatest
    };
    vms.iter().filter(is_capable).copied().collect()
}

/// The most capable VMs, if they can carry the traffic of all.
///
/// Few VMs also keep their connections and what they learn of targets warm.
fn carriers<'a>(vms: &[&'a MemberRecord]) -> Option<Vec<&'a MemberRecord>> {
    let sum = |vms: &[&MemberRecord]| -> u32 {
        vms.iter().fold(0, |sum, record| sum.saturating_add(record.processor_millicores))
    };
    let capable = most_capable(vms);
    let is_enough = sum(&capable).saturating_mul(ENOUGH_DIVISOR) >= sum(vms);
    (is_enough && capable.len() >= FEWEST_NAMED).then_some(capable)
}
