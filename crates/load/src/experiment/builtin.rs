//! Built-in scenarios and variants.

use std::collections::BTreeMap;
use std::fmt::Write;

use oleanderwind_standin::DeploymentName as StandinName;
use oleanderwind_standin::StandinSettings;
use serde_json::Value;
use serde_json::json;

use crate::DeploymentName;
use crate::experiment::ControlCall;
use crate::experiment::ExperimentScenario;
use crate::experiment::ExperimentVariant;
use crate::experiment::FaultSpan;

/// Path of searcher faults on the control port.
const FAULTS_PATH: &str = "/control/faults";
/// Path of platform faults on the control port.
const PLATFORM_PATH: &str = "/control/platform";
/// Path of new snapshots on the control port.
const SNAPSHOTS_PATH: &str = "/control/snapshots";
/// Interval between VM replacements, in milliseconds.
const VM_REPLACEMENT_INTERVAL_MS: u64 = 3_000;
/// Rate of the customer that exceeds its limit, as a multiple of the limit.
const OVER_LIMIT_FACTOR: f64 = 10.0;

/// Name of a built-in scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioName {
    /// No fault.
    NormalDay,
    /// One searcher of each sharded service is 10 times slower.
    SlowSearcher,
    /// Every searcher of one failure domain is down.
    DomainDown,
    /// Every second searcher has a cold start.
    ColdStart,
    /// Every fifth searcher sheds all calls.
    Shedding,
    /// Every fourth searcher is 5 times slower and reports no load. The others report a full queue.
    FalseLoad,
    /// The customer of the last deployment sends 10 times its rate limit. The others stay within
    /// theirs.
    OverLimit,
    /// Every searcher is 5 times slower during the fault.
    SlowPeriod,
    /// The platform does not answer during the fault.
    PlatformAway,
    /// Each sharded service gets a new snapshot with twice as many shards.
    Repartition,
    /// One VM is replaced every few seconds.
    VmReplacement,
    /// All open connections to searchers go silent at the same time.
    SilentConnections,
}

impl ScenarioName {
    /// Every scenario.
    pub const ALL: [ScenarioName; 12] = [
        ScenarioName::NormalDay,
        ScenarioName::SlowSearcher,
        ScenarioName::DomainDown,
        ScenarioName::ColdStart,
        ScenarioName::Shedding,
        ScenarioName::FalseLoad,
        ScenarioName::OverLimit,
        ScenarioName::SlowPeriod,
        ScenarioName::PlatformAway,
        ScenarioName::Repartition,
        ScenarioName::VmReplacement,
        ScenarioName::SilentConnections,
    ];

