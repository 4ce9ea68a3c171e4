//! Which providers serve a customer.

use crate::FindingList;
use crate::ProviderId;
use crate::contract::RawPlacement;

/// A whole, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// One provider's share of a customer's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementShare {
    /// The provider.
    pub provider: ProviderId,
    /// Thousandths of the customer's requests.
    pub share_permille: u32,
}

impl PlacementShare {
    /// Checks all shares of a contract; they must add up to a whole.
    pub(crate) fn check(raw: &[RawPlacement]) -> Result<Vec<PlacementShare>, FindingList> {
        let mut findings = FindingList::default();
        let mut shares = Vec::with_capacity(raw.len());
        for (index, placement) in raw.iter().enumerate() {
            if placement.provider.is_empty() {
                findings.add(format!("placement[{index}].provider"), "is empty; name the provider");
            }
            shares.push(PlacementShare {
                provider: placement.provider.as_str().into(),
                share_permille: placement.share_permille,
            });
        }
        let total: u64 = raw.iter().map(|placement| u64::from(placement.share_permille)).sum();
        if total != u64::from(WHOLE_PERMILLE) {
            findings.add("placement", format!("shares add up to {total}; give {WHOLE_PERMILLE}"));
        }
        findings.into_result(shares)
    }
}
