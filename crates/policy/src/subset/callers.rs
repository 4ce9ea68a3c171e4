//! Which VMs a caller of routes is sent to.

use std::collections::HashMap;

use crate::FailureDomainId;
use crate::MemberRecord;
use crate::MemberStanding;

/// Fewest VMs that a caller is named: one that fails leaves it another.
const FEWEST_NAMED: usize = 2;
/// A failure domain is a good place to fan out from when it holds at least one in this many of the
/// shards: less than half and most of an answer's parts would cross to it.
const HELD_DIVISOR: usize = 2;

/// How many of the fan-out's shards have a target in each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardPlaces {
    /// Shards of all routes.
    pub shards: usize,
    /// Shards with a target in the failure domain.
    pub held: HashMap<FailureDomainId, usize>,
}

impl ShardPlaces {
    /// Whether a VM there finds most shards near.
    fn is_near_shards(&self, failure_domain: &FailureDomainId) -> bool {
        let held = self.held.get(failure_domain).copied().unwrap_or_default();
        held * HELD_DIVISOR >= self.shards
    }
}

/// The VMs that a caller in `failure_domain` should use, in no order.
///
/// An answer that is merged near its shards crosses between failure domains once; one merged
/// elsewhere crosses part by part. So callers are sent to VMs of failure domains that hold most
/// shards, to those of their own domain if there are at least two. Suspect VMs are named only
/// where nobody serves, as a suspicion may be wrong.
pub fn caller_plan<'a>(
    failure_domain: Option<&str>,
    members: &[(&'a MemberRecord, MemberStanding)],
    places: &ShardPlaces,
) -> Vec<&'a MemberRecord> {
    let of_standing = |wanted: MemberStanding| -> Vec<&'a MemberRecord> {
        let members = members.iter().filter(|(_, standing)| *standing == wanted);
        members.map(|(record, _)| *record).collect()
    };
    let serving = of_standing(MemberStanding::Serving);
    if serving.is_empty() {
        return of_standing(MemberStanding::Suspect);
    }
    let is_placed = |record: &&&MemberRecord| places.is_near_shards(&record.failure_domain);
    let placed: Vec<&MemberRecord> = serving.iter().filter(is_placed).copied().collect();
    let candidates = if placed.len() >= FEWEST_NAMED { placed } else { serving };
    let is_near = |record: &&&MemberRecord| failure_domain == Some(&*record.failure_domain);
    let near: Vec<&MemberRecord> = candidates.iter().filter(is_near).copied().collect();
    if near.len() >= FEWEST_NAMED { near } else { candidates }
}
