//! Settings of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ArrivalSettings;
use crate::DeploymentName;

/// Settings of a run. The report contains them so that a run can be reproduced.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunSettings {
    /// Deployments under load.
    pub deployments: Vec<DeploymentName>,
    /// `ip:port` of the VMs that callers query for tier addresses.
    pub seed_addresses: Vec<String>,
    /// Requests per second of each deployment without a rate factor.
    pub rate: f64,
    /// Multipliers of `rate`, for deployments whose rate differs from it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub rate_factors: BTreeMap<DeploymentName, f64>,
    /// Time after which no more requests are started, in milliseconds.
    pub duration_ms: u64,
    /// Ends of the separately measured phases, in milliseconds after the start. The last phase has
    /// no entry: it ends with the run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub phase_ends_ms: Vec<u64>,
    /// Maximum number of requests.
    pub count: u64,
    /// Seed of the arrival times, classes and query texts.
    pub seed: u64,
    /// Fraction of keyed requests that the caller repeats if they get no answer, in thousandths.
    pub repeat_permille: u32,
    /// Maximum number of in-flight requests. A request that has to wait for one to finish counts as
    /// overflowed.
    pub concurrency: usize,
    /// Number of callers per deployment. Each caller caches its own address.
    pub callers: usize,
    /// Reply timeout, in milliseconds.
    pub timeout_ms: u64,
    /// Interval between progress lines, in milliseconds.
    pub progress_ms: u64,
    /// `ip:port` of the VMs whose `/metrics` are read to measure the extra load.
    pub metrics_addresses: Vec<String>,
    /// Ids of the processes whose usage is measured.
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
    /// Returns the settings of the arrival plan.
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

    /// Returns the reply timeout.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the interval between progress lines.
    pub(crate) fn progress_interval(&self) -> Duration {
        Duration::from_millis(self.progress_ms)
    }
}
