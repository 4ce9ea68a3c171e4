//! The plan of an experiment and the order of its trials.

use std::collections::BTreeMap;

use oleanderwind_policy::FindingList;
use serde::Deserialize;
use serde::Serialize;

use crate::DeploymentName;
use crate::experiment::ExperimentScenario;

/// Maximum number of trials in one experiment.
const MAX_TRIALS: usize = 1_000;

/// Plan of an experiment: each round runs every variant under every scenario once.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Variants to compare.
    pub variants: Vec<ExperimentVariant>,
    /// Scenarios that every variant runs under.
    pub scenarios: Vec<ExperimentScenario>,
    /// Number of trials of each pair of variant and scenario.
    pub rounds: usize,
    /// Number of VMs in each trial.
    pub vms: usize,
    /// Deployments under load.
    pub deployments: Vec<DeploymentName>,
    /// Request rate of each deployment, in requests per second.
    pub rate: f64,
    /// Duration of each trial's measured load, in milliseconds.
    pub duration_ms: u64,
    /// Duration of the unmeasured load before each trial, in milliseconds. It lets the VMs learn
    /// about their targets first.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// Seed of the first round. Each further round adds 1. All variants of a round use the same
    /// seed.
    pub seed: u64,
}

/// A variant of the daemon's environment.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentVariant {
    /// Name shown in tables.
    pub name: String,
    /// Environment variables of every daemon, for example `OLEANDERWIND_ADDRESS_KEEP_MS`.
    #[serde(default)]
    pub environment: BTreeMap<String, String>,
}

/// A trial to run: a variant under a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedTrial {
    /// Round, starting at 0.
    pub round: usize,
    /// Index of the scenario in the plan.
    pub scenario: usize,
    /// Index of the variant in the plan.
    pub variant: usize,
    /// Seed of the load and of the stand-ins.
    pub seed: u64,
}

impl ExperimentPlan {
    /// Returns every trial in order. Odd rounds run the variants in reverse, so that a slow drift
    /// of the machine's speed does not favour one variant.
    pub fn trials(&self) -> Vec<PlannedTrial> {
        let mut trials = Vec::new();
        for round in 0..self.rounds {
            for scenario in 0..self.scenarios.len() {
                let mut variants: Vec<usize> = (0..self.variants.len()).collect();
                if round % 2 == 1 {
                    variants.reverse();
                }
                let seed = self.seed.wrapping_add(round as u64);
                trials.extend(variants.into_iter().map(|variant| PlannedTrial {
                    round,
                    scenario,
                    variant,
                    seed,
                }));
            }
        }
        trials
    }

    /// Checks the plan.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its place in the plan's JSON.
    pub fn check(&self) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        let sizes = [
            ("variants", self.variants.len()),
            ("scenarios", self.scenarios.len()),
            ("deployments", self.deployments.len()),
            ("rounds", self.rounds),
            ("vms", self.vms),
        ];
        for (place, size) in sizes {
            if size == 0 {
                findings.add(place, "is 0 or empty; give at least one");
            }
        }
        let pairs = self.variants.len().saturating_mul(self.scenarios.len());
        let trials = pairs.saturating_mul(self.rounds);
        if trials > MAX_TRIALS {
            findings.add("rounds", format!("makes {trials} trials; give at most {MAX_TRIALS}"));
        }
        if !(self.rate > 0.0 && self.rate.is_finite()) {
            findings.add("rate", format!("is {}; give more than 0", self.rate));
        }
        if self.duration_ms == 0 {
            findings.add("duration_ms", "is 0; give 1 or more");
        }
        check_names("variants", self.variants.iter().map(|it| it.name.as_str()), &mut findings);
        check_names("scenarios", self.scenarios.iter().map(|it| it.name.as_str()), &mut findings);
        for (index, scenario) in self.scenarios.iter().enumerate() {
            let place = format!("scenarios[{index}].control_calls");
            if !scenario.control_calls.is_sorted_by_key(|call| call.at_ms) {
                findings.add(place.clone(), "is not in the order of at_ms");
            }
            if scenario.control_calls.iter().any(|call| !call.path.starts_with("/control/")) {
                findings.add(place, "has a path that does not start with /control/");
            }
            scenario.check(index, self.duration_ms, &mut findings);
        }
        findings.into_result(())
    }
}

/// Adds a finding for each empty or duplicate name.
fn check_names<'a>(place: &str, names: impl Iterator<Item = &'a str>, findings: &mut FindingList) {
    let mut seen = Vec::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() || seen.contains(&name) {
            findings.add(format!("{place}[{index}].name"), "is empty or repeated; give another");
        }
        seen.push(name);
    }
}
