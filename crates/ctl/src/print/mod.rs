//! Replies as text.

use std::fmt::Write;

use oleanderwind_wire::ClassOutcome;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::FleetMember;
use oleanderwind_wire::HistoryEntry;
use oleanderwind_wire::RouteExplanation;
use oleanderwind_wire::RoutingStatus;
use oleanderwind_wire::VmStatus;

/// Something that can be printed as text.
pub(crate) trait PrintText {
    /// The text, with a line end after each line.
    fn print_text(&self) -> String;
}

/// Adds a line; writing to a string can't fail.
macro_rules! line {
    ($text:expr, $($argument:tt)*) => {
        let _ = writeln!($text, $($argument)*);
    };
}

impl PrintText for RoutingStatus {
    fn print_text(&self) -> String {
        let mut text = format!(
            "version {}, {} routes, {} connections to targets made\n",
            self.version, self.routes, self.connects
        );
        for target in &self.targets {
            let failing = if target.is_failing { ", failing" } else { "" };
            text += &format!(
                "{} {} in {}: {:?}{failing}, {} of {} calls open, {} extra calls left\n",
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

impl PrintText for VmStatus {
    fn print_text(&self) -> String {
        let mut text = String::new();
        line!(text, "vm              {}", self.vm);
        line!(text, "failure domain  {}", self.failure_domain);
        line!(text, "ready           {}", self.is_ready);
        line!(text, "leaving         {}", self.is_leaving);
        line!(text, "revision        {}", self.revision);
        line!(text, "contracts       {}", self.contracts);
        line!(text, "targets         {}", self.targets);
        line!(text, "platform calls  {}", self.platform_calls);
        text
    }
}

impl PrintText for Vec<FleetMember> {
    fn print_text(&self) -> String {
        let mut text = String::new();
        line!(text, "{:<20} {:<20} {:<10} {:>10}", "VM", "FAILURE DOMAIN", "PHASE", "REVISION");
        for member in self {
            let lag = if member.is_lagging { "  lags" } else { "" };
            line!(
                text,
                "{:<20} {:<20} {:<10} {:>10}{lag}",
                member.vm,
                member.failure_domain,
                member.phase,
                member.revision
            );
        }
        text
    }
}

impl PrintText for Vec<ContractDocument> {
    fn print_text(&self) -> String {
        let mut text = String::new();
        line!(text, "{:<24} {:>10} {:>8}", "CUSTOMER", "REVISION", "CLASSES");
        for document in self {
            let classes = document.contract.classes.len();
            line!(text, "{:<24} {:>10} {classes:>8}", document.customer, document.revision);
        }
        text
    }
}

impl PrintText for ContractDocument {
    fn print_text(&self) -> String {
        let contract = serde_json::to_string_pretty(&self.contract).unwrap_or_default();
        format!("{contract}\n")
    }
}

impl PrintText for Vec<HistoryEntry> {
    fn print_text(&self) -> String {
        let mut text = String::new();
        for entry in self {
            line!(text, "{} at {} ms by \"{}\"", entry.token, entry.at_ms, entry.operator);
            for difference in &entry.differences {
                line!(text, "  {difference}");
            }
        }
        text
    }
}

impl PrintText for EditReport {
    fn print_text(&self) -> String {
        let mut text = String::new();
        let verdict = serde_json::to_value(self.verdict).unwrap_or_default();
        line!(text, "{}: {}", verdict.as_str().unwrap_or_default(), self.advice);
        if let Some(revision) = self.revision {
            line!(text, "revision {revision}");
        }
        if !self.token.is_empty() {
            line!(text, "token {}", self.token);
        }
        for finding in &self.findings {
            line!(text, "  {}: {}", finding.place, finding.problem);
        }
        if let Some(current) = &self.current {
            line!(text, "the contract is now at revision {}; your edit differs:", current.revision);
        }
        for difference in &self.differences {
            line!(text, "  {difference}");
        }
        text
    }
}

impl PrintText for Vec<ClassOutcome> {
    fn print_text(&self) -> String {
        let mut text = String::new();
        line!(
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
            line!(
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

impl PrintText for RouteExplanation {
    fn print_text(&self) -> String {
        let mut text = String::new();
        line!(text, "{} class {} at revision {}", self.customer, self.class, self.revision);
        line!(text, "service    {}", self.service);
        line!(text, "placement  {}", self.placement.join(" "));
        line!(text, "snapshots  {}", self.snapshots.join(" "));
        for route in &self.shards {
            let ready = route.ready.join(" ");
            let draining = match route.draining.is_empty() {
                true => String::new(),
                false => format!(" (draining: {})", route.draining.join(" ")),
            };
            line!(text, "shard {:>4}@{}  {ready}{draining}", route.shard, route.index_version);
        }
        for note in &self.notes {
            line!(text, "note: {note}");
        }
        text
    }
}
