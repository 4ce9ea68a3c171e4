//! What one VM knows of work that may end targets, and what it decides.

use std::time::Duration;
use std::time::Instant;

use crate::ServiceId;
use crate::TargetEnd;
use crate::TargetId;
use crate::TrialDecision;
use crate::WorkFingerprint;
use crate::WorkRecord;
use crate::quarantine::arbiter::TrialArbiter;
use crate::quarantine::recent::RecentAnswers;
use crate::quarantine::table::WorkTable;

/// How long heartbeats carry a record after it changed here.
const NEWS_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of records in a heartbeat.
const MAX_NEWS: usize = 32;
/// Maximum number of records in the reply to a VM that lacks some, of some 100 bytes each.
const MAX_SHARED_RECORDS: usize = 256;

/// What a VM may do with work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkVerdict {
    /// It may be sent to targets.
    Clear,
    /// It may be sent to a target in a trial.
    Suspect,
    /// It must not reach a target.
    Blocked {
        /// Time until the next trial may begin.
        retry_after: Duration,
    },
}

impl WorkVerdict {
    /// Returns the time until the next trial, if the work is blocked.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            WorkVerdict::Blocked { retry_after } => Some(retry_after),
            WorkVerdict::Clear | WorkVerdict::Suspect => None,
        }
    }
}

/// Quarantine of one VM.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use oleanderwind_policy::*;
///
/// let now = Instant::now();
/// let mut engine = QuarantineEngine::default();
/// let work = WorkFingerprint::of(&[b"GET", b"/deadly"]);
/// let service: ServiceId = "searches".into();
/// assert_eq!(engine.verdict(&work, now), WorkVerdict::Clear);
/// assert!(engine.record_end(work, &service, TargetEnd::outside_trial(&"a".into(), 1), now));
/// for target in ["b", "c"] {
///     let known = engine.record(&work, now).expect("the work is suspect");
///     assert!(engine.record_end(work, &service, TargetEnd::in_trial(&target.into(), 1, &known), now));
/// }
/// assert!(matches!(engine.verdict(&work, now), WorkVerdict::Blocked { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuarantineEngine {
    table: WorkTable,
    arbiter: TrialArbiter,
    recent: RecentAnswers,
}

/// Decisions and evidence.
impl QuarantineEngine {
    /// Returns whether nothing is known against any work, so that no request has to be looked up.
    pub fn is_idle(&self) -> bool {
        self.table.is_idle()
    }

    /// Returns what may be done with the work.
    pub fn verdict(&self, work: &WorkFingerprint, now: Instant) -> WorkVerdict {
        let Some(entry) = self.table.get(work).filter(|entry| !entry.record.is_clear()) else {
            return WorkVerdict::Clear;
        };
        match entry.blocked_until().filter(|until| now < *until) {
            Some(until) => {
                WorkVerdict::Blocked { retry_after: until.saturating_duration_since(now) }
            }
            None => WorkVerdict::Suspect,
        }
    }

    /// Records that a process of a target ended while it ran the work; returns whether that is news.
    pub fn record_end(
        &mut self,
        work: WorkFingerprint,
        service: &ServiceId,
        end: TargetEnd,
        now: Instant,
    ) -> bool {
        let record = WorkRecord::new(work, service.clone());
        let is_news = self.table.update(record, now, |record| record.add_end(end));
        if is_news && end.in_trial {
            self.arbiter.record_target_end(service, now);
        }
        is_news
    }

    /// Records that work with this hash was answered; the hash is of this VM's own.
    pub fn record_recent_answer(&mut self, hash: u64, now: Instant) {
        self.recent.record(hash, now);
    }

    /// Returns whether work with this hash was answered recently, so that it is not suspect.
    pub fn is_recently_answered(&self, hash: u64, now: Instant) -> bool {
        self.recent.contains(hash, now)
    }

    /// Clears the work, since a target ran it and goes on, or by an operator's order; returns whether that
    /// is news.
    pub fn clear(&mut self, work: &WorkFingerprint, now: Instant) -> bool {
        let held = self.table.get(work).filter(|entry| !entry.record.is_clear());
        let Some(record) = held.map(|entry| entry.record.clone()) else { return false };
        self.table.update(record, now, |record| {
            record.clear();
            true
        })
    }

    /// Blocks the work by an operator's order; returns whether that is news.
    pub fn block(&mut self, work: WorkFingerprint, service: &ServiceId, now: Instant) -> bool {
        let record = WorkRecord::new(work, service.clone());
        self.table.update(record, now, |record| {
            !std::mem::replace(&mut record.is_blocked_by_operator, true)
        })
    }
}

/// What VMs tell each other.
impl QuarantineEngine {
    /// Returns the record of the work.
    pub fn record(&self, work: &WorkFingerprint, now: Instant) -> Option<WorkRecord> {
        self.table.record(work, now)
    }

    /// Returns all records, newest first.
    pub fn records(&self, now: Instant) -> Vec<WorkRecord> {
        self.table.all_records(now)
    }

    /// Merges a record of another VM; returns whether it is news.
    pub fn merge(&mut self, record: &WorkRecord, now: Instant) -> bool {
        let trials_before = self.table.ended_trials(&record.work);
        let is_news = self.table.merge(record, now);
        if self.table.ended_trials(&record.work) > trials_before {
            self.arbiter.record_target_end(&record.service, now);
        }
        is_news
    }

    /// Returns the records that the next heartbeat carries.
    pub fn news(&self, now: Instant) -> Vec<WorkRecord> {
        self.table.news(NEWS_PERIOD, MAX_NEWS, now)
    }

    /// Returns the records for a VM whose digest differs from this VM's.
    pub fn shared_records(&self, now: Instant) -> Vec<WorkRecord> {
        self.table.shared_records(MAX_SHARED_RECORDS, now)
    }

    /// Returns a digest of the shared records; 0 if there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        self.table.digest(now)
    }
}

/// Permission of trials.
impl QuarantineEngine {
    /// Decides on a trial that another VM or this one asks for, with what the asking VM knows of the work.
    ///
    /// The trial counts as under way for `hold` if its end is not reported.
    pub fn begin_trial(
        &mut self,
        record: &WorkRecord,
        target: &TargetId,
        hold: Duration,
        now: Instant,
    ) -> TrialDecision {
        self.merge(record, now);
        if self.verdict(&record.work, now) != WorkVerdict::Suspect {
            return TrialDecision::Unneeded;
        }
        let held = self.table.get(&record.work).map(|entry| &entry.record);
        if held.is_some_and(WorkRecord::has_ended_trial)
            && self.arbiter.is_recovering(&record.service, now)
        {
            return TrialDecision::Postponed;
        }
        self.arbiter.begin(record.work, target, hold, now)
    }

    /// Records that a trial is over, with what the asking VM knows of the work now; returns whether that is
    /// news.
    ///
    /// It is unclear if the call got no reply and the target seems to live.
    pub fn end_trial(
        &mut self,
        record: &WorkRecord,
        target: &TargetId,
        is_unclear: bool,
        now: Instant,
    ) -> bool {
        self.arbiter.end(&record.work, target, is_unclear, now);
        self.merge(record, now)
    }
}
