//! Placement of a customer's requests on providers.

use crate::FindingList;
use crate::ProviderId;
use crate::contract::RawPlacement;

/// 100 %, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// One provider's share of a customer's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementShare {
    /// Name of the provider.
    pub provider: ProviderId,
    /// Share of the customer's requests, in thousandths.
    pub share_permille: u32,
}

impl PlacementShare {
    /// Validates all shares of a contract, which must add up to 1000.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub(crate) fn from_raw_list(raw: &[RawPlacement]) -> Result<Vec<PlacementShare>, FindingList> {
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
        if total != u64::from(FULL_PERMILLE) {
            findings.add("placement", format!("shares add up to {total}; give {FULL_PERMILLE}"));
        }
        findings.into_result(shares)
    }
}
