//! Checked settings.

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
use oleanderwind_policy::RoutingPolicy;
use oleanderwind_policy::VmId;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::RawSettings;

/// Most cores that a setting may name.
const MAX_CORES: f64 = 4_096.0;
/// Longest time that any setting may give.
const MAX_TIME_MS: u64 = 600_000;

/// Kept of the time that a stop may take, for the last word to peers and the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Part of a stop in which requests are still taken.
const NOTICE_PART: f64 = 0.6;
/// A whole, in thousandths.
const WHOLE_PERMILLE: f64 = 1_000.0;

/// Everything that the daemon is told at its start.
#[derive(Clone)]
pub struct DaemonSettings {
    /// This VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: String,
    /// The platform's Object API.
    pub platform: SocketAddr,
    /// For callers; port 0 takes a free one.
    pub caller_listen: SocketAddr,
    /// For operators; port 0 takes a free one.
    pub admin_listen: SocketAddr,
    /// For peers; port 0 takes a free one.
    pub peer_listen: SocketAddr,
    /// Needed for changes, when set.
    pub operator_token: Option<String>,
    /// How long callers keep an address answer.
    pub address_keep: Duration,
    /// How long word of a departure takes to reach every VM.
    pub leave_notice: Duration,
    /// Peers to ask at the start; the platform's list names the others.
    pub seed_peers: Vec<SocketAddr>,
    /// How long a graceful shutdown waits for open requests.
    pub drain_patience: Duration,
    /// When a second call is sent.
    pub hedge: HedgePolicy,
    /// How a target is chosen.
    pub routing: RoutingPolicy,
    /// How long a query that may answer at its floor waits for the rest.
    pub floor_wait: FloorWait,
    /// Answers only whether the VM is ready.
    pub readiness_listen: Option<SocketAddr>,
    /// Answers only which VMs to use.
    pub address_listen: Option<SocketAddr>,
    /// Extra calls to a service's targets, in thousandths of its requests.
    pub extra_permille: u32,
    /// Extra calls beyond that part that the whole fleet may make to a service at once.
    pub extra_slack: u32,
    /// Expected wait that a target in another failure domain has to save.
    pub crossing_cost: Duration,
    /// Processor that this process may use, in thousandths of a core; 0 when it is not told.
    pub processor_millicores: u32,
    /// Time kept before an objective or a deadline for an answer's way to its caller.
    pub answer_margin: Duration,
    /// How long a target that is listed no more is kept as a last resort.
    pub lapse_hold: Option<Duration>,
    /// Time from SIGTERM to the end, in place of notice and patience.
    pub stop_grace: Option<Duration>,
    /// Longest pause between two calls to a platform that fails.
    pub platform_retry: Duration,
    /// What is logged.
    pub log_level: LevelFilter,
    /// Seed of every random choice.
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
            address_keep: time(&raw.address_keep_ms, "--address-keep-ms", 2_000, &mut findings),
            leave_notice: time(&raw.leave_notice_ms, "--leave-notice-ms", 10_000, &mut findings),
            seed_peers: addresses(&raw.seed_peers, "--seed-peers", &mut findings),
            drain_patience: time(
                &raw.drain_patience_ms,
                "--drain-patience-ms",
                15_000,
                &mut findings,
            ),
            hedge: hedge(&raw.hedge, &mut findings),
            routing: routing(&raw.routing, &mut findings),
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
            extra_slack: parsed(&raw.extra_slack, "--extra-slack", 40, &mut findings),
            crossing_cost: time(&raw.crossing_cost_ms, "--crossing-cost-ms", 0, &mut findings),
            processor_millicores: processor_millicores(raw, &mut findings),
            answer_margin: time(&raw.answer_margin_ms, "--answer-margin-ms", 5, &mut findings),
            lapse_hold: optional_time(&raw.lapse_hold_ms, "--lapse-hold-ms", &mut findings),
            stop_grace: optional_time(&raw.stop_grace_ms, "--stop-grace-ms", &mut findings),
            platform_retry: time(
                &raw.platform_retry_ms,
                "--platform-retry-ms",
                10_000,
                &mut findings,
            ),
            log_level: parsed(&raw.log_level, "--log-level", LevelFilter::Info, &mut findings),
            seed: parsed(&raw.seed, "--seed", seed, &mut findings),
            vm: vm.into(),
        };
        findings.into_result(settings)
    }
}

