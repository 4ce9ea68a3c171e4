//! The validated contract of one route.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::FindingList;
use crate::OperationKind;
use crate::RegionId;
use crate::ServiceId;
use crate::route::RawRoute;
use crate::route::RawShardSet;
use crate::route::RouteDestination;
use crate::route::ShardSet;
use crate::route::WeightedService;

/// Subtracted before rounding up, so that a floating-point product just above a whole number does
/// not require one shard more: 0.07 x 100 gives 7.000000000000001.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// What the tier guarantees for requests whose path starts with the route's prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteContract {
    /// Unique name.
    pub name: Arc<str>,
    /// Host name in callers' requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix that the route serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    pub operation: OperationKind,
    /// Latency that answers should meet; at most `time_limit`.
    pub latency_objective: Duration,
    /// Maximum time until a request is answered or refused.
    pub time_limit: Duration,
    /// Maximum number of targets that may execute one request; at least 1.
    pub attempt_limit: u32,
    /// Priority under load; 0 is the highest.
    pub priority: u32,
    /// Services that answer the route's requests.
    pub destination: RouteDestination,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions whose targets may serve the route; none for all.
    pub regions: Vec<RegionId>,
}

impl RouteContract {
    /// Validates `raw`.
    ///
    /// # Errors
    ///
    /// Returns all findings; each names a place below `place`.
    pub(crate) fn from_raw(raw: &RawRoute, place: &str) -> Result<RouteContract, FindingList> {
        let mut findings = FindingList::default();
        if !(raw.prefix.starts_with('/') && raw.prefix.ends_with('/')) {
            let problem = format!("is {:?}; begin and end it with a slash", raw.prefix);
            findings.add(format!("{place}.prefix"), problem);
        }
        if raw.time_limit_ms == 0 {
            findings.add(format!("{place}.time_limit_ms"), "is 0; give at least 1");
        }
        if raw.attempts == 0 {
            findings.add(format!("{place}.attempts"), "is 0; give at least 1");
        }
        let destination = validate_destination(raw, place, &mut findings);
        findings.into_result(())?;
        let destination = destination.unwrap_or_else(|| RouteDestination::Single("".into()));
        Ok(RouteContract {
            name: raw.name.as_str().into(),
            host: raw.host.to_ascii_lowercase().into(),
            prefix: raw.prefix.as_str().into(),
            operation: raw.operation,
            latency_objective: Duration::from_millis(raw.objective_ms.min(raw.time_limit_ms)),
            time_limit: Duration::from_millis(raw.time_limit_ms),
            attempt_limit: raw.attempts,
            priority: raw.rank,
            destination,
            is_public: raw.is_public,
            regions: raw.regions.iter().map(|region| region.as_str().into()).collect(),
        })
    }
}

/// Returns the destination of `raw`, or adds a finding and returns `None`.
fn validate_destination(
    raw: &RawRoute,
    place: &str,
    findings: &mut FindingList,
) -> Option<RouteDestination> {
    match (&raw.service, &raw.shares, &raw.shards) {
        (Some(service), None, None) => Some(RouteDestination::Single(service.as_str().into())),
        (None, Some(shares), None) if shares.iter().any(|share| share.weight > 0) => {
            let weighted = shares.iter().filter(|share| share.weight > 0).map(|share| {
                WeightedService { service: share.service.as_str().into(), weight: share.weight }
            });
            Some(RouteDestination::Weighted(weighted.collect()))
        }
        (None, Some(_), None) => {
            findings.add(format!("{place}.shares"), "have no weight; give one of them at least 1");
            None
        }
        (None, None, Some(shards)) => {
            validate_shard_set(shards, &format!("{place}.shards"), findings)
                .map(RouteDestination::Sharded)
        }
        _ => {
            findings.add(place.to_owned(), "needs exactly one of service, shares and shards");
            None
        }
    }
}

/// Returns the shard set of `raw`, or adds a finding and returns `None`.
fn validate_shard_set(
    raw: &RawShardSet,
    place: &str,
    findings: &mut FindingList,
) -> Option<ShardSet> {
    let count = raw.services.len();
    let distinct: HashSet<&String> = raw.services.iter().collect();
    if count == 0 || distinct.len() != count {
        findings.add(format!("{place}.services"), "must name at least one, each only once");
        return None;
    }
    if !(0.0..=1.0).contains(&raw.floor) {
        findings.add(format!("{place}.floor"), format!("is {}; give 0 to 1", raw.floor));
        return None;
    }
    let min_shards = (raw.floor * count as f64 - ROUNDING_TOLERANCE).ceil().max(1.0) as usize;
    let services: Vec<ServiceId> = raw.services.iter().map(|name| name.as_str().into()).collect();
    Some(ShardSet { services, record_limit: raw.top, min_shards })
}
