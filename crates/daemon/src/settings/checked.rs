//! Settings after validation.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::FloorWait;
use oleanderwind_policy::HedgePolicy;
use oleanderwind_policy::LoadNews;
use oleanderwind_policy::QuotaSettings;
use oleanderwind_policy::RegionId;
use oleanderwind_policy::RoutingPolicy;
use oleanderwind_policy::ShutdownSchedule;
use oleanderwind_policy::VmId;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::RawSettings;

/// Maximum number of processor cores.
const MAX_CORES: f64 = 4_096.0;
/// Maximum of all settings that are times, in milliseconds.
const MAX_TIME_MS: f64 = 600_000.0;

/// Memory of a machine by default, in MB.
const DEFAULT_MEMORY_MB: f64 = 160.0;
/// Memory that a process needs at least, in MB.
const MIN_MEMORY_MB: u32 = 64;
/// Maximum memory of a machine, in MB.
const MAX_MEMORY_MB: f64 = 16_777_216.0;
/// Maximum number of extra calls that may be saved up.
const MAX_EXTRA_SLACK: f64 = 1_000_000.0;
/// Maximum of the requests that are allowed beyond a quota.
const MAX_QUOTA_SLACK: f64 = 1_000_000.0;
/// Window of quotas by default, in milliseconds.
const DEFAULT_QUOTA_WINDOW_MS: u32 = 5_000;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;
/// Suffix of a time that is given in seconds.
const SECONDS_SUFFIX: char = 's';

/// Time in which any change of the platform's objects takes effect by default, in milliseconds.
const DEFAULT_NEWS_LIMIT_MS: u32 = 13_000;
/// The number one, in thousandths.
const ONE_PERMILLE: f64 = 1_000.0;
/// The levels of log lines, for findings.
const LOG_LEVELS: &str = "error, warn, info, debug or trace";

/// The validated settings of a daemon.
#[derive(Clone)]
pub struct DaemonSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: String,
    /// Region of each failure domain.
    pub domain_regions: HashMap<FailureDomainId, RegionId>,
    /// Address of the platform's Object API.
    pub platform: SocketAddr,
    /// Listen address for callers; port 0 selects a free port.
    pub caller_listen: SocketAddr,
    /// Listen address for operators; port 0 selects a free port.
    pub admin_listen: SocketAddr,
    /// Listen address for peers; port 0 selects a free port.
    pub peer_listen: SocketAddr,
    /// Bearer token required for changes by operators. With `None`, changes need no token.
    pub operator_token: Option<String>,
    /// Time for which callers cache the list of VM addresses.
    pub address_keep: Duration,
    /// Time for the announcement that this VM is leaving to reach all VMs.
    pub leave_notice: Duration,
    /// Peers to contact at start. The platform's list names the others.
    pub seed_peers: Vec<SocketAddr>,
    /// Maximum time that a graceful shutdown waits for open requests.
    pub drain_patience: Duration,
    /// When a hedge is sent.
    pub hedge: HedgePolicy,
    /// How a target is chosen among a shard's replicas.
    pub routing: RoutingPolicy,
    /// How a report of a target's load is taken as it gets older.
    pub load_news: LoadNews,
    /// How long a query that meets its coverage floor waits for missing shards.
    pub floor_wait: FloorWait,
    /// Address of a listener that serves only the readiness check.
    pub readiness_listen: Option<SocketAddr>,
    /// Address of a listener that serves only the list of VM addresses.
    pub address_listen: Option<SocketAddr>,
    /// Limit on extra calls to a service's targets, in thousandths of its requests.
    pub extra_permille: u32,
    /// Extra calls beyond that ratio that the whole fleet may make to a service at once.
    pub extra_slack: u32,
    /// Window in which the extra calls beyond the ratio are counted.
    pub extra_window: Duration,
    /// Bounds that the quotas of organisations are kept within.
    pub quota: QuotaSettings,
    /// Penalty added to the expected wait of targets in other failure domains.
    pub crossing_cost: Duration,
    /// Processor capacity that this process may use, in thousandths of a core; 0 if unknown.
    pub processor_millicores: u32,
    /// Memory of this machine, in MB. The parts for callers follow from it.
    pub memory_mb: u32,
    /// Time reserved before an objective or a deadline for merging and replying.
    pub answer_margin: Duration,
    /// Grace period in which a target that is no longer listed is kept as a last resort.
    pub lapse_hold: Option<Duration>,
    /// Time from SIGTERM to exit, in place of the notice and drain times.
    pub stop_grace: Option<Duration>,
    /// Maximum delay between two calls to a failing platform.
    pub platform_retry: Duration,
    /// How long the platform keeps its history of changes.
    pub platform_history: Option<Duration>,
    /// Time in which a change of configuration takes effect.
    pub change_limit: Duration,
    /// Time after which a target that has told the platform that it leaves gets no calls.
    pub leave_limit: Duration,
    /// Whether the whole fleet starts for the first time, so that no VM is listed yet.
    pub is_first_start: bool,
    /// Maximum level of the log lines that are written.
    pub log_level: LevelFilter,
    /// Seed of all random number generators.
    pub seed: u64,
}

