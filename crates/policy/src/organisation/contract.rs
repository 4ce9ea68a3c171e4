//! The validated contract of one organisation.

use crate::FindingList;
use crate::KeyDigest;
use crate::OrganisationId;
use crate::RegionId;
use crate::organisation::RawOrganisation;

/// What the tier guarantees for the requests of one organisation, and what it admits.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationContract {
    /// Unique name, which targets are told.
    pub organisation: OrganisationId,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority under load, in place of that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests over all VMs; `None` for no limit.
    pub quota: Option<RequestQuota>,
    /// Regions whose targets may serve it; none for all.
    pub regions: Vec<RegionId>,
}

/// Limit on the requests of an organisation over all VMs: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestQuota {
    /// Requests per second; above 0.
    pub requests_per_second: f64,
    /// Requests that may come at once beyond the rate; at least 0.
    pub burst: f64,
}

impl OrganisationContract {
    /// Validates `raw`.
    ///
    /// # Errors
    ///
    /// Returns all findings; each names a place below `place`.
    pub(crate) fn from_raw(
        raw: &RawOrganisation,
        place: &str,
    ) -> Result<OrganisationContract, FindingList> {
        let mut findings = FindingList::default();
        if raw.name.is_empty() {
            findings.add(format!("{place}.name"), "is empty; name the organisation");
        }
        if raw.name.chars().any(char::is_control) {
            findings.add(
                format!("{place}.name"),
                "contains a control character; targets are told it in a header",
            );
        }
        for (field, value) in
            [("requests_per_second", raw.requests_per_second), ("burst", raw.burst)]
        {
            if !value.is_finite() || value < 0.0 {
                findings.add(format!("{place}.{field}"), format!("is {value}; give 0 or more"));
            }
        }
        let quota = (raw.requests_per_second > 0.0).then_some(RequestQuota {
            requests_per_second: raw.requests_per_second,
            burst: raw.burst,
        });
        findings.into_result(OrganisationContract {
            organisation: raw.name.as_str().into(),
            keys: raw.keys.clone(),
            priority: raw.rank,
            quota,
            regions: raw.regions.iter().map(|region| region.as_str().into()).collect(),
        })
    }
}