impl fmt::Display for DaemonSettings {
    /// One `name=value` a line, secrets hidden.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let token = if self.operator_token.is_some() { "(hidden)" } else { "(none)" };
        writeln!(f, "vm={}", self.vm)?;
        writeln!(f, "failure-domain={}", self.failure_domain)?;
        writeln!(f, "region={}", self.region)?;
        writeln!(f, "platform={}", self.platform)?;
        writeln!(f, "caller-listen={}", self.caller_listen)?;
        writeln!(f, "admin-listen={}", self.admin_listen)?;
        writeln!(f, "peer-listen={}", self.peer_listen)?;
        writeln!(f, "operator-token={token}")?;
        writeln!(f, "address-keep-ms={}", self.address_keep.as_millis())?;
        writeln!(f, "leave-notice-ms={}", self.leave_notice.as_millis())?;
        let seeds: Vec<String> = self.seed_peers.iter().map(SocketAddr::to_string).collect();
        writeln!(f, "seed-peers={}", seeds.join(","))?;
        writeln!(f, "drain-patience-ms={}", self.drain_patience.as_millis())?;
        writeln!(f, "hedge={:?}", self.hedge)?;
        writeln!(f, "routing={:?}", self.routing)?;
        writeln!(f, "floor-wait={:?}", self.floor_wait)?;
        writeln!(f, "readiness-listen={}", text_or_none(self.readiness_listen))?;
        writeln!(f, "address-listen={}", text_or_none(self.address_listen))?;
        writeln!(f, "extra-ratio={}", f64::from(self.extra_permille) / WHOLE_PERMILLE)?;
        writeln!(f, "extra-slack={}", self.extra_slack)?;
        writeln!(f, "crossing-cost-ms={}", self.crossing_cost.as_millis())?;
        writeln!(f, "processor-millicores={}", self.processor_millicores)?;
        writeln!(f, "answer-margin-ms={}", self.answer_margin.as_millis())?;
        let lapse_hold = self.lapse_hold.map(|hold| hold.as_millis());
        writeln!(f, "lapse-hold-ms={}", text_or_none(lapse_hold))?;
        let stop_grace = self.stop_grace.map(|grace| grace.as_millis());
        writeln!(f, "stop-grace-ms={}", text_or_none(stop_grace))?;
        writeln!(f, "platform-retry-ms={}", self.platform_retry.as_millis())?;
        writeln!(f, "log-level={}", self.log_level.as_str().to_lowercase())?;
        writeln!(f, "seed={}", self.seed)
    }
}

impl DaemonSettings {
    /// From the request to stop: how long to go on as before, and then to wait for what runs.
    ///
    /// Until every VM knows, callers still get this VM's address, and they use it as long as they
    /// keep their answer. A given time is parted so that calls which began at the end of the first
    /// part still have time, and the process ends before the whole is over.
    pub fn shutdown_durations(&self) -> (Duration, Duration) {
        match self.stop_grace {
            None => (self.leave_notice + self.address_keep, self.drain_patience),
            Some(grace) => {
                let usable = grace.saturating_sub(STOP_MARGIN);
                let notice = usable.mul_f64(NOTICE_PART);
                (notice, usable - notice)
            }
        }
    }
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

fn optional_time(
    option: &Option<String>,
    flag: &str,
    findings: &mut FindingList,
) -> Option<Duration> {
    Some(time(option, flag, 0, findings)).filter(|time| !time.is_zero())
}

fn permille(option: &Option<String>, flag: &str, default: f64, findings: &mut FindingList) -> u32 {
    let part: f64 = parsed(option, flag, default, findings);
    if !(0.0..=1.0).contains(&part) {
        findings.add(place(flag), format!("is {part}; give 0 to 1"));
        return 0;
    }
    (part * WHOLE_PERMILLE) as u32
}

/// The processor's cores, times the part of them that this process may use.
fn processor_millicores(raw: &RawSettings, findings: &mut FindingList) -> u32 {
    let cores: f64 = parsed(&raw.processor_cores, "--processor-cores", 0.0, findings);
    if !(0.0..=MAX_CORES).contains(&cores) {
        findings.add(place("--processor-cores"), format!("is {cores}; give 0 to {MAX_CORES}"));
        return 0;
    }
    let share = permille(&raw.processor_share, "--processor-share", 1.0, findings);
    (cores * f64::from(share)) as u32
}

/// Names the flag and its environment variable, as findings place it.
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

fn time(
    option: &Option<String>,
    flag: &str,
    default_ms: u64,
    findings: &mut FindingList,
) -> Duration {
    let milliseconds = parsed(option, flag, default_ms, findings);
    if milliseconds > MAX_TIME_MS {
        findings.add(place(flag), format!("is {milliseconds}; give at most {MAX_TIME_MS}"));
    }
    Duration::from_millis(milliseconds)
}

fn parsed<T: FromStr>(
    option: &Option<String>,
    flag: &str,
    default: T,
    findings: &mut FindingList,
) -> T {
    let Some(text) = option else { return default };
    match text.parse() {
        Ok(value) => value,
        Err(_) => {
            findings.add(place(flag), format!("is \"{text}\"; see --help for what it takes"));
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
        Some(("quantile", part)) => part
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

fn floor_wait(option: &Option<String>, findings: &mut FindingList) -> FloorWait {
    let default = FanoutSettings::default().floor_wait;
    let Some(text) = option else { return default };
    let wait = match text.split_once(':') {
        None if text == "late" => Some(FloorWait::Late),
        None if text == "hedge" => Some(FloorWait::HedgeAnswer),
        Some(("share", part)) => part
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
