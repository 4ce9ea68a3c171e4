//! Rendering of replies as text.

use std::fmt::Write;

use oleanderwind_wire::ClassOutcome;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::FleetMember;
use oleanderwind_wire::HistoryEntry;
use oleanderwind_wire::RouteExplanation;
use oleanderwind_wire::RoutingStatus;
use oleanderwind_wire::SuspectWork;
use oleanderwind_wire::VmStatus;

/// A reply that can be rendered as text for a terminal.
pub(crate) trait RenderText {
    /// Returns the text; every line ends with a line feed.
    fn render_text(&self) -> String;
}

/// Appends a line to a string, which cannot fail.
macro_rules! write_line {
    ($text:expr, $($argument:tt)*) => {
        let _ = writeln!($text, $($argument)*);
    };
}

impl RenderText for RoutingStatus {
    fn render_text(&self) -> String {
        let mut text = format!(
            "version {}, {} routes, {} connections to targets made\n",
            self.version, self.routes, self.connects
        );
        for target in &self.targets {
            let failing = if target.is_failing { ", failing" } else { "" };
            let leaving = if target.is_leaving { ", leaving by its own word" } else { "" };
            let evacuated = if target.is_evacuated { ", evacuated" } else { "" };
            let paused = match target.paused_ms {
                0 => String::new(),
                rest => format!(", paused for {rest} ms"),
            };
            let limited = match target.limit_per_second {
                None => String::new(),
                Some(rate) => {
                    format!(", limited to {rate} calls/s, {} permits left", target.permits)
                }
            };
            text += &format!(
                "{} {} in {}: {:?}{failing}{leaving}{evacuated}{paused}{limited}, {} of {} calls open, \
                 {} extra calls left\n",
                target.service,
                target.target,
                target.failure_domain,
                target.phase,
                target.open,
                target.window,
                target.extra_calls_left
            );
        }
        for request in &self.unanswered {
            text += &format!(
                "request {} on {}: {} after {} ms, {}\n",
                request.request, request.route, request.outcome, request.ms, request.reason
            );
        }
        text
    }
}

impl RenderText for VmStatus {
    fn render_text(&self) -> String {
        let mut text = String::new();
        write_line!(text, "vm              {}", self.vm);
        write_line!(text, "failure domain  {}", self.failure_domain);
        write_line!(text, "ready           {}", self.is_ready);
        write_line!(text, "leaving         {}", self.is_leaving);
        write_line!(text, "revision        {}", self.revision);
        write_line!(text, "contracts       {}", self.contracts);
        write_line!(text, "targets         {}", self.targets);
        write_line!(text, "platform calls  {}", self.platform_calls);
        if !self.evacuated.is_empty() {
            write_line!(text, "evacuated       {}", self.evacuated.join(", "));
        }
        text
    }
}

impl RenderText for Vec<FleetMember> {
    fn render_text(&self) -> String {
        let mut text = String::new();
        write_line!(
            text,
            "{:<20} {:<20} {:<10} {:>10}",
            "VM",
            "FAILURE DOMAIN",
            "PHASE",
            "REVISION"
        );
        for member in self {
            let lag = if member.is_lagging { "  lags" } else { "" };
            let refusal = if member.is_refused { "  refused by the platform" } else { "" };
            write_line!(
                text,
                "{:<20} {:<20} {:<10} {:>10}{lag}{refusal}",
                member.vm,
                member.failure_domain,
                member.phase,
                member.revision
            );
            for (kind, age_ms) in &member.word_ages_ms {
                write_line!(text, "  last word about {kind:<12} {age_ms:>7} ms ago");
            }
        }
        text
    }
}

impl RenderText for Vec<SuspectWork> {
    fn render_text(&self) -> String {
        let mut text = String::new();
        write_line!(
            text,
            "{:<32} {:<20} {:<8} {:>4} {:>6} {:>8} {:>8}",
            "WORK",
            "SERVICE",
            "STATE",
            "ENDS",
            "TRIALS",
            "AGE s",
            "NEXT s"
        );
        for suspect in self {
            let next = suspect.retry_after_ms.map_or(String::new(), |ms| (ms / 1_000).to_string());
            let operator = if suspect.is_blocked_by_operator { "  by an operator" } else { "" };
            write_line!(
                text,
                "{:<32} {:<20} {:<8} {:>4} {:>6} {:>8} {next:>8}{operator}",
                suspect.work,
                suspect.service,
                suspect.state,
                suspect.ends,
                suspect.trial_ends,
                suspect.age_ms / 1_000
            );
        }
        text
    }
}

