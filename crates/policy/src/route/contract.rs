//! One checked route.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::FindingList;
use crate::OperationKind;
use crate::ServiceId;
use crate::route::RawRoute;
use crate::route::RawShardSet;
use crate::route::RouteDestination;
use crate::route::ShardSet;
use crate::route::WeightedService;

/// Keeps the rounding of a floor such as 0.35 x 20 from asking for one shard more.
const FLOOR_ROUNDING: f64 = 1e-9;

/// What is promised for the requests of one path.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteContract {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Begins the paths that the route serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub operation: OperationKind,
    /// Time in which an answer has its full worth.
    pub latency_objective: Duration,
    /// Longest time that a request may be kept waiting.
    pub time_limit: Duration,
    /// Most targets that may run one request; at least 1.
    pub max_attempts: u32,
    /// Order under load, 0 first.
    pub priority: u32,
    /// Who answers.
    pub destination: RouteDestination,
}

impl RouteContract {
    /// Checks `raw`; findings name places below `place`.
    pub(crate) fn check(raw: &RawRoute, place: &str) -> Result<RouteContract, FindingList> {
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
        let targets = check_targets(raw, place, &mut findings);
        findings.into_result(())?;
        let targets = targets.unwrap_or_else(|| RouteDestination::Single("".into()));
        Ok(RouteContract {
            name: raw.name.as_str().into(),
            host: raw.host.to_ascii_lowercase().into(),
            prefix: raw.prefix.as_str().into(),
            operation: raw.operation,
            latency_objective: Duration::from_millis(raw.objective_ms.min(raw.time_limit_ms)),
            time_limit: Duration::from_millis(raw.time_limit_ms),
            max_attempts: raw.attempts,
            priority: raw.rank,
            destination: targets,
        })
    }
}

fn check_targets(
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
        (None, None, Some(shards)) => check_shards(shards, &format!("{place}.shards"), findings)
            .map(RouteDestination::Sharded),
        _ => {
            findings.add(place.to_owned(), "needs exactly one of service, shares and shards");
            None
        }
    }
}

fn check_shards(raw: &RawShardSet, place: &str, findings: &mut FindingList) -> Option<ShardSet> {
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
    let floor = (raw.floor * count as f64 - FLOOR_ROUNDING).ceil().max(1.0) as usize;
    let services: Vec<ServiceId> = raw.services.iter().map(|name| name.as_str().into()).collect();
    Some(ShardSet { services, top_k: raw.top, min_shards: floor })
}
