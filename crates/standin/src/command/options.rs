//! Flags of `oleanderwind-standin`, not yet validated.

use argh::FromArgs;

/// Serves stand-ins of the platform and of the searchers on loopback ports, for tests and demos.
///
/// Prints one line of JSON with the addresses of the platform and of the control port once all
/// ports are served, and runs until SIGTERM or Ctrl-C.
#[derive(Clone, Debug, Default, PartialEq, FromArgs)]
#[argh(
    note = "Each flag can be given in the environment, as OLEANDERWIND_STANDIN_ followed by the \
flag's name in capitals with _ for -; values of repeatable flags are separated by commas. A flag \
overrides the environment.",
    note = "To inject a fault: POST /control/faults to the control port, for example \
{{\"scope\":{{\"service\":\"course-finder\"}},\"fault\":\"delay\",\"extra_ms\":50}}. See also POST \
/control/snapshots and /control/platform, GET /control/searchers, /control/calls, \
/control/executions and /control/platform.",
    example = "{command_name} --deployment tsagaan --base-port 7100",
    error_code(0, "Stopped by a signal."),
    error_code(1, "A setting is invalid or a port is in use; all findings are printed.")
)]
pub struct StandinCommand {
    /// deployment to serve, tsagaan or haneul; repeatable (default: tsagaan)
    #[argh(option)]
    pub deployment: Vec<String>,
    /// provider that runs a full set of searchers; repeatable, the default contracts are placed
    /// with the first (default: alpha)
    #[argh(option)]
    pub provider: Vec<String>,
    /// port of the platform; the control port and the searchers use the ports that follow it, 0
    /// lets the system choose every port (default: 0)
    #[argh(option)]
    pub base_port: Option<String>,
    /// seed of the service time distribution (default: 1)
    #[argh(option)]
    pub seed: Option<String>,
    /// median service time in microseconds (default: 3000)
    #[argh(option)]
    pub median_us: Option<String>,
    /// standard deviation of the logarithm of the service time (default: 0.5)
    #[argh(option)]
    pub sigma: Option<String>,
    /// fraction of stragglers in thousandths (default: 10)
    #[argh(option)]
    pub straggler_permille: Option<String>,
    /// factor by which the service time of a straggler is multiplied (default: 10)
    #[argh(option)]
    pub straggler_factor: Option<String>,
    /// maximum number of calls queued at one searcher (default: 8)
    #[argh(option)]
    pub queue_bound: Option<String>,
    /// how long a searcher retains an old snapshot, in milliseconds (default: 10000)
    #[argh(option)]
    pub snapshot_keep_ms: Option<String>,
    /// how long a silenced connection counts against the limit, in milliseconds (default: 30000)
    #[argh(option)]
    pub silent_hold_ms: Option<String>,
    /// lag of the VM list in milliseconds (default: 2000)
    #[argh(option)]
    pub vm_list_lag_ms: Option<String>,
    /// maximum number of changes that the platform retains for watches (default: 10000)
    #[argh(option)]
    pub history_limit: Option<String>,
    /// maximum reads per second at the platform (default: no limit)
    #[argh(option)]
    pub reads_per_second: Option<String>,
    /// maximum writes per second at the platform (default: no limit)
    #[argh(option)]
    pub writes_per_second: Option<String>,
}