impl TryFrom<&RawSettings> for DaemonSettings {
    type Error = FindingList;

    fn try_from(raw: &RawSettings) -> Result<DaemonSettings, FindingList> {
        let mut findings = FindingList::default();
        let vm = required(&raw.vm, "--vm", &mut findings);
        let seed = xxh3_64(vm.as_bytes());
        let settings = DaemonSettings {
            failure_domain: required(&raw.failure_domain, "--failure-domain", &mut findings).into(),
            region: raw.region.clone().unwrap_or_else(|| "region-1".to_owned()),
            domain_regions: domain_regions(&raw.domain_regions, &mut findings),
            platform: address(&raw.platform, "--platform", "", &mut findings),
            caller_listen: address(
                &raw.caller_listen,
                "--caller-listen",
                "127.0.0.1:7400",
                &mut findings,
            ),
            admin_listen: address(
                &raw.admin_listen,
                "--admin-listen",
                "127.0.0.1:7401",
                &mut findings,
            ),
            peer_listen: address(
                &raw.peer_listen,
                "--peer-listen",
                "127.0.0.1:7402",
                &mut findings,
            ),
            operator_token: raw.operator_token.clone().filter(|token| !token.is_empty()),
            address_keep: duration(&raw.address_keep_ms, "--address-keep-ms", 2_000, &mut findings),
            leave_notice: duration(
                &raw.leave_notice_ms,
                "--leave-notice-ms",
                10_000,
                &mut findings,
            ),
            seed_peers: addresses(&raw.seed_peers, "--seed-peers", &mut findings),
            drain_patience: duration(
                &raw.drain_patience_ms,
                "--drain-patience-ms",
                15_000,
                &mut findings,
            ),
            hedge: hedge(&raw.hedge, &mut findings),
            routing: routing(&raw.routing, &mut findings),
            load_news: load_news(&raw.load_news, &mut findings),
            floor_wait: floor_wait(&raw.floor_wait, &mut findings),
            readiness_listen: optional_address(
                &raw.readiness_listen,
                "--readiness-listen",
                &mut findings,
            ),
            address_listen: optional_address(
                &raw.address_listen,
                "--address-listen",
                &mut findings,
            ),
            extra_permille: permille(&raw.extra_ratio, "--extra-ratio", 0.1, &mut findings),
            extra_slack: whole_calls(&raw.extra_slack, "--extra-slack", 40.0, &mut findings),
            extra_window: duration(
                &raw.extra_window_ms,
                "--extra-window-ms",
                10_000,
                &mut findings,
            ),
            quota: quota(raw, &mut findings),
            crossing_cost: duration(&raw.crossing_cost_ms, "--crossing-cost-ms", 0, &mut findings),
            processor_millicores: processor_millicores(raw, &mut findings),
            memory_mb: memory_mb(&raw.memory_mb, &mut findings),
            answer_margin: duration(&raw.answer_margin_ms, "--answer-margin-ms", 5, &mut findings),
            lapse_hold: optional_duration(&raw.lapse_hold_ms, "--lapse-hold-ms", &mut findings),
            stop_grace: optional_duration(&raw.stop_grace_ms, "--stop-grace-ms", &mut findings),
            platform_retry: duration(
                &raw.platform_retry_ms,
                "--platform-retry-ms",
                10_000,
                &mut findings,
            ),
            platform_history: optional_duration(
                &raw.platform_history_ms,
                "--platform-history-ms",
                &mut findings,
            ),
            change_limit: duration(
                &raw.change_limit_ms,
                "--change-limit-ms",
                DEFAULT_NEWS_LIMIT_MS,
                &mut findings,
            ),
            leave_limit: duration(
                &raw.leave_limit_ms,
                "--leave-limit-ms",
                DEFAULT_NEWS_LIMIT_MS,
                &mut findings,
            ),
            is_first_start: parsed(
                &raw.first_start,
                "--first-start",
                false,
                "true or false",
                &mut findings,
            ),
            log_level: parsed(
                &raw.log_level,
                "--log-level",
                LevelFilter::Info,
                LOG_LEVELS,
                &mut findings,
            ),
            seed: parsed(&raw.seed, "--seed", seed, "a whole number", &mut findings),
            vm: vm.into(),
        };
        findings.into_result(settings)
    }
}