impl RenderText for Vec<ContractDocument> {
    fn render_text(&self) -> String {
        let mut text = String::new();
        write_line!(text, "{:<24} {:>10} {:>8}", "CUSTOMER", "REVISION", "CLASSES");
        for document in self {
            let classes = document.contract.classes.len();
            write_line!(text, "{:<24} {:>10} {classes:>8}", document.customer, document.revision);
        }
        text
    }
}

impl RenderText for ContractDocument {
    fn render_text(&self) -> String {
        let contract = serde_json::to_string_pretty(&self.contract).unwrap_or_default();
        format!("{contract}\n")
    }
}

impl RenderText for Vec<HistoryEntry> {
    fn render_text(&self) -> String {
        let mut text = String::new();
        for entry in self {
            write_line!(text, "{} at {} ms by \"{}\"", entry.token, entry.at_ms, entry.operator);
            for difference in &entry.differences {
                write_line!(text, "  {difference}");
            }
        }
        text
    }
}

impl RenderText for EditReport {
    fn render_text(&self) -> String {
        let mut text = String::new();
        let verdict = serde_json::to_value(self.verdict).unwrap_or_default();
        write_line!(text, "{}: {}", verdict.as_str().unwrap_or_default(), self.advice);
        if let Some(revision) = self.revision {
            write_line!(text, "revision {revision}");
        }
        if !self.token.is_empty() {
            write_line!(text, "token {}", self.token);
        }
        for finding in &self.findings {
            write_line!(text, "  {}: {}", finding.place, finding.problem);
        }
        if let Some(current) = &self.current {
            write_line!(
                text,
                "the contract is now at revision {}; your edit differs:",
                current.revision
            );
        }
        for difference in &self.differences {
            write_line!(text, "  {difference}");
        }
        text
    }
}

impl RenderText for Vec<ClassOutcome> {
    fn render_text(&self) -> String {
        let mut text = String::new();
        write_line!(
            text,
            "{:<16} {:<20} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} HOLDS",
            "CUSTOMER",
            "CLASS",
            "REQUESTS",
            "P99 MS",
            "LIMIT MS",
            "IN TIME",
            "COVERED",
            "EXTRA"
        );
        for outcome in self {
            let permille = match outcome.primary_calls {
                0 => 0,
                calls => outcome.extra_calls * 1_000 / calls,
            };
            let verdict = match (outcome.requests, outcome.holds) {
                (0, _) => "idle",
                (_, true) => "yes",
                (_, false) => "NO",
            };
            write_line!(
                text,
                "{:<16} {:<20} {:>9} {:>9.1} {:>9} {:>9} {:>9} {permille:>6}‰ {verdict}",
                outcome.customer,
                outcome.class,
                outcome.requests,
                outcome.p99_ms,
                outcome.deadline_ms,
                outcome.within_deadline,
                outcome.above_floor
            );
        }
        text
    }
}

impl RenderText for RouteExplanation {
    fn render_text(&self) -> String {
        let mut text = String::new();
        write_line!(text, "{} class {} at revision {}", self.customer, self.class, self.revision);
        write_line!(text, "service    {}", self.service);
        write_line!(text, "placement  {}", self.placement.join(" "));
        write_line!(text, "snapshots  {}", self.snapshots.join(" "));
        for route in &self.shards {
            let ready = route.ready.join(" ");
            let draining = match route.draining.is_empty() {
                true => String::new(),
                false => format!(" (draining: {})", route.draining.join(" ")),
            };
            write_line!(
                text,
                "shard {:>4}@{}  {ready}{draining}",
                route.shard,
                route.index_version
            );
        }
        for note in &self.notes {
            write_line!(text, "note: {note}");
        }
        text
    }
}
