//! Organisations as they are stored, before validation.

use serde::Deserialize;
use serde::Serialize;

use crate::KeyDigest;

/// One organisation.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RawOrganisation {
    /// Unique name, which targets are told.
    pub name: String,
    /// Digests of its keys; none admits no request.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// Priority under load, in place of that of the route; 0 is the highest.
    #[serde(default)]
    pub rank: Option<u32>,
    /// Requests per second over all VMs; 0 for no limit.
    #[serde(default)]
    pub requests_per_second: f64,
    /// Requests that may come at once beyond the rate.
    #[serde(default)]
    pub burst: f64,
    /// Regions whose targets may serve it; none for all.
    #[serde(default)]
    pub regions: Vec<String>,
}