impl fmt::Display for DaemonSettings {
    /// Prints one `name=value` per line, with secrets hidden.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let token = if self.operator_token.is_some() { "(hidden)" } else { "(none)" };
        writeln!(f, "vm={}", self.vm)?;
        writeln!(f, "failure-domain={}", self.failure_domain)?;
        writeln!(f, "region={}", self.region)?;
        let mut regions: Vec<String> = self
            .domain_regions
            .iter()
            .map(|(domain, region)| format!("{domain}:{region}"))
            .collect();
        regions.sort_unstable();
        writeln!(f, "domain-regions={}", regions.join(","))?;
        writeln!(f, "platform={}", self.platform)?;
        writeln!(f, "caller-listen={}", self.caller_listen)?;
        writeln!(f, "admin-listen={}", self.admin_listen)?;
        writeln!(f, "peer-listen={}", self.peer_listen)?;
        writeln!(f, "operator-token={token}")?;
        writeln!(f, "address-keep-ms={}", milliseconds(self.address_keep))?;
        writeln!(f, "leave-notice-ms={}", milliseconds(self.leave_notice))?;
        let seeds: Vec<String> = self.seed_peers.iter().map(SocketAddr::to_string).collect();
        writeln!(f, "seed-peers={}", seeds.join(","))?;
        writeln!(f, "drain-patience-ms={}", milliseconds(self.drain_patience))?;
        writeln!(f, "hedge={:?}", self.hedge)?;
        writeln!(f, "routing={:?}", self.routing)?;
        writeln!(f, "load-news={:?}", self.load_news)?;
        writeln!(f, "floor-wait={:?}", self.floor_wait)?;
        writeln!(f, "readiness-listen={}", text_or_none(self.readiness_listen))?;
        writeln!(f, "address-listen={}", text_or_none(self.address_listen))?;
        writeln!(f, "extra-ratio={}", f64::from(self.extra_permille) / ONE_PERMILLE)?;
        writeln!(f, "extra-slack={}", self.extra_slack)?;
        writeln!(f, "extra-window-ms={}", milliseconds(self.extra_window))?;
        writeln!(f, "quota-window-ms={}", milliseconds(self.quota.window))?;
        writeln!(f, "quota-overage={}", self.quota.overage)?;
        writeln!(f, "quota-slack={}", self.quota.slack)?;
        writeln!(f, "crossing-cost-ms={}", milliseconds(self.crossing_cost))?;
        writeln!(f, "processor-millicores={}", self.processor_millicores)?;
        writeln!(f, "memory-mb={}", self.memory_mb)?;
        writeln!(f, "answer-margin-ms={}", milliseconds(self.answer_margin))?;
        let lapse_hold = self.lapse_hold.map(milliseconds);
        writeln!(f, "lapse-hold-ms={}", text_or_none(lapse_hold))?;
        let stop_grace = self.stop_grace.map(milliseconds);
        writeln!(f, "stop-grace-ms={}", text_or_none(stop_grace))?;
        writeln!(f, "platform-retry-ms={}", milliseconds(self.platform_retry))?;
        let history = self.platform_history.map(milliseconds);
        writeln!(f, "platform-history-ms={}", text_or_none(history))?;
        writeln!(f, "change-limit-ms={}", milliseconds(self.change_limit))?;
        writeln!(f, "leave-limit-ms={}", milliseconds(self.leave_limit))?;
        writeln!(f, "first-start={}", self.is_first_start)?;
        writeln!(f, "log-level={}", self.log_level.as_str().to_lowercase())?;
        writeln!(f, "seed={}", self.seed)
    }
}

impl DaemonSettings {
    /// Returns the time in which any change of the platform's objects has to take effect.
    pub fn news_limit(&self) -> Duration {
        self.change_limit.min(self.leave_limit)
    }

