//! List and watch of evacuations, on platforms that have them.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use oleanderwind_policy::EvacuationRecord;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FailureDomainRevision;
use oleanderwind_policy::Revision;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::WatchEvent;
use oleanderwind_wire::WatchKind;

use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::edge::WatchHold;
use crate::sync::MAX_BATCH_EVENTS;
use crate::sync::SyncTask;
use crate::time::epoch_milliseconds;

impl SyncTask {
    /// Lists the evacuations; returns `None` if the platform has none.
    pub(super) async fn list_evacuations(&self) -> Result<Option<EvacuationList>, PlatformError> {
        if !self.platform.has_evacuations() {
            return Ok(None);
        }
        let list = self.platform.list(ObjectKind::Evacuations).await?;
        let revision = list.metadata.resource_version.parse().unwrap_or(0);
        let listed = list.items.iter().map(|entry| (failure_domain(entry), entry.revision()));
        Ok(Some(EvacuationList { listed: listed.collect(), revision }))
    }

    /// Applies a list of evacuations; the next watch starts at its revision.
    pub(super) fn apply_evacuations(&self, list: &EvacuationList) {
        let keeps_earlier_eras = self.holds_earlier_eras();
        self.peers.apply_evacuation_list(&list.listed, list.revision, keeps_earlier_eras);
        self.evacuation_revision.set(Some(list.revision));
    }

    /// Watches the evacuations until the watch ends or fails. Does nothing if the platform has none.
    ///
    /// A VM that has held no watch before lists them first.
    pub(super) async fn watch_evacuations(&self) -> Result<(), PlatformError> {
        if self.evacuation_revision.get().is_none()
            && let Some(list) = self.list_evacuations().await?
        {
            self.apply_evacuations(&list);
        }
        let Some(after) = self.evacuation_revision.get() else { return Ok(()) };
        let hold = self.evacuation_hold();
        let events = self.platform.watch(ObjectKind::Evacuations, after, hold).await?;
        let mut batches = events.ready_chunks(MAX_BATCH_EVENTS);
        while let Some(batch) = batches.next().await {
            let mut records = Vec::new();
            let mut result = Ok(());
            for event in batch {
                match event {
                    Ok(event) => records.extend(self.read_event(&event)),
                    Err(error) => result = Err(error),
                }
            }
            self.record_contact(&[]);
            self.peers.apply_evacuations(&records);
            result.inspect_err(|error| log::info!("watch of evacuations failed: {error}"))?;
        }
        Ok(())
    }

    /// Returns the record of an event, if it changes an evacuation, and advances the watch's revision.
    fn read_event(&self, event: &WatchEvent) -> Option<EvacuationRecord> {
        let revision = event.object.revision();
        self.evacuation_revision.set(self.evacuation_revision.get().max(Some(revision)));
        let is_in_force = match event.kind {
            WatchKind::Added | WatchKind::Modified => true,
            WatchKind::Deleted => false,
            WatchKind::Bookmark => return None,
        };
        let failure_domain = failure_domain(&event.object);
        Some(EvacuationRecord { failure_domain, revision, is_in_force })
    }

    /// Returns how long the platform may hold the next call of the watch open.
    fn evacuation_hold(&self) -> WatchHold {
        let (pace, peers) = (self.pace, self.peers.clone());
        Rc::new(move || {
            let time_of_day = Duration::from_millis(epoch_milliseconds());
            pace.evacuation_hold(peers.watch_position(), time_of_day)
        })
    }
}

/// The platform's list of evacuations.
pub(super) struct EvacuationList {
    listed: Vec<FailureDomainRevision>,
    /// Revision at which the list was read.
    revision: Revision,
}

impl EvacuationList {
    /// Returns the revision at which the list was read.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }
}

/// Returns the failure domain that an entry names.
fn failure_domain(entry: &ObjectDocument) -> FailureDomainId {
    entry.metadata.name.as_str().into()
}
