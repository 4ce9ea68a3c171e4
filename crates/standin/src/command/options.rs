//! Flags of `oleanderwind-standin`, before any check.

use argh::FromArgs;

/// Serves stand-ins of the platform and of the searchers on loopback ports, for tests and demos.
///
/// Prints one line of JSON with the addresses of the platform and of the control port once it
/// serves, and runs until SIGTERM or Ctrl-C.
#[derive(Clone, Debug, Default, PartialEq, FromArgs)]
#[argh(
    note = "Each flag may come from the environment instead, as OLEANDERWIND_STANDIN_ and the \
flag's name in capitals with _ for -; repeatable flags are separated by commas there. A flag \
outranks the environment.",
    note = "Faults: POST /control/faults at the control port, for example \
{{\"scope\":{{\"service\":\"course-finder\"}},\"fault\":\"delay\",\"extra_ms\":50}}. Also POST \
/control/snapshots and /control/platform, GET /control/searchers, /control/calls, \
/control/executions and /control/platform.",
    example = "{command_name} --deployment tsagaan --base-port 7100",
    error_code(0, "Stopped by a signal."),
    error_code(1, "A setting is wrong or a port is taken; every finding is printed.")
)]
pub struct StandinCommand {
    /// deployment to serve, tsagaan or haneul; repeatable (default: tsagaan)
    #[argh(option)]
    pub deployment: Vec<String>,
    /// provider that runs a full set of searchers; repeatable, the first one holds the default
    /// contracts (default: alpha)
    #[argh(option)]
    pub provider: Vec<String>,
    /// port of the platform; the control port and the searchers take the next ones, 0 takes any
    /// (default: 0)
    #[argh(option)]
    pub base_port: Option<String>,
    /// seed of the service times (default: 1)
    #[argh(option)]
    pub seed: Option<String>,
    /// median service time in microseconds (default: 3000)
    #[argh(option)]
    pub median_us: Option<String>,
    /// standard deviation of the service time's logarithm (default: 0.5)
    #[argh(option)]
    pub sigma: Option<String>,
    /// share of stragglers in thousandths (default: 10)
    #[argh(option)]
    pub straggler_permille: Option<String>,
    /// multiple of its service time that a straggler takes (default: 10)
    #[argh(option)]
    pub straggler_factor: Option<String>,
    /// calls that may wait at one searcher (default: 8)
    #[argh(option)]
    pub queue_bound: Option<String>,
    /// how long a searcher keeps an old snapshot, in milliseconds (default: 10000)
    #[argh(option)]
    pub snapshot_keep_ms: Option<String>,
    /// how long a silent connection still counts, in milliseconds (default: 30000)
    #[argh(option)]
    pub silent_hold_ms: Option<String>,
    /// lag of the VM list in milliseconds (default: 2000)
    #[argh(option)]
    pub vm_list_lag_ms: Option<String>,
    /// changes that the platform keeps for watches (default: 10000)
    #[argh(option)]
    pub history_limit: Option<String>,
    /// reads a second that the platform takes (default: no limit)
    #[argh(option)]
    pub reads_per_second: Option<String>,
    /// writes a second that the platform takes (default: no limit)
    #[argh(option)]
    pub writes_per_second: Option<String>,
}
