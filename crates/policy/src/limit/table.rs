//! Limits of targets known to one VM.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::RequestRate;
use crate::TargetId;

/// How long heartbeats carry a change.
const GOSSIP_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of records in one heartbeat.
const MAX_RECORDS_PER_HEARTBEAT: usize = 16;
/// How long the end of a limit is kept, so that an outdated record of a peer does not bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of targets in the table.
const MAX_ENTRIES: usize = 4_096;

/// What is known of the limit of one process of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitRecord {
    /// The target.
    pub target: TargetId,
    /// Start of the process that named the limit.
    pub incarnation: u64,
    /// The limit; `None` once it has ended.
    pub rate: Option<RequestRate>,
    /// When the call left whose answer said so.
    pub observed_at: Instant,
}

impl LimitRecord {
    /// Returns whether this record replaces `held`: that of a later process does, and of the same process that of a
    /// later call.
    fn supersedes(&self, held: &LimitRecord) -> bool {
        (self.incarnation, self.observed_at) > (held.incarnation, held.observed_at)
    }
}

/// Effect of a record on what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// None, or a confirmation of what is known.
    Unchanged,
    /// The target has a limit now.
    Named,
    /// The target has another limit now.
    Changed,
    /// The target has no limit any more.
    Ended,
}

/// A record and when it changed what was known.
#[derive(Clone, Debug)]
struct LimitEntry {
    record: LimitRecord,
    changed_at: Instant,
}

/// The latest limit of each target, from its answers or from peers.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: HashMap<TargetId, LimitEntry>,
}

impl LimitTable {
    /// Merges a record, and returns its effect.
    pub fn merge(&mut self, record: &LimitRecord, now: Instant) -> LimitChange {
        let held = self.entries.get_mut(&record.target);
        let Some(entry) = held else {
            if record.rate.is_none() {
                return LimitChange::Unchanged;
            }
            let entry = LimitEntry { record: record.clone(), changed_at: now };
            self.entries.insert(record.target.clone(), entry);
            self.evict_oldest(now);
            return LimitChange::Named;
        };
        if !record.supersedes(&entry.record) {
            return LimitChange::Unchanged;
        }
        let is_same_process = record.incarnation == entry.record.incarnation;
        let change = match (entry.record.rate, record.rate) {
            (held, new) if held == new && is_same_process => LimitChange::Unchanged,
            (None, Some(_)) => LimitChange::Named,
            (Some(_), Some(_)) => LimitChange::Changed,
            (Some(_), None) => LimitChange::Ended,
            (None, None) => LimitChange::Unchanged,
        };
        entry.record = record.clone();
        if change != LimitChange::Unchanged {
            entry.changed_at = now;
        }
        change
    }

    /// Returns what is known of a target.
    pub fn record(&self, target: &TargetId) -> Option<&LimitRecord> {
        self.entries.get(target).map(|entry| &entry.record)
    }

    /// Returns the limit of a process of a target, if one is known that has not ended.
    pub fn limit_in_force(&self, target: &TargetId, incarnation: u64) -> Option<&LimitRecord> {
        self.record(target)
            .filter(|record| record.rate.is_some() && record.incarnation == incarnation)
    }

    /// Returns the changes for the next heartbeat, newest first.
    pub fn recent_records(&self, now: Instant) -> Vec<LimitRecord> {
        let is_recent = |entry: &&LimitEntry| now < entry.changed_at + GOSSIP_PERIOD;
        let mut recent: Vec<&LimitEntry> = self.entries.values().filter(is_recent).collect();
        recent.sort_by_key(|entry| std::cmp::Reverse(entry.changed_at));
        recent.truncate(MAX_RECORDS_PER_HEARTBEAT);
        recent.into_iter().map(|entry| entry.record.clone()).collect()
    }

    /// Returns the limits in force, for a VM that starts.
    pub fn limits_in_force(&self) -> Vec<LimitRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| record.rate.is_some()).cloned().collect()
    }

    /// Removes what is not needed any more, then the oldest records beyond the maximum.
    fn evict_oldest(&mut self, now: Instant) {
        let is_needed = |entry: &LimitEntry| {
            entry.record.rate.is_some() || now < entry.changed_at + ENDED_RETENTION
        };
        self.entries.retain(|_, entry| is_needed(entry));
        while self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.values().min_by_key(|entry| entry.record.observed_at);
            let Some(target) = oldest.map(|entry| entry.record.target.clone()) else { return };
            self.entries.remove(&target);
        }
    }
}
