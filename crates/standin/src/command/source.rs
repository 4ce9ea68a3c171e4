//! Settings from flags and the environment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use oleanderwind_policy::FindingList;
use oleanderwind_policy::ProviderId;

use crate::command::StandinCommand;
use crate::deployment::DeploymentName;
use crate::searcher::ServiceTimeSettings;
use crate::server::StandinSettings;

/// Prefix of the environment variables.
const VARIABLE_PREFIX: &str = "OLEANDERWIND_STANDIN_";
/// Maximum of times in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;
/// Maximum of counts and rates.
const MAX_COUNT: u64 = 1_000_000;
/// The full fraction, in thousandths; also the maximum straggler factor.
const FULL_PERMILLE: u32 = 1_000;
/// Maximum standard deviation of the logarithm of the service time.
const MAX_SIGMA: f64 = 3.0;

/// Flags, with the environment as fallback.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsSource {
    /// Parsed flags.
    pub command: StandinCommand,
    /// Environment variables with the prefix.
    pub environment: BTreeMap<String, String>,
}

/// Parses settings and collects all findings.
struct SettingsReader<'a> {
    environment: &'a BTreeMap<String, String>,
    known: BTreeSet<String>,
    findings: FindingList,
}

/// Text of a setting, and the flag or variable that it comes from.
struct RawSetting {
    text: String,
    place: String,
}

impl SettingsSource {
    /// Combines the flags with the environment of the process.
    pub fn from_environment(command: StandinCommand) -> SettingsSource {
        let environment = std::env::vars().filter(|(name, _)| name.starts_with(VARIABLE_PREFIX));
        SettingsSource { command, environment: environment.collect() }
    }
}

impl TryFrom<&SettingsSource> for StandinSettings {
    type Error = FindingList;

    fn try_from(source: &SettingsSource) -> Result<StandinSettings, FindingList> {
        let flags = &source.command;
        let base = StandinSettings::default();
        let mut reader = SettingsReader::new(&source.environment);
        let millis = 0..=MAX_TIME_MS;
        let settings = StandinSettings {
            deployments: reader.deployments(&flags.deployment, base.deployments),
            providers: reader.providers(&flags.provider, base.providers),
            base_port: reader.number("base-port", &flags.base_port, 0..=u16::MAX, base.base_port),
            seed: reader.number("seed", &flags.seed, 0..=u64::MAX, base.seed),
            service_time: reader.service_time(flags, base.service_time),
            queue_limit: reader.number(
                "queue-bound",
                &flags.queue_bound,
                0..=u32::MAX,
                base.queue_limit,
            ),
            snapshot_retention: reader.time(
                "snapshot-keep-ms",
                &flags.snapshot_keep_ms,
                millis.clone(),
                base.snapshot_retention,
            ),
            silent_timeout: reader.time(
                "silent-hold-ms",
                &flags.silent_hold_ms,
                millis.clone(),
                base.silent_timeout,
            ),
            vm_list_lag: reader.time(
                "vm-list-lag-ms",
                &flags.vm_list_lag_ms,
                millis,
                base.vm_list_lag,
            ),
            history_limit: reader.number(
                "history-limit",
                &flags.history_limit,
                1..=usize::try_from(MAX_COUNT).unwrap_or(usize::MAX),
                base.history_limit,
            ),
            reads_per_second: reader.rate("reads-per-second", &flags.reads_per_second),
            writes_per_second: reader.rate("writes-per-second", &flags.writes_per_second),
        };
        reader.check_unknown_variables();
        reader.findings.into_result(settings)
    }
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader without findings.
    fn new(environment: &'a BTreeMap<String, String>) -> SettingsReader<'a> {
        SettingsReader { environment, known: BTreeSet::new(), findings: FindingList::default() }
    }

    /// Returns the text of a flag, or else of its environment variable.
    fn find(&mut self, name: &str, flag: Option<&str>) -> Option<RawSetting> {
        let variable = format!("{VARIABLE_PREFIX}{}", name.replace('-', "_").to_uppercase());
        self.known.insert(variable.clone());
        if let Some(text) = flag {
            return Some(RawSetting { text: text.to_owned(), place: format!("--{name}") });
        }
        let text = self.environment.get(&variable)?.clone();
        Some(RawSetting { text, place: variable })
    }

    /// Adds a finding for each environment variable that is not a setting.
    fn check_unknown_variables(&mut self) {
        for name in self.environment.keys().filter(|name| !self.known.contains(*name)) {
            self.findings.add(name.as_str(), "is not a setting; see --help");
        }
    }

    /// Returns a number within a range, or the default with a finding if it is invalid.
    fn number<T>(
        &mut self,
        name: &str,
        flag: &Option<String>,
        range: RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: Copy + FromStr + PartialOrd + std::fmt::Display,
    {
        let Some(raw) = self.find(name, flag.as_deref()) else { return default };
        match raw.text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.findings.add(raw.place, format!("is {:?}; give {low} to {high}", raw.text));
                default
            }
        }
    }

