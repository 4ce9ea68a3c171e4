//! What befalls the stand-ins and the VMs in a trial.

use std::collections::BTreeMap;

use oleanderwind_policy::FindingList;
use serde::Deserialize;
use serde::Serialize;

use crate::DeploymentName;

/// One scenario.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentScenario {
    /// Name in the table.
    pub name: String,
    /// Calls to the stand-ins' control port, in the order of their times.
    #[serde(default)]
    pub control_calls: Vec<ControlCall>,
    /// When the fault begins and ends; splits the measurements into phases.
    #[serde(default)]
    pub fault: Option<FaultSpan>,
    /// Time between two replacements of a VM, in milliseconds.
    #[serde(default)]
    pub replace_vm_every_ms: Option<u64>,
    /// Multiples of the plan's rate.
    #[serde(default)]
    pub rate_factors: BTreeMap<DeploymentName, f64>,
    /// Requests a second that contracts promise in place of the stand-ins' defaults.
    #[serde(default)]
    pub contract_rates: BTreeMap<DeploymentName, f64>,
}

/// One call to the stand-ins' control port.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlCall {
    /// Time after the first intended send, in milliseconds.
    pub at_ms: u64,
    /// Path, for example `/control/faults`.
    pub path: String,
    /// The order in JSON.
    pub body: serde_json::Value,
}

/// Begin and end of a fault, in milliseconds after the first intended send; both are the same for
/// a fault of one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpan {
    /// Begin.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
}

impl ExperimentScenario {
    /// A scenario in which nothing happens.
    pub fn new(name: &str) -> ExperimentScenario {
        ExperimentScenario { name: name.to_string(), ..ExperimentScenario::default() }
    }

    /// Ends of every phase but the last.
    pub(crate) fn phase_ends(&self) -> Vec<u64> {
        self.fault.map_or_else(Vec::new, |span| vec![span.from_ms, span.to_ms])
    }

    /// Adds findings about the fault's times and the rates; `index` is the scenario's place.
    pub(crate) fn check(&self, index: usize, duration_ms: u64, findings: &mut FindingList) {
        let place = |field: &str| format!("scenarios[{index}].{field}");
        let is_ordered = |span: FaultSpan| span.from_ms <= span.to_ms && span.to_ms < duration_ms;
        if self.fault.is_some_and(|span| !is_ordered(span)) {
            findings.add(place("fault"), "give from_ms, to_ms and duration_ms in their order");
        }
        if self.replace_vm_every_ms == Some(0) {
            findings.add(place("replace_vm_every_ms"), "is 0; give 1 or more");
        }
        for (field, rates) in
            [("rate_factors", &self.rate_factors), ("contract_rates", &self.contract_rates)]
        {
            if rates.values().any(|rate| !(*rate > 0.0 && rate.is_finite())) {
                findings.add(place(field), "give values above 0");
            }
        }
    }
}
