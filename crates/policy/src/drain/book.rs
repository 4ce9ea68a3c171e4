//! What one VM knows of targets' departures.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;

/// How long heartbeats carry a record after it was heard.
const CARRY_TIME: Duration = Duration::from_secs(10);
/// Records that one heartbeat carries.
const RECORDS_PER_MESSAGE: usize = 8;
/// Time after which a sign of the same target is news again, in milliseconds.
const RETELL_MS: u64 = 60_000;
/// Targets remembered.
const ENTRY_LIMIT: usize = 1_024;

/// A target that announced its departure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecord {
    /// The target.
    pub target: TargetId,
    /// When the first VM heard the sign, in milliseconds since the epoch by that VM's clock.
    pub sequence: u64,
}

/// A record as it was heard.
#[derive(Clone, Copy, Debug)]
struct DrainEntry {
    sequence: u64,
    heard_at: Instant,
}

/// Signs heard here or from peers, the newest of each target.
///
/// An entry stays as the answer to echoes until a fixed number newer ones push it out; whether the
/// target comes back is the platform's word, not the book's.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    entries: BTreeMap<TargetId, DrainEntry>,
}

impl DrainTable {
    /// Peers that a VM passes a peer's news on to.
    pub const RELAY_FANOUT: usize = 3;

    /// Takes a sign in that a target or a peer gave; says whether it is news.
    ///
    /// Many VMs may hear a target themselves, each a little later: a sign within a minute of the
    /// one held is the same departure.
    pub fn observe(&mut self, record: &DrainRecord, now: Instant) -> bool {
        let held = self.entries.get(&record.target);
        if held.is_some_and(|held| record.sequence < held.sequence.saturating_add(RETELL_MS)) {
            return false;
        }
        let entry = DrainEntry { sequence: record.sequence, heard_at: now };
        self.entries.insert(record.target.clone(), entry);
        self.forget_oldest();
        true
    }

    /// The records that the next heartbeat carries, the newest first.
    pub fn recent_records(&self, now: Instant) -> Vec<DrainRecord> {
        let is_recent = |entry: &DrainEntry| now < entry.heard_at + CARRY_TIME;
        let mut recent: Vec<(&TargetId, &DrainEntry)> =
            self.entries.iter().filter(|(_, entry)| is_recent(entry)).collect();
        recent.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.heard_at));
        recent.truncate(RECORDS_PER_MESSAGE);
        let record = |(target, entry): (&TargetId, &DrainEntry)| DrainRecord {
            target: target.clone(),
            sequence: entry.sequence,
        };
        recent.into_iter().map(record).collect()
    }

    /// Drops the entry heard longest ago when there are too many.
    fn forget_oldest(&mut self) {
        if self.entries.len() <= ENTRY_LIMIT {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard_at);
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.entries.remove(&target);
        }
    }
}
