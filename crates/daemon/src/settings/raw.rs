//! Settings as text, before validation.

use std::collections::HashMap;

use argh::FromArgs;
use oleanderwind_policy::FindingList;

/// Start of a placeholder in a template of the settings file.
const PLACEHOLDER_START: &str = "{{";

/// Serves callers, operators and peers on one VM of an oleanderwind fleet.
///
/// Every option can be given in the environment: --caller-listen is OLEANDERWIND_CALLER_LISTEN.
/// A flag overrides the environment. Times are milliseconds, or seconds with the suffix s. SIGTERM
/// starts a graceful shutdown.
///
/// Exit codes: 0 after a graceful shutdown, 2 for invalid settings, 3 for other failures.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct RawSettings {
    /// name of this VM, unique in the fleet
    #[argh(option)]
    pub vm: Option<String>,
    /// failure domain of the VM
    #[argh(option)]
    pub failure_domain: Option<String>,
    /// region of the failure domain; default: region-1
    #[argh(option)]
    pub region: Option<String>,
    /// region of each failure domain, DOMAIN:REGION separated by commas; default: none
    #[argh(option)]
    pub domain_regions: Option<String>,
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
    /// milliseconds that callers cache the list of VM addresses; default: 2000
    #[argh(option)]
    pub address_keep_ms: Option<String>,
    /// milliseconds for the announcement of a shutdown to reach all VMs; default: 10000
    #[argh(option)]
    pub leave_notice_ms: Option<String>,
    /// ip:port,... of peers to contact at start if the platform does not answer; default: none
    #[argh(option)]
    pub seed_peers: Option<String>,
    /// milliseconds that a graceful shutdown waits for open requests; default: 15000
    #[argh(option)]
    pub drain_patience_ms: Option<String>,
    /// when to send a hedge: none, fixed:MS or quantile:PERMILLE; default: quantile:950
    #[argh(option)]
    pub hedge: Option<String>,
    /// how to choose a target: expected-wait, least-outstanding or round-robin; default:
    /// expected-wait
    #[argh(option)]
    pub routing: Option<String>,
    /// how old reports of a target's load are taken: decayed or held; default: decayed
    #[argh(option)]
    pub load_news: Option<String>,
    /// how long a query that meets its coverage floor waits for missing shards, for contracts that
    /// prefer latency: late, hedge or share:PERMILLE of the deadline; default: hedge
    #[argh(option)]
    pub floor_wait: Option<String>,
    /// ip:port of a listener that serves only the readiness check; default: none
    #[argh(option)]
    pub readiness_listen: Option<String>,
    /// ip:port of a listener that serves only the list of VM addresses; default: none
    #[argh(option)]
    pub address_listen: Option<String>,
    /// limit on extra calls to a service's targets, as a fraction of its requests, 0 to 1; default:
    /// 0.1
    #[argh(option)]
    pub extra_ratio: Option<String>,
    /// extra calls beyond that ratio that the fleet may make to a service at once; default: 40
    #[argh(option)]
    pub extra_slack: Option<String>,
    /// milliseconds of the window in which the extra calls beyond the ratio are counted; default:
    /// 10000
    #[argh(option)]
    pub extra_window_ms: Option<String>,
    /// milliseconds of the window in which the requests of an organisation with a quota are counted;
    /// default: 5000
    #[argh(option)]
    pub quota_window_ms: Option<String>,
    /// fraction by which the requests in a window may exceed the quota, 0 to 1; default: 0.1
    #[argh(option)]
    pub quota_overage: Option<String>,
    /// requests in a window that are allowed beyond that; default: 20
    #[argh(option)]
    pub quota_slack: Option<String>,
    /// milliseconds added to the expected wait of targets in other failure domains; default: 0
    #[argh(option)]
    pub crossing_cost_ms: Option<String>,
    /// processor capacity of this machine, in cores of normal speed; default: unknown
    #[argh(option)]
    pub processor_cores: Option<String>,
    /// fraction of the processor that this process may use, 0 to 1; default: 1
    #[argh(option)]
    pub processor_share: Option<String>,
    /// memory of this machine, in MB; default: 160
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// milliseconds reserved before a deadline for merging and replying; default: 5
    #[argh(option)]
    pub answer_margin_ms: Option<String>,
    /// milliseconds after an outage of the platform for which targets whose entries have vanished
    /// are kept as a last resort; default: 0
    #[argh(option)]
    pub lapse_hold_ms: Option<String>,
    /// milliseconds from SIGTERM to exit, in place of the notice and drain times; default: none
    #[argh(option)]
    pub stop_grace_ms: Option<String>,
    /// maximum milliseconds between two calls to a failing platform; default: 10000
    #[argh(option)]
    pub platform_retry_ms: Option<String>,
    /// milliseconds for which the platform keeps its history of changes; default: unknown
    #[argh(option)]
    pub platform_history_ms: Option<String>,
    /// milliseconds in which a change of configuration takes effect; default: 13000
    #[argh(option)]
    pub change_limit_ms: Option<String>,
    /// milliseconds after which a target that has told the platform that it leaves gets no calls;
    /// default: 13000
    #[argh(option)]
    pub leave_limit_ms: Option<String>,
    /// whether the whole fleet starts for the first time, so that no VM is listed yet: true or
    /// false; default: false
    #[argh(option)]
    pub first_start: Option<String>,
    /// file with lines of name=value, reloaded on SIGHUP and when it changes; default: none
    #[argh(option)]
    pub settings_file: Option<String>,
    /// maximum level of log lines: error, warn, info, debug or trace; default: info
    #[argh(option)]
    pub log_level: Option<String>,
    /// seed of all random number generators; default: derived from the VM's name
    #[argh(option)]
    pub seed: Option<String>,
    /// check the settings, print the values in force and exit
    #[argh(switch)]
    pub check: bool,
}

