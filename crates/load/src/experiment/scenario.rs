//! Faults, VM replacements and rate changes of a trial.

use std::collections::BTreeMap;

use oleanderwind_policy::FindingList;
use serde::Deserialize;
use serde::Serialize;

use crate::DeploymentName;

/// Faults, VM replacements and rate changes that a trial runs under.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentScenario {
    /// Name shown in tables.
    pub name: String,
    /// Calls to the stand-ins' control port, sorted by time.
    #[serde(default)]
    pub control_calls: Vec<ControlCall>,
    /// Start and end of the fault. They split the measurements into the phases before, during and
    /// after it.
    #[serde(default)]
    pub fault: Option<FaultSpan>,
    /// Interval between VM replacements, in milliseconds.
    #[serde(default)]
    pub replace_vm_every_ms: Option<u64>,
    /// Factors on the plan's request rate, by deployment.
    #[serde(default)]
    pub rate_factors: BTreeMap<DeploymentName, f64>,
    /// Rate limits that replace those of the stand-ins' contracts, in requests per second.
    #[serde(default)]
    pub contract_rates: BTreeMap<DeploymentName, f64>,
}

/// One call to the stand-ins' control port.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlCall {
    /// Offset from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// HTTP path, for example `/control/faults`.
    pub path: String,
    /// JSON body.
    pub body: serde_json::Value,
}

/// Start and end of a fault, as offsets from the start of the load. Both are equal for an
/// instantaneous fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpan {
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
}

impl ExperimentScenario {
    /// Creates a scenario without faults, VM replacements or rate changes.
    pub fn new(name: &str) -> ExperimentScenario {
        ExperimentScenario { name: name.to_string(), ..ExperimentScenario::default() }
    }

    /// Returns the end of every phase except the last, in milliseconds.
    pub(crate) fn phase_ends_ms(&self) -> Vec<u64> {
        self.fault.map_or_else(Vec::new, |span| vec![span.from_ms, span.to_ms])
    }

    /// Adds findings about the fault span, the replacement interval and the rates. `index` is the
    /// scenario's position in the plan.
    pub(crate) fn check(&self, index: usize, duration_ms: u64, findings: &mut FindingList) {
        let place = |field: &str| format!("scenarios[{index}].{field}");
        let is_valid = |span: FaultSpan| span.from_ms <= span.to_ms && span.to_ms < duration_ms;
        if self.fault.is_some_and(|span| !is_valid(span)) {
            findings.add(place("fault"), "give from_ms <= to_ms < duration_ms");
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