    /// Returns how the time of a planned stop is divided.
    ///
    /// Until all VMs know that this one is leaving, callers still get its address, and they use it
    /// until their cached list expires.
    pub fn shutdown_schedule(&self) -> ShutdownSchedule {
        match self.stop_grace {
            None => ShutdownSchedule {
                notice: self.leave_notice + self.address_keep,
                patience: self.drain_patience,
            },
            Some(grace) => ShutdownSchedule::of_grace(grace),
        }
    }
}

/// Returns a time in milliseconds, with decimals if it has a fraction of one.
fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * MS_PER_SECOND
}

fn text_or_none<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "(none)".to_owned(), |value| value.to_string())
}

fn optional_address(
    option: &Option<String>,
    flag: &str,
    findings: &mut FindingList,
) -> Option<SocketAddr> {
    option.as_ref().map(|_| address(option, flag, "", findings))
}

fn optional_duration(
    option: &Option<String>,
    flag: &str,
    findings: &mut FindingList,
) -> Option<Duration> {
    Some(duration(option, flag, 0, findings)).filter(|duration| !duration.is_zero())
}

fn permille(option: &Option<String>, flag: &str, default: f64, findings: &mut FindingList) -> u32 {
    (number(option, flag, default, 1.0, findings) * ONE_PERMILLE) as u32
}

fn quota(raw: &RawSettings, findings: &mut FindingList) -> QuotaSettings {
    let flag = "--quota-window-ms";
    let window = duration(&raw.quota_window_ms, flag, DEFAULT_QUOTA_WINDOW_MS, findings);
    if window.is_zero() {
        findings.add(place(flag), "is 0; give more");
    }
    let default = QuotaSettings::default();
    QuotaSettings {
        window,
        overage: number(&raw.quota_overage, "--quota-overage", default.overage, 1.0, findings),
        slack: number(&raw.quota_slack, "--quota-slack", default.slack, MAX_QUOTA_SLACK, findings),
    }
}

/// Returns the cores of the processor, times the fraction of them that this process may use.
fn processor_millicores(raw: &RawSettings, findings: &mut FindingList) -> u32 {
    let cores = number(&raw.processor_cores, "--processor-cores", 0.0, MAX_CORES, findings);
    let share = permille(&raw.processor_share, "--processor-share", 1.0, findings);
    (cores * f64::from(share)) as u32
}

/// Returns the memory of this machine in MB, rounded down.
fn memory_mb(option: &Option<String>, findings: &mut FindingList) -> u32 {
    let memory = number(option, "--memory-mb", DEFAULT_MEMORY_MB, MAX_MEMORY_MB, findings) as u32;
    if memory < MIN_MEMORY_MB {
        findings.add(place("--memory-mb"), format!("is {memory}; give at least {MIN_MEMORY_MB}"));
    }
    memory
}

/// Returns the place of a finding: the flag and its environment variable.
fn place(flag: &str) -> String {
    let variable = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("{flag} or OLEANDERWIND_{variable}")
}

fn required(option: &Option<String>, flag: &str, findings: &mut FindingList) -> String {
    match option.as_deref() {
        Some(text) if !text.is_empty() => text.to_owned(),
        _ => {
            findings.add(place(flag), "is missing; give it a value");
            String::new()
        }
    }
}

