//! Settings of the stand-ins.

use std::time::Duration;

use oleanderwind_policy::ProviderId;

use crate::deployment::DeploymentName;
use crate::searcher::ServiceTimeSettings;

/// Settings of the stand-ins.
#[derive(Clone, Debug, PartialEq)]
pub struct StandinSettings {
    /// Deployments to serve.
    pub deployments: Vec<DeploymentName>,
    /// Providers; each runs every searcher, the first one holds the default contracts.
    pub providers: Vec<ProviderId>,
    /// Port of the platform; control and searchers take the next ones. 0 takes any ports.
    pub base_port: u16,
    /// Seed of the service times.
    pub seed: u64,
    /// Distribution of the service times.
    pub service_time: ServiceTimeSettings,
    /// Calls that may wait at one searcher.
    pub queue_limit: u32,
    /// How long an old snapshot is kept after a new one.
    pub snapshot_retention: Duration,
    /// How long a silent connection still counts, until it is noticed.
    pub silent_timeout: Duration,
    /// Lag of the VM list.
    pub vm_list_lag: Duration,
    /// Changes that the platform remembers for watches.
    pub history_limit: usize,
    /// Reads a second that the platform takes.
    pub reads_per_second: Option<u64>,
    /// Writes a second that the platform takes.
    pub writes_per_second: Option<u64>,
}

impl Default for StandinSettings {
    fn default() -> StandinSettings {
        StandinSettings {
            deployments: vec![DeploymentName::Tsagaan],
            providers: vec!["alpha".into()],
            base_port: 0,
            seed: 1,
            service_time: ServiceTimeSettings::default(),
            queue_limit: 8,
            snapshot_retention: Duration::from_secs(10),
            silent_timeout: Duration::from_secs(30),
            vm_list_lag: Duration::from_secs(2),
            history_limit: 10_000,
            reads_per_second: None,
            writes_per_second: None,
        }
    }
}
