//! Settings as text, with the flag or variable that each came from.

use argh::FromArgs;

/// Serves callers, operators and peers on one VM of an oleanderwind fleet.
///
/// Every option can be given in the environment: --caller-listen is OLEANDERWIND_CALLER_LISTEN.
/// A flag goes before the environment. SIGTERM starts a graceful shutdown.
///
/// Exit codes: 0 after a graceful shutdown, 2 for bad settings, 3 when it could not run.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct RawSettings {
    /// name of this VM, unique in the fleet
    #[argh(option)]
    pub vm: Option<String>,
    /// failure domain that the VM stands in
    #[argh(option)]
    pub failure_domain: Option<String>,
    /// region of the failure domain; default: region-1
    #[argh(option)]
    pub region: Option<String>,
    /// ip:port of the platform's Object API
    #[argh(option)]
    pub platform: Option<String>,
    /// ip:port for callers; default: 127.0.0.1:7400
    #[argh(option)]
    pub caller_listen: Option<String>,
    /// ip:port for operators; default: 127.0.0.1:7401
    #[argh(option)]
    pub admin_listen: Option<String>,
    /// ip:port for the other VMs; default: 127.0.0.1:7402
    #[argh(option)]
    pub peer_listen: Option<String>,
    /// token that operators need for changes; default: none
    #[argh(option)]
    pub operator_token: Option<String>,
    /// milliseconds that callers keep an address answer; default: 2000
    #[argh(option)]
    pub address_keep_ms: Option<String>,
    /// milliseconds until every VM knows that this one is leaving; default: 10000
    #[argh(option)]
    pub leave_notice_ms: Option<String>,
    /// ip:port,... of peers to ask at the start when the platform is silent; default: none
    #[argh(option)]
    pub seed_peers: Option<String>,
    /// milliseconds that a graceful shutdown waits for open requests; default: 15000
    #[argh(option)]
    pub drain_patience_ms: Option<String>,
    /// none, fixed:MS or quantile:PERMILLE; default: quantile:950
    #[argh(option)]
    pub hedge: Option<String>,
    /// expected-wait, least-outstanding or round-robin; default: expected-wait
    #[argh(option)]
    pub routing: Option<String>,
    /// late, hedge or share:PERMILLE of the deadline, for contracts that prefer time; default: hedge
    #[argh(option)]
    pub floor_wait: Option<String>,
    /// error, warn, info, debug or trace; default: info
    #[argh(option)]
    pub log_level: Option<String>,
    /// seed of every random choice; default: from the VM's name
    #[argh(option)]
    pub seed: Option<String>,
    /// check the settings, print those in force and end
    #[argh(switch)]
    pub check: bool,
}

impl RawSettings {
    /// Fills every option that no flag gave from `variable`, for example [`std::env::var`].
    pub fn with_environment(mut self, variable: impl Fn(&str) -> Option<String>) -> RawSettings {
        let options = [
            ("VM", &mut self.vm),
            ("FAILURE_DOMAIN", &mut self.failure_domain),
            ("REGION", &mut self.region),
            ("PLATFORM", &mut self.platform),
            ("CALLER_LISTEN", &mut self.caller_listen),
            ("ADMIN_LISTEN", &mut self.admin_listen),
            ("PEER_LISTEN", &mut self.peer_listen),
            ("OPERATOR_TOKEN", &mut self.operator_token),
            ("ADDRESS_KEEP_MS", &mut self.address_keep_ms),
            ("LEAVE_NOTICE_MS", &mut self.leave_notice_ms),
            ("SEED_PEERS", &mut self.seed_peers),
            ("DRAIN_PATIENCE_MS", &mut self.drain_patience_ms),
            ("HEDGE", &mut self.hedge),
            ("ROUTING", &mut self.routing),
            ("FLOOR_WAIT", &mut self.floor_wait),
            ("LOG_LEVEL", &mut self.log_level),
            ("SEED", &mut self.seed),
        ];
        for (name, option) in options {
            if option.is_none() {
                *option = variable(&format!("OLEANDERWIND_{name}"));
            }
        }
        self
    }
}
