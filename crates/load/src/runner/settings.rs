//! Settings of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ArrivalSettings;
use crate::DeploymentName;

/// Everything that shapes a run; part of its report.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunSettings {
    /// Deployments under load.
    pub deployments: Vec<DeploymentName>,
    /// `ip:port` of VMs that are asked for addresses.
    pub seed_addresses: Vec<String>,
    /// Requests a second for each deployment.
    pub rate: f64,
    /// Multiples of the rate, for deployments whose rate differs.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub rate_factors: BTreeMap<DeploymentName, f64>,
    /// Arrivals end after this time, in milliseconds.
    pub duration_ms: u64,
    /// Ends of the phases that are measured apart, but of the last, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub phase_ends_ms: Vec<u64>,
    /// Arrivals end after this many requests.
    pub count: u64,
    /// Seed of arrivals, classes and texts.
    pub seed: u64,
    /// Thousandths of keyed requests that are repeated when they did not run or may have.
    pub repeat_permille: u32,
    /// Most requests under way; the others wait and are counted as overflowed.
    pub concurrency: usize,
    /// Callers of each deployment, each with its own kept address.
    pub callers: usize,
    /// Longest wait for a reply, in milliseconds.
    pub timeout_ms: u64,
    /// Time between lines of progress, in milliseconds.
    pub progress_ms: u64,
    /// `ip:port` of VMs whose `/metrics` tell the extra load.
    pub metrics_addresses: Vec<String>,
    /// Processes whose usage is measured.
    pub pids: Vec<u32>,
}

impl Default for RunSettings {
    fn default() -> RunSettings {
        RunSettings {
            deployments: Vec::new(),
            seed_addresses: Vec::new(),
            rate: 50.0,
            rate_factors: BTreeMap::new(),
            duration_ms: 10_000,
            phase_ends_ms: Vec::new(),
            count: 1_000_000,
            seed: 1,
            repeat_permille: 500,
            concurrency: 1_000,
            callers: 8,
            timeout_ms: 10_000,
            progress_ms: 3_000,
            metrics_addresses: Vec::new(),
            pids: Vec::new(),
        }
    }
}

impl RunSettings {
    /// The part that shapes the arrivals.
    pub fn arrivals(&self) -> ArrivalSettings {
        ArrivalSettings {
            deployments: self.deployments.clone(),
            rate: self.rate,
            rate_factors: self.rate_factors.clone(),
            duration: Duration::from_millis(self.duration_ms),
            count: self.count,
            seed: self.seed,
            repeat_permille: self.repeat_permille,
        }
    }

    /// Longest wait for a reply.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time between lines of progress.
    pub(crate) fn progress(&self) -> Duration {
        Duration::from_millis(self.progress_ms)
    }
}
