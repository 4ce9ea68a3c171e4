//! Records of the work that is or was suspect.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::WorkFingerprint;
use crate::WorkRecord;
use crate::quarantine::record::BLOCKING_ENDS;

/// Time for which the first block holds.
const FIRST_BLOCK: Duration = Duration::from_secs(60);
/// Factor by which each trial after a block that ends a target too extends the next block. With it, three trials
/// fall into the first day.
const BLOCK_FACTOR: u32 = 16;
/// Maximum duration of a block, and how long a record is kept after its last change.
const MAX_BLOCK: Duration = Duration::from_secs(24 * 3_600);
/// Time for which VMs tell each other of a change, whatever it is.
const SHARE_TIME: Duration = Duration::from_secs(60);
/// Number of ends from which on VMs tell each other of a record for as long as it is kept.
const LASTING_ENDS: usize = 2;
/// Maximum number of records, of some 250 bytes each.
const MAX_RECORDS: usize = 1_024;

/// A record, with its times on this VM's clock.
#[derive(Clone, Debug)]
pub(super) struct WorkEntry {
    pub(super) record: WorkRecord,
    /// When the last end was seen, or the work was cleared.
    changed_at: Instant,
    /// When this VM learned of it.
    learned_at: Instant,
}

/// The records that one VM holds.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkTable {
    entries: BTreeMap<WorkFingerprint, WorkEntry>,
    /// Number of entries that hold something against their work.
    held: usize,
}

impl WorkEntry {
    /// Returns when the block ends; `None` if the work is not blocked.
    pub(super) fn blocked_until(&self) -> Option<Instant> {
        if !self.record.is_blocking() {
            return None;
        }
        if self.record.is_blocked_by_operator {
            return Some(self.changed_at + MAX_BLOCK);
        }
        let later_trials = self.record.counted_ends() - BLOCKING_ENDS;
        let factor = BLOCK_FACTOR.saturating_pow(u32::try_from(later_trials).unwrap_or(u32::MAX));
        let block = FIRST_BLOCK.checked_mul(factor).unwrap_or(MAX_BLOCK).min(MAX_BLOCK);
        Some(self.changed_at + block)
    }

    /// Returns the record as it is told to other VMs.
    fn to_record(&self, now: Instant) -> WorkRecord {
        let age = now.saturating_duration_since(self.changed_at);
        WorkRecord { age, ..self.record.clone() }
    }

    fn is_shared(&self, now: Instant) -> bool {
        now < self.changed_at + SHARE_TIME || self.record.counted_ends() >= LASTING_ENDS
    }
}

impl WorkTable {
    /// Returns whether nothing is held against any work.
    pub(super) fn is_idle(&self) -> bool {
        self.held == 0
    }

    /// Returns the entry of the work.
    pub(super) fn get(&self, work: &WorkFingerprint) -> Option<&WorkEntry> {
        self.entries.get(work)
    }

    /// Returns the record of the work as it is told to other VMs.
    pub(super) fn record(&self, work: &WorkFingerprint, now: Instant) -> Option<WorkRecord> {
        self.entries.get(work).map(|entry| entry.to_record(now))
    }

    /// Returns the number of trials of the work that ended a target.
    pub(super) fn ended_trials(&self, work: &WorkFingerprint) -> usize {
        self.entries.get(work).map_or(0, |entry| entry.record.ended_trials())
    }

    /// Merges a record from this VM or another one; returns whether it changed anything.
    pub(super) fn merge(&mut self, record: &WorkRecord, now: Instant) -> bool {
        let changed_at = now.checked_sub(record.age).unwrap_or(now);
        let Some(entry) = self.entries.get_mut(&record.work) else {
            // Nothing was ever held against the work.
            if record.is_clear() && record.generation == 0 {
                return false;
            }
            let mut own = WorkRecord::new(record.work, record.service.clone());
            own.merge(record);
            let entry = WorkEntry { record: own, changed_at, learned_at: now };
            self.entries.insert(record.work, entry);
            self.tidy(now);
            return true;
        };
        let is_later_generation = record.generation > entry.record.generation;
        let has_changed = entry.record.merge(record);
        if has_changed {
            entry.changed_at = match is_later_generation {
                true => changed_at,
                false => entry.changed_at.max(changed_at),
            };
            entry.learned_at = now;
            self.tidy(now);
        }
        has_changed
    }

    /// Changes a record, which is created if there is none; returns whether it changed.
    pub(super) fn update(
        &mut self,
        new_record: WorkRecord,
        now: Instant,
        change: impl FnOnce(&mut WorkRecord) -> bool,
    ) -> bool {
        let entry = WorkEntry { record: new_record, changed_at: now, learned_at: now };
        let entry = self.entries.entry(entry.record.work).or_insert(entry);
        let has_changed = change(&mut entry.record);
        if has_changed {
            entry.changed_at = now;
            entry.learned_at = now;
        }
        self.tidy(now);
        has_changed
    }

    /// Returns the records that this VM learned within `period`, newest first.
    pub(super) fn news(&self, period: Duration, limit: usize, now: Instant) -> Vec<WorkRecord> {
        let entries = self.entries.values().filter(|entry| now < entry.learned_at + period);
        newest_records(entries, limit, now)
    }

    /// Returns the records that VMs tell each other of, those with most ends first.
    pub(super) fn shared_records(&self, limit: usize, now: Instant) -> Vec<WorkRecord> {
        let mut shared: Vec<&WorkEntry> =
            self.entries.values().filter(|entry| entry.is_shared(now)).collect();
        shared.sort_by_key(|entry| {
            std::cmp::Reverse((entry.record.counted_ends(), entry.changed_at))
        });
        shared.truncate(limit);
        shared.into_iter().map(|entry| entry.to_record(now)).collect()
    }

    /// Returns a digest of the records that VMs tell each other of; 0 if there are none.
    pub(super) fn digest(&self, now: Instant) -> u64 {
        let shared = self.entries.values().filter(|entry| entry.is_shared(now));
        shared.fold(0, |digest, entry| digest.wrapping_add(entry.record.digest()))
    }

    /// Returns all records, newest first.
    pub(super) fn all_records(&self, now: Instant) -> Vec<WorkRecord> {
        newest_records(self.entries.values(), MAX_RECORDS, now)
    }

    /// Removes outdated entries and, over the limit, the one with the fewest ends, of these the oldest.
    fn tidy(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.changed_at + MAX_BLOCK);
        if self.entries.len() > MAX_RECORDS {
            let least = self.entries.values().min_by_key(|entry| {
                let is_operators = entry.record.is_blocked_by_operator;
                (is_operators, entry.record.counted_ends(), entry.changed_at)
            });
            if let Some(work) = least.map(|entry| entry.record.work) {
                self.entries.remove(&work);
            }
        }
        self.held = self.entries.values().filter(|entry| !entry.record.is_clear()).count();
    }
}

fn newest_records<'a>(
    entries: impl Iterator<Item = &'a WorkEntry>,
    limit: usize,
    now: Instant,
) -> Vec<WorkRecord> {
    let mut entries: Vec<&WorkEntry> = entries.collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.learned_at));
    entries.truncate(limit);
    entries.into_iter().map(|entry| entry.to_record(now)).collect()
}
