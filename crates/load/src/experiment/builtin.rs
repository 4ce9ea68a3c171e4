//! Scenarios that the tool knows by name.

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

/// Path of searchers' faults at the control port.
const FAULTS_PATH: &str = "/control/faults";
/// Path of the platform's faults at the control port.
const PLATFORM_PATH: &str = "/control/platform";
/// Path of new snapshots at the control port.
const SNAPSHOTS_PATH: &str = "/control/snapshots";
/// Time between two replacements of a VM, in milliseconds.
const REPLACE_PERIOD_MS: u64 = 3_000;
/// Multiple of its limit that the customer sends.
const EXCESS_FACTOR: f64 = 10.0;

/// A scenario that the tool knows by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioName {
    /// Nothing befalls the targets.
    NormalDay,
    /// One searcher of each sharded service is ten times as slow.
    SlowSearcher,
    /// Every searcher of one failure domain is down.
    DomainDown,
    /// Every second searcher starts cold.
    ColdStart,
    /// Every fifth searcher sheds each call.
    Shedding,
    /// Slow searchers report no load, idle ones a full queue.
    FalseLoad,
    /// One customer sends ten times its limit beside one within its own.
    OverLimit,
    /// Every searcher is five times as slow for a while.
    SlowPeriod,
    /// The platform is away for most of the trial.
    PlatformAway,
    /// The sharded services get new snapshots with twice the shards.
    Repartition,
    /// A VM is replaced every few seconds.
    VmReplacement,
    /// Every open connection to a searcher goes silent at once.
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

    /// The name on the command line and in tables.
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

    /// The scenario of that name.
    pub fn parse(text: &str) -> Option<ScenarioName> {
        ScenarioName::ALL.into_iter().find(|name| name.as_str() == text)
    }

    /// Every name, for messages.
    pub fn names() -> String {
        join_names(ScenarioName::ALL.iter().map(|name| name.as_str()))
    }

    /// The scenario for a trial of `duration_ms` at `rate`; a fault lasts from a quarter to five
    /// eighths of the trial.
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
        let moment = Some(FaultSpan { from_ms: span.from_ms, to_ms: span.from_ms });
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
                let calls = every_searcher(deployments, 2, 1);
                let calls = calls.map(|target| fault(json!({ "searcher": target }), cold.clone()));
                scenario.control_calls = calls.collect();
            }
            ScenarioName::Shedding => {
                let calls = every_searcher(deployments, 5, 0)
                    .map(|target| fault(json!({ "searcher": target }), json!({"fault": "shed"})));
                scenario.control_calls = calls.chain([clear]).collect();
            }
            ScenarioName::FalseLoad => {
                let told = |busy: u32, queued: u32| json!({"fault": "mislead_load", "busy": busy, "queued": queued});
                let mut calls = vec![fault(json!("all"), told(2, 50))];
                for target in every_searcher(deployments, 4, 0) {
                    let scope = json!({ "searcher": target });
                    calls.push(fault(scope.clone(), told(0, 0)));
                    calls.push(fault(scope, stretch(5_000)));
                }
                calls.push(clear);
                scenario.control_calls = calls;
            }
            ScenarioName::OverLimit => {
                scenario.fault = None;
                let name = deployments[deployments.len() - 1];
                scenario.contract_rates = BTreeMap::from([(name, rate)]);
                scenario.rate_factors = BTreeMap::from([(name, EXCESS_FACTOR)]);
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
                scenario.fault = moment;
                let snapshot = |(service, shards): (&'static str, u32)| ControlCall {
                    at_ms: span.from_ms,
                    path: SNAPSHOTS_PATH.to_string(),
                    body: json!({"service": service, "provider": provider(), "shards": shards * 2}),
                };
                scenario.control_calls =
                    sharded_sizes(deployments).into_iter().map(snapshot).collect();
            }
            ScenarioName::VmReplacement => {
                scenario.fault = None;
                scenario.replace_vm_every_ms = Some(REPLACE_PERIOD_MS);
            }
            ScenarioName::SilentConnections => {
                scenario.fault = moment;
                scenario.control_calls =
                    vec![fault(json!("all"), json!({"fault": "silence_connections"}))];
            }
        }
        scenario
    }
}

/// Variants that the tool knows by name, with the daemon's variable and its value.
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

/// The variant of that name.
pub fn builtin_variant(text: &str) -> Option<ExperimentVariant> {
    let (name, variable, value) = VARIANTS.iter().find(|(name, ..)| *name == text)?;
    let mut environment = BTreeMap::new();
    if !variable.is_empty() {
        environment.insert((*variable).to_string(), (*value).to_string());
    }
    Some(ExperimentVariant { name: (*name).to_string(), environment })
}

/// Every variant's name, for messages.
pub fn variant_names() -> String {
    join_names(VARIANTS.iter().map(|(name, ..)| *name))
}

fn join_names(names: impl Iterator<Item = &'static str>) -> String {
    let mut text = String::new();
    for name in names {
        let separator = if text.is_empty() { "" } else { ", " };
        let _ = write!(text, "{separator}{name}");
    }
    text
}

/// A control call that puts a fault in force.
fn fault_call(at_ms: u64, scope: &Value, fault: &Value) -> ControlCall {
    let mut body = fault.clone();
    body["scope"] = scope.clone();
    ControlCall { at_ms, path: FAULTS_PATH.to_string(), body }
}

/// The stand-ins' first provider.
fn provider() -> String {
    StandinSettings::default().providers[0].to_string()
}

/// A searcher's name at the first provider.
fn searcher_name(service: &str, index: u32) -> String {
    format!("{service}.{}.{index}", provider())
}

/// Services with more than one shard and their numbers of shards.
fn sharded_sizes(deployments: &[DeploymentName]) -> Vec<(&'static str, u32)> {
    let services = services(deployments);
    let sizes = services.into_iter().map(|(service, shards, _)| (service, shards));
    sizes.filter(|(_, shards)| *shards > 1).collect()
}

/// Services with more than one shard.
fn sharded_services(deployments: &[DeploymentName]) -> Vec<&'static str> {
    sharded_sizes(deployments).into_iter().map(|(service, _)| service).collect()
}

/// Names of the searchers whose index within their service leaves `rest` when divided by `step`.
fn every_searcher(
    deployments: &[DeploymentName],
    step: u32,
    rest: u32,
) -> impl Iterator<Item = String> {
    services(deployments).into_iter().flat_map(move |(service, _, searchers)| {
        let indices = (0..searchers).filter(move |index| index % step == rest);
        indices.map(move |index| searcher_name(service, index))
    })
}

/// Each service's name, shards and searchers.
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
