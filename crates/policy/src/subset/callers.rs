//! Which VMs a caller of routes is sent to.

use crate::MemberRecord;
use crate::MemberStanding;

/// Fewest VMs that a caller is named: one that fails leaves it another.
const FEWEST_NAMED: usize = 2;

/// The VMs that a caller in `failure_domain` should use, in no order.
///
/// Those of its own failure domain if there are at least two, as nothing then crosses between
/// failure domains on the way in; else every VM that serves. Suspect VMs are named only where
/// nobody serves, as a suspicion may be wrong.
pub fn caller_plan<'a>(
    failure_domain: Option<&str>,
    members: &[(&'a MemberRecord, MemberStanding)],
) -> Vec<&'a MemberRecord> {
    let of_standing = |wanted: MemberStanding| -> Vec<&'a MemberRecord> {
        let members = members.iter().filter(|(_, standing)| *standing == wanted);
        members.map(|(record, _)| *record).collect()
    };
    let serving = of_standing(MemberStanding::Serving);
    if serving.is_empty() {
        return of_standing(MemberStanding::Suspect);
    }
    let is_near = |record: &&&MemberRecord| failure_domain == Some(&*record.failure_domain);
    let near: Vec<&MemberRecord> = serving.iter().filter(is_near).copied().collect();
    if near.len() >= FEWEST_NAMED { near } else { serving }
}