impl RawSettings {
    /// Sets the options that neither a flag nor the environment has set from the settings file.
    ///
    /// A line with a placeholder that the platform did not fill in counts as missing: it comes from a
    /// template that names more than the platform knows.
    ///
    /// # Errors
    ///
    /// Returns a finding for each line that is not `name=value` with a known name, and one if the
    /// file can't be read.
    pub fn with_file(&self) -> Result<RawSettings, FindingList> {
        let Some(path) = &self.settings_file else { return Ok(self.clone()) };
        let mut findings = FindingList::default();
        let text = std::fs::read_to_string(path).unwrap_or_else(|error| {
            findings.add("--settings-file", format!("{path} can't be read: {error}"));
            String::new()
        });
        let mut values = HashMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            let is_unfilled = line.contains(PLACEHOLDER_START);
            if line.is_empty() || line.starts_with('#') || is_unfilled {
                continue;
            }
            match line.split_once('=') {
                Some((name, value)) => {
                    let variable = name.trim().replace('-', "_").to_uppercase();
                    values.insert(variable, (index, value.trim().to_owned()));
                }
                None => findings.add(format!("{path}:{}", index + 1), "expected name=value"),
            }
        }
        let mut raw = self.clone();
        for (name, option) in raw.options() {
            let value = values.remove(name).map(|(_, value)| value);
            if option.is_none() {
                *option = value.filter(|value| !value.is_empty());
            }
        }
        for (name, (index, _)) in values {
            findings.add(format!("{path}:{}", index + 1), format!("{name} is not a setting"));
        }
        findings.into_result(raw)
    }

    /// Sets the options that no flag has set from `variable`, for example [`std::env::var`].
    pub fn with_environment(mut self, variable: impl Fn(&str) -> Option<String>) -> RawSettings {
        for (name, option) in self.options() {
            if option.is_none() {
                *option = variable(&format!("OLEANDERWIND_{name}"));
            }
        }
        self
    }

    /// Returns all options, each with its name in the environment without the prefix.
    fn options(&mut self) -> Vec<(&'static str, &mut Option<String>)> {
        vec![
            ("VM", &mut self.vm),
            ("FAILURE_DOMAIN", &mut self.failure_domain),
            ("REGION", &mut self.region),
            ("DOMAIN_REGIONS", &mut self.domain_regions),
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
            ("LOAD_NEWS", &mut self.load_news),
            ("FLOOR_WAIT", &mut self.floor_wait),
            ("READINESS_LISTEN", &mut self.readiness_listen),
            ("ADDRESS_LISTEN", &mut self.address_listen),
            ("EXTRA_RATIO", &mut self.extra_ratio),
            ("EXTRA_SLACK", &mut self.extra_slack),
            ("EXTRA_WINDOW_MS", &mut self.extra_window_ms),
            ("QUOTA_WINDOW_MS", &mut self.quota_window_ms),
            ("QUOTA_OVERAGE", &mut self.quota_overage),
            ("QUOTA_SLACK", &mut self.quota_slack),
            ("CROSSING_COST_MS", &mut self.crossing_cost_ms),
            ("PROCESSOR_CORES", &mut self.processor_cores),
            ("PROCESSOR_SHARE", &mut self.processor_share),
            ("MEMORY_MB", &mut self.memory_mb),
            ("ANSWER_MARGIN_MS", &mut self.answer_margin_ms),
            ("LAPSE_HOLD_MS", &mut self.lapse_hold_ms),
            ("STOP_GRACE_MS", &mut self.stop_grace_ms),
            ("PLATFORM_RETRY_MS", &mut self.platform_retry_ms),
            ("PLATFORM_HISTORY_MS", &mut self.platform_history_ms),
            ("CHANGE_LIMIT_MS", &mut self.change_limit_ms),
            ("LEAVE_LIMIT_MS", &mut self.leave_limit_ms),
            ("FIRST_START", &mut self.first_start),
            ("SETTINGS_FILE", &mut self.settings_file),
            ("LOG_LEVEL", &mut self.log_level),
            ("SEED", &mut self.seed),
        ]
    }
}
