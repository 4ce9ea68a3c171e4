//! Evacuations known to one VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::EvacuationRecord;
use crate::FailureDomainId;
use crate::Revision;
use crate::objects::era_of;

/// Maximum number of failure domains in the table. A deployment has a few; the rest are entries with other names.
const MAX_RECORDS: usize = 256;

/// The latest record of each failure domain. The end of an evacuation is kept too, so that an outdated record of a peer
/// does not bring it back.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    records: BTreeMap<FailureDomainId, EvacuationRecord>,
}

impl EvacuationTable {
    /// Merges a record; returns whether it was new.
    ///
    /// A new failure domain is ignored if the table is full of evacuations in force.
    pub fn merge(&mut self, record: &EvacuationRecord) -> bool {
        let held = self.records.get(&record.failure_domain);
        let is_known = held.is_some();
        if held.is_some_and(|held| !record.supersedes(held)) || !(is_known || self.make_room()) {
            return false;
        }
        self.records.insert(record.failure_domain.clone(), record.clone());
        true
    }

    /// Applies the platform's list as of `revision`: evacuations that it lacks have ended unless they were written later.
    /// Returns the records that were new.
    ///
    /// With `keeps_earlier_eras`, those of an earlier era of the store stay in force: a store that was restored from a
    /// copy may have forgotten them, and the operator writes them again.
    pub fn apply_list(
        &mut self,
        listed: &[FailureDomainRevision],
        revision: Revision,
        keeps_earlier_eras: bool,
    ) -> Vec<EvacuationRecord> {
        let is_listed = |domain: &FailureDomainId| listed.iter().any(|(name, _)| name == domain);
        let is_kept = |record: &EvacuationRecord| {
            keeps_earlier_eras && era_of(record.revision) < era_of(revision)
        };
        let ended = self.records.values().filter(|record| {
            record.is_in_force && !is_listed(&record.failure_domain) && !is_kept(record)
        });
        let ended =
            ended.map(|record| EvacuationRecord { revision, is_in_force: false, ..record.clone() });
        let begun = listed.iter().map(|(failure_domain, revision)| EvacuationRecord {
            failure_domain: failure_domain.clone(),
            revision: *revision,
            is_in_force: true,
        });
        let records: Vec<EvacuationRecord> = ended.chain(begun).collect();
        records.into_iter().filter(|record| self.merge(record)).collect()
    }

    /// Returns the failure domains whose targets get no new calls.
    pub fn in_force(&self) -> BTreeSet<FailureDomainId> {
        let in_force = self.records.values().filter(|record| record.is_in_force);
        in_force.map(|record| record.failure_domain.clone()).collect()
    }

    /// Iterates over the latest record of each failure domain, for heartbeats.
    pub fn records(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.records.values()
    }

    /// Drops the oldest ended evacuation if the table is full; returns whether there is room for another one.
    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let ended = self.records.values().filter(|record| !record.is_in_force);
        let oldest = ended.min_by_key(|record| record.revision);
        let Some(domain) = oldest.map(|record| record.failure_domain.clone()) else { return false };
        self.records.remove(&domain).is_some()
    }
}

/// A failure domain whose evacuation the platform lists, and the revision at which its entry was written.
pub type FailureDomainRevision = (FailureDomainId, Revision);
