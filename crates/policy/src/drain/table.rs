//! Drain notices known to one VM.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;

/// How long heartbeats carry a record after it was received.
const GOSSIP_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of records in one heartbeat.
const MAX_RECORDS_PER_HEARTBEAT: usize = 8;
/// A notice this much later than the recorded one, in milliseconds, is a new departure of the same
/// target.
const DEDUP_WINDOW_MS: u64 = 60_000;
/// Maximum number of targets in the table.
const MAX_ENTRIES: usize = 1_024;

/// A target that announced its departure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecord {
    /// The target that is leaving.
    pub target: TargetId,
    /// Process of the target that is leaving; 0 if the notice does not tell.
    pub incarnation: u64,
    /// When the first VM received the notice, in milliseconds since the Unix epoch by its clock.
    pub sequence: u64,
}

/// A received record.
#[derive(Clone, Copy, Debug)]
struct DrainEntry {
    incarnation: u64,
    sequence: u64,
    received_at: Instant,
}

/// The newest drain notice of each target, received from the target or from a peer.
///
/// An entry is kept to recognise duplicate notices until enough newer entries evict it. The table
/// does not decide whether a target is back in service; the platform's listing does.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    entries: BTreeMap<TargetId, DrainEntry>,
}

impl DrainTable {
    /// Number of peers to which a VM relays a new notice from a peer.
    pub const RELAY_FANOUT: usize = 3;

    /// Records a notice from a target or a peer; returns whether it announces a new departure.
    ///
    /// Many VMs may receive the notice from the target itself, at slightly different times. A
    /// notice less than a minute later than the recorded one therefore refers to the same
    /// departure, unless it is of a later process.
    pub fn observe(&mut self, record: &DrainRecord, now: Instant) -> bool {
        let is_known = |old: &DrainEntry| match record.incarnation.cmp(&old.incarnation) {
            Ordering::Less => true,
            Ordering::Equal => record.sequence < old.sequence.saturating_add(DEDUP_WINDOW_MS),
            Ordering::Greater => false,
        };
        if self.entries.get(&record.target).is_some_and(is_known) {
            return false;
        }
        let entry = DrainEntry {
            incarnation: record.incarnation,
            sequence: record.sequence,
            received_at: now,
        };
        self.entries.insert(record.target.clone(), entry);
        self.evict_oldest();
        true
    }

    /// Returns the records for the next heartbeat, newest first.
    pub fn recent_records(&self, now: Instant) -> Vec<DrainRecord> {
        let is_recent = |entry: &DrainEntry| now < entry.received_at + GOSSIP_PERIOD;
        let mut recent: Vec<(&TargetId, &DrainEntry)> =
            self.entries.iter().filter(|(_, entry)| is_recent(entry)).collect();
        recent.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.received_at));
        recent.truncate(MAX_RECORDS_PER_HEARTBEAT);
        let record = |(target, entry): (&TargetId, &DrainEntry)| DrainRecord {
            target: target.clone(),
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        };
        recent.into_iter().map(record).collect()
    }

    /// Removes the entry received longest ago if the table is over its limit.
    fn evict_oldest(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.received_at);
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.entries.remove(&target);
        }
    }
}