fn address(
    option: &Option<String>,
    flag: &str,
    default: &str,
    findings: &mut FindingList,
) -> SocketAddr {
    let text = option.as_deref().unwrap_or(default);
    text.parse().unwrap_or_else(|_| {
        findings.add(place(flag), format!("is \"{text}\"; give ip:port"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn addresses(option: &Option<String>, flag: &str, findings: &mut FindingList) -> Vec<SocketAddr> {
    let texts = option.as_deref().unwrap_or_default().split(',');
    let texts = texts.filter(|text| !text.is_empty());
    texts.map(|text| address(&Some(text.to_owned()), flag, "", findings)).collect()
}

fn duration(
    option: &Option<String>,
    flag: &str,
    default_ms: u32,
    findings: &mut FindingList,
) -> Duration {
    let seconds = option.as_deref().and_then(|text| text.strip_suffix(SECONDS_SUFFIX));
    let milliseconds = match seconds {
        None => number(option, flag, f64::from(default_ms), MAX_TIME_MS, findings),
        Some(text) => {
            let most = MAX_TIME_MS / MS_PER_SECOND;
            number(&Some(text.to_owned()), flag, 0.0, most, findings) * MS_PER_SECOND
        }
    };
    Duration::from_secs_f64(milliseconds / MS_PER_SECOND)
}

/// Returns a number of calls, rounded down.
fn whole_calls(
    option: &Option<String>,
    flag: &str,
    default: f64,
    findings: &mut FindingList,
) -> u32 {
    number(option, flag, default, MAX_EXTRA_SLACK, findings) as u32
}

/// Returns a number from 0 to `most`, whole or not, and 0 for any other text.
fn number(
    option: &Option<String>,
    flag: &str,
    default: f64,
    most: f64,
    findings: &mut FindingList,
) -> f64 {
    let expected = format!("a number from 0 to {most}");
    let value: f64 = parsed(option, flag, default, &expected, findings);
    if (0.0..=most).contains(&value) {
        return value;
    }
    findings.add(place(flag), format!("is {value}; give {expected}"));
    0.0
}

fn parsed<T: FromStr>(
    option: &Option<String>,
    flag: &str,
    default: T,
    expected: &str,
    findings: &mut FindingList,
) -> T {
    let Some(text) = option else { return default };
    match text.parse() {
        Ok(value) => value,
        Err(_) => {
            findings.add(place(flag), format!("is \"{text}\"; give {expected}"));
            default
        }
    }
}

fn hedge(option: &Option<String>, findings: &mut FindingList) -> HedgePolicy {
    let default = FanoutSettings::default().hedge;
    let Some(text) = option else { return default };
    let policy = match text.split_once(':') {
        None if text == "none" => Some(HedgePolicy::None),
        Some(("fixed", delay)) => {
            delay.parse().ok().map(|ms| HedgePolicy::FixedDelay(Duration::from_millis(ms)))
        }
        Some(("quantile", value)) => value
            .parse()
            .ok()
            .filter(|permille| (1..1_000).contains(permille))
            .map(|permille| HedgePolicy::Quantile { permille }),
        _ => None,
    };
    policy.unwrap_or_else(|| {
        let problem = format!("is \"{text}\"; give none, fixed:MS or quantile:PERMILLE");
        findings.add(place("--hedge"), problem);
        default
    })
}

fn routing(option: &Option<String>, findings: &mut FindingList) -> RoutingPolicy {
    let default = FanoutSettings::default().routing;
    match option.as_deref() {
        None => default,
        Some("expected-wait") => RoutingPolicy::ExpectedWait,
        Some("least-outstanding") => RoutingPolicy::LeastOutstanding,
        Some("round-robin") => RoutingPolicy::RoundRobin,
        Some(text) => {
            let problem =
                format!("is \"{text}\"; give expected-wait, least-outstanding or round-robin");
            findings.add(place("--routing"), problem);
            default
        }
    }
}

fn domain_regions(
    option: &Option<String>,
    findings: &mut FindingList,
) -> HashMap<FailureDomainId, RegionId> {
    let entries = option.iter().flat_map(|text| text.split(',')).filter(|entry| !entry.is_empty());
    let mut regions = HashMap::new();
    for entry in entries {
        match entry.split_once(':') {
            Some((domain, region)) if !domain.is_empty() && !region.is_empty() => {
                regions.insert(domain.into(), region.into());
            }
            Some(_) | None => {
                let problem = format!("has \"{entry}\"; give DOMAIN:REGION");
                findings.add(place("--domain-regions"), problem);
            }
        }
    }
    regions
}

fn load_news(option: &Option<String>, findings: &mut FindingList) -> LoadNews {
    let default = FanoutSettings::default().load_news;
    match option.as_deref() {
        None => default,
        Some("decayed") => LoadNews::Decayed,
        Some("held") => LoadNews::Held,
        Some(text) => {
            findings.add(place("--load-news"), format!("is \"{text}\"; give decayed or held"));
            default
        }
    }
}

fn floor_wait(option: &Option<String>, findings: &mut FindingList) -> FloorWait {
    let default = FanoutSettings::default().floor_wait;
    let Some(text) = option else { return default };
    let wait = match text.split_once(':') {
        None if text == "late" => Some(FloorWait::Late),
        None if text == "hedge" => Some(FloorWait::HedgeAnswer),
        Some(("share", value)) => value
            .parse()
            .ok()
            .filter(|permille| (1..=1_000).contains(permille))
            .map(|permille| FloorWait::DeadlineShare { permille }),
        _ => None,
    };
    wait.unwrap_or_else(|| {
        let problem = format!("is \"{text}\"; give late, hedge or share:PERMILLE");
        findings.add(place("--floor-wait"), problem);
        default
    })
}
