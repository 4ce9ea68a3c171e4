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
    /// Providers. Each runs every searcher; the default contracts are placed with the first.
    pub providers: Vec<ProviderId>,
    /// Port of the Object API. The control port and the searchers use the ports that follow it.
    /// 0 lets the system choose every port.
    pub base_port: u16,
    /// Seed of the service time distribution.
    pub seed: u64,
    /// Distribution of the service times.
    pub service_time: ServiceTimeSettings,
    /// Maximum number of calls that wait for a slot at one searcher.
    pub queue_limit: u32,
    /// How long searchers retain a snapshot after a newer one is published.
    pub snapshot_retention: Duration,
    /// How long a silenced connection counts against the connection limit before it is closed.
    pub silent_timeout: Duration,
    /// How far reads and watches of kind `vms` lag behind the store.
    pub vm_list_lag: Duration,
    /// Maximum number of changes that the platform retains for watches.
    pub history_limit: usize,
    /// Maximum number of reads per second; `None` for no limit.
    pub reads_per_second: Option<u64>,
    /// Maximum number of writes per second; `None` for no limit.
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