    /// Returns a time given in milliseconds.
    fn time(
        &mut self,
        name: &str,
        flag: &Option<String>,
        range: RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(name, flag, range, default_ms))
    }

    /// Returns an optional rate in calls per second.
    fn rate(&mut self, name: &str, flag: &Option<String>) -> Option<u64> {
        self.find(name, flag.as_deref())?;
        Some(self.number(name, flag, 1..=MAX_COUNT, 1))
    }

    /// Returns the service time distribution.
    fn service_time(
        &mut self,
        flags: &StandinCommand,
        base: ServiceTimeSettings,
    ) -> ServiceTimeSettings {
        let median_us = u64::try_from(base.median.as_micros()).unwrap_or(u64::MAX);
        let max_us = MAX_TIME_MS * 1_000;
        ServiceTimeSettings {
            median: Duration::from_micros(self.number(
                "median-us",
                &flags.median_us,
                0..=max_us,
                median_us,
            )),
            sigma: self.number("sigma", &flags.sigma, 0.0..=MAX_SIGMA, base.sigma),
            straggler_permille: self.number(
                "straggler-permille",
                &flags.straggler_permille,
                0..=FULL_PERMILLE,
                base.straggler_permille,
            ),
            straggler_factor: self.number(
                "straggler-factor",
                &flags.straggler_factor,
                1..=FULL_PERMILLE,
                base.straggler_factor,
            ),
        }
    }

    /// Returns the texts of a repeatable flag, or else of its comma-separated variable.
    fn list(&mut self, name: &str, flags: &[String]) -> Vec<RawSetting> {
        if flags.is_empty() {
            let Some(raw) = self.find(name, None) else { return Vec::new() };
            let texts = raw.text.split(',').map(|text| text.trim().to_owned());
            return texts.map(|text| RawSetting { text, place: raw.place.clone() }).collect();
        }
        flags.iter().filter_map(|text| self.find(name, Some(text))).collect()
    }

    /// Returns the deployments to serve.
    fn deployments(
        &mut self,
        flags: &[String],
        default: Vec<DeploymentName>,
    ) -> Vec<DeploymentName> {
        let mut names = Vec::new();
        for raw in self.list("deployment", flags) {
            match DeploymentName::parse(&raw.text) {
                Some(name) if names.contains(&name) => {
                    self.findings.add(raw.place, format!("{:?} is given twice", raw.text));
                }
                Some(name) => names.push(name),
                None => {
                    let problem = format!("is {:?}; give tsagaan or haneul", raw.text);
                    self.findings.add(raw.place, problem);
                }
            }
        }
        if names.is_empty() { default } else { names }
    }

    /// Returns the providers.
    fn providers(&mut self, flags: &[String], default: Vec<ProviderId>) -> Vec<ProviderId> {
        let mut providers: Vec<ProviderId> = Vec::new();
        for raw in self.list("provider", flags) {
            let text = raw.text.as_str();
            let is_name = !text.is_empty()
                && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
            match is_name {
                true if providers.iter().any(|provider| **provider == *text) => {
                    self.findings.add(raw.place, format!("{text:?} is given twice"));
                }
                true => providers.push(text.into()),
                false => {
                    self.findings
                        .add(raw.place, format!("is {text:?}; give letters, digits and -"));
                }
            }
        }
        if providers.is_empty() { default } else { providers }
    }
}
