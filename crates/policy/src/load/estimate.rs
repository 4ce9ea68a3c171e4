//! What a VM expects of a target's load between two reports of it.

use std::time::Duration;
use std::time::Instant;

use crate::LoadReport;
use crate::load::LoadNews;

/// Age after which a held report is ignored.
const HELD_REPORT_TTL: Duration = Duration::from_secs(1);
/// Calls of other VMs that a report can add, per slot of the target.
const MAX_OTHER_CALLS_PER_SLOT: u32 = 4;
/// Time constant of the average of the reports.
const AVERAGE_TIME_SECONDS: f64 = 2.0;
/// Time constant with which a reported pace returns to the usual one.
const PACE_TIME_SECONDS: f64 = 0.4;
/// Pace of a target that works as usual, in percent.
const USUAL_PACE_PERCENT: u32 = 100;
/// Bounds of a reported pace, in percent.
const PACE_BOUNDS_PERCENT: (u32, u32) = (25, 1_000);

/// Calls of other VMs at a target and the target's pace, by its reports.
///
/// A report tells what was, and every VM that got the same one would choose the same target by it.
/// So a [decayed](LoadNews::Decayed) report counts in full only when it arrives. Calls that it counted
/// have ended after the time that a call takes, and others have come, of which nothing is known but
/// how many there are on average: the estimate moves from the report to the average within that
/// time. See Dahlin, "Interpreting Stale Load Information" (IEEE TPDS 2000), and Mitzenmacher, "How
/// Useful Is Old Information?" (IEEE TPDS 2000).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    news: LoadNews,
    /// Calls of other VMs by the last report.
    others: f64,
    /// Average of the reports.
    mean_others: f64,
    /// Time that work takes by the last report, 1 as usual.
    pace: f64,
    reported_at: Option<Instant>,
}

impl LoadEstimate {
    /// Returns an estimate without reports.
    pub(crate) fn new(news: LoadNews) -> LoadEstimate {
        LoadEstimate { news, pace: 1.0, ..LoadEstimate::default() }
    }

    /// Forgets all reports.
    pub(crate) fn reset(&mut self) {
        *self = LoadEstimate::new(self.news);
    }

    /// Records a report; `own_calls` of the reported ones are this VM's.
    pub(crate) fn record(&mut self, report: LoadReport, own_calls: u32, slots: u32, now: Instant) {
        let reported = report.busy.saturating_add(report.queued).saturating_sub(own_calls);
        let others = f64::from(reported.min(slots.saturating_mul(MAX_OTHER_CALLS_PER_SLOT)));
        let kept = self.reported_at.map_or(0.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            // A report weighs as much as the time since the last one, or a call's worth of it.
            (-age.max(AVERAGE_TIME_SECONDS / 16.0) / AVERAGE_TIME_SECONDS).exp()
        });
        self.mean_others = self.mean_others * kept + others * (1.0 - kept);
        self.others = others;
        let (least, most) = PACE_BOUNDS_PERCENT;
        let pace_percent = match report.pace_percent {
            0 => USUAL_PACE_PERCENT,
            percent => percent.clamp(least, most),
        };
        self.pace = f64::from(pace_percent) / f64::from(USUAL_PACE_PERCENT);
        self.reported_at = Some(now);
    }

    /// Returns the number of calls of other VMs to expect at the target, where a call takes
    /// `call_seconds`.
    pub(crate) fn others(&self, call_seconds: f64, now: Instant) -> f64 {
        let Some(at) = self.reported_at else { return 0.0 };
        let age = now.saturating_duration_since(at);
        match self.news {
            LoadNews::Held if age < HELD_REPORT_TTL => self.others,
            LoadNews::Held => 0.0,
            LoadNews::Decayed => {
                let weight = (-age.as_secs_f64() / call_seconds).exp();
                let forgotten = (-age.as_secs_f64() / AVERAGE_TIME_SECONDS).exp();
                self.mean_others * forgotten * (1.0 - weight) + self.others * weight
            }
        }
    }

    /// Returns the time that work takes to what it takes usually.
    pub(crate) fn pace(&self, now: Instant) -> f64 {
        let Some(at) = self.reported_at else { return 1.0 };
        match self.news {
            LoadNews::Held => 1.0,
            LoadNews::Decayed => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                1.0 + (self.pace - 1.0) * (-age / PACE_TIME_SECONDS).exp()
            }
        }
    }
}