    /// Returns the name used on the command line and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            ScenarioName::NormalDay => "normal-day",
            ScenarioName::SlowSearcher => "slow-searcher",
            ScenarioName::DomainDown => "domain-down",
            ScenarioName::ColdStart => "cold-start",
            ScenarioName::Shedding => "shedding",
            ScenarioName::FalseLoad => "false-load",
            ScenarioName::OverLimit => "over-limit",
            ScenarioName::SlowPeriod => "slow-period",
            ScenarioName::PlatformAway => "platform-away",
            ScenarioName::Repartition => "repartition",
            ScenarioName::VmReplacement => "vm-replacement",
            ScenarioName::SilentConnections => "silent-connections",
        }
    }

    /// Returns the scenario with that name.
    pub fn parse(text: &str) -> Option<ScenarioName> {
        ScenarioName::ALL.into_iter().find(|name| name.as_str() == text)
    }

    /// Returns all names, separated by commas.
    pub fn names() -> String {
        join_names(ScenarioName::ALL.iter().map(|name| name.as_str()))
    }

    /// Returns the scenario for a trial of `duration_ms` at `rate` requests per second. A fault
    /// starts after 1/4 of the trial and ends after 5/8.
    ///
    /// # Panics
    ///
    /// Panics for `over-limit` without a deployment.
    pub fn scenario(
        self,
        deployments: &[DeploymentName],
        rate: f64,
        duration_ms: u64,
    ) -> ExperimentScenario {
        let span = FaultSpan { from_ms: duration_ms / 4, to_ms: duration_ms * 5 / 8 };
        let fault = |scope: Value, fault: Value| fault_call(span.from_ms, &scope, &fault);
        let clear = fault_call(span.to_ms, &json!("all"), &json!({"fault": "clear"}));
        let stretch = |permille: u64| json!({"fault": "stretch", "factor_permille": permille});
        let instant = Some(FaultSpan { from_ms: span.from_ms, to_ms: span.from_ms });
        let mut scenario =
            ExperimentScenario { fault: Some(span), ..ExperimentScenario::new(self.as_str()) };
        match self {
            ScenarioName::NormalDay => scenario.fault = None,
            ScenarioName::SlowSearcher => {
                let slow = sharded_services(deployments).into_iter().map(|service| {
                    let target = searcher_name(service, 0);
                    fault(json!({ "searcher": target }), stretch(10_000))
                });
                scenario.control_calls = slow.chain([clear]).collect();
            }
            ScenarioName::DomainDown => {
                let scope = |name: &DeploymentName| json!({"failure_domain": format!("{}-0", name.as_str())});
                let down =
                    deployments.iter().map(|name| fault(scope(name), json!({"fault": "down"})));
                let up = deployments
                    .iter()
                    .map(|name| fault_call(span.to_ms, &scope(name), &json!({"fault": "up"})));
                scenario.control_calls = down.chain(up).collect();
            }
            ScenarioName::ColdStart => {
                let slow_ms = span.to_ms - span.from_ms;
                let cold =
                    json!({"fault": "cold_start", "slow_ms": slow_ms, "factor_permille": 10_000});
                let calls = every_nth_searcher(deployments, 2, 1);
                let calls = calls.map(|target| fault(json!({ "searcher": target }), cold.clone()));
                scenario.control_calls = calls.collect();
            }
            ScenarioName::Shedding => {
                let calls = every_nth_searcher(deployments, 5, 0)
                    .map(|target| fault(json!({ "searcher": target }), json!({"fault": "shed"})));
                scenario.control_calls = calls.chain([clear]).collect();
            }
            ScenarioName::FalseLoad => {
                let mislead = |busy: u32, queued: u32| json!({"fault": "mislead_load", "busy": busy, "queued": queued});
                let mut calls = vec![fault(json!("all"), mislead(2, 50))];
                for target in every_nth_searcher(deployments, 4, 0) {
                    let scope = json!({ "searcher": target });
                    calls.push(fault(scope.clone(), mislead(0, 0)));
                    calls.push(fault(scope, stretch(5_000)));
                }
                calls.push(clear);
                scenario.control_calls = calls;
            }
            ScenarioName::OverLimit => {
                scenario.fault = None;
                let name = deployments[deployments.len() - 1];
                scenario.contract_rates = BTreeMap::from([(name, rate)]);
                scenario.rate_factors = BTreeMap::from([(name, OVER_LIMIT_FACTOR)]);
            }
            ScenarioName::SlowPeriod => {
                scenario.control_calls = vec![fault(json!("all"), stretch(5_000)), clear];
            }
            ScenarioName::PlatformAway => {
                let call =
                    |at_ms, body| ControlCall { at_ms, path: PLATFORM_PATH.to_string(), body };
                let outage = json!({"fault": "outage", "manner": "silent"});
                scenario.control_calls =
                    vec![call(span.from_ms, outage), call(span.to_ms, json!({"fault": "clear"}))];
            }
            ScenarioName::Repartition => {
                scenario.fault = instant;
                let snapshot = |(service, shards): (&'static str, u32)| ControlCall {
                    at_ms: span.from_ms,
                    path: SNAPSHOTS_PATH.to_string(),
                    body: json!({"service": service, "provider": first_provider(), "shards": shards * 2}),
                };
                scenario.control_calls =
                    sharded_service_sizes(deployments).into_iter().map(snapshot).collect();
            }
            ScenarioName::VmReplacement => {
                scenario.fault = None;
                scenario.replace_vm_every_ms = Some(VM_REPLACEMENT_INTERVAL_MS);
            }
            ScenarioName::SilentConnections => {
                scenario.fault = instant;
                scenario.control_calls =
                    vec![fault(json!("all"), json!({"fault": "silence_connections"}))];
            }
        }
        scenario
    }
}

/// Built-in variants: name, environment variable of the daemon and its value. `default` sets none.
const VARIANTS: &[(&str, &str, &str)] = &[
    ("default", "", ""),
    ("hedge-none", "OLEANDERWIND_HEDGE", "none"),
    ("hedge-20ms", "OLEANDERWIND_HEDGE", "fixed:20"),
    ("hedge-q990", "OLEANDERWIND_HEDGE", "quantile:990"),
    ("least-outstanding", "OLEANDERWIND_ROUTING", "least-outstanding"),
    ("round-robin", "OLEANDERWIND_ROUTING", "round-robin"),
    ("floor-late", "OLEANDERWIND_FLOOR_WAIT", "late"),
    ("floor-hedge", "OLEANDERWIND_FLOOR_WAIT", "hedge"),
    ("floor-third", "OLEANDERWIND_FLOOR_WAIT", "share:333"),
    ("floor-half", "OLEANDERWIND_FLOOR_WAIT", "share:500"),
];

/// Returns the built-in variant with that name.
pub fn builtin_variant(text: &str) -> Option<ExperimentVariant> {
    let (name, variable, value) = VARIANTS.iter().find(|(name, ..)| *name == text)?;
    let mut environment = BTreeMap::new();
    if !variable.is_empty() {
        environment.insert((*variable).to_string(), (*value).to_string());
    }
    Some(ExperimentVariant { name: (*name).to_string(), environment })
}

/// Returns the names of all built-in variants, separated by commas.
pub fn variant_names() -> String {
    join_names(VARIANTS.iter().map(|(name, ..)| *name))
}

/// Joins names with commas.
fn join_names(names: impl Iterator<Item = &'static str>) -> String {
    let mut text = String::new();
    for name in names {
        let separator = if text.is_empty() { "" } else { ", " };
        let _ = write!(text, "{separator}{name}");
    }
    text
}

/// Returns a control call that sets a fault of the searchers in `scope`.
fn fault_call(at_ms: u64, scope: &Value, fault: &Value) -> ControlCall {
    let mut body = fault.clone();
    body["scope"] = scope.clone();
    ControlCall { at_ms, path: FAULTS_PATH.to_string(), body }
}

/// Returns the name of the stand-ins' first provider.
fn first_provider() -> String {
    StandinSettings::default().providers[0].to_string()
}

/// Returns the name of a searcher at the first provider.
fn searcher_name(service: &str, index: u32) -> String {
    format!("{service}.{}.{index}", first_provider())
}

/// Returns each service with more than one shard and its number of shards.
fn sharded_service_sizes(deployments: &[DeploymentName]) -> Vec<(&'static str, u32)> {
    let services = services(deployments);
    let sizes = services.into_iter().map(|(service, shards, _)| (service, shards));
    sizes.filter(|(_, shards)| *shards > 1).collect()
}

/// Returns the services with more than one shard.
fn sharded_services(deployments: &[DeploymentName]) -> Vec<&'static str> {
    sharded_service_sizes(deployments).into_iter().map(|(service, _)| service).collect()
}

/// Returns the names of the searchers whose index within their service is `remainder` modulo `n`.
fn every_nth_searcher(
    deployments: &[DeploymentName],
    n: u32,
    remainder: u32,
) -> impl Iterator<Item = String> {
    services(deployments).into_iter().flat_map(move |(service, _, searchers)| {
        let indices = (0..searchers).filter(move |index| index % n == remainder);
        indices.map(move |index| searcher_name(service, index))
    })
}

/// Returns each service's name, number of shards and number of searchers.
fn services(deployments: &[DeploymentName]) -> Vec<(&'static str, u32, u32)> {
    let provider = StandinSettings::default().providers[0].clone();
    let mut services = Vec::new();
    for name in deployments {
        let name = StandinName::parse(name.as_str()).unwrap_or(StandinName::Tsagaan);
        for plan in name.plan(&provider).services {
            services.push((plan.service, plan.shards, plan.searchers()));
        }
    }
    services
}
