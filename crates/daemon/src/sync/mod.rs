//! Configuration sync from the platform, on the VMs that hold its watches.

mod duty;
mod evacuations;
mod registration;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use futures_util::StreamExt;
use futures_util::future::try_join;
use futures_util::future::try_join_all;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::Era;
use oleanderwind_policy::MissingObjects;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::OutageTracker;
use oleanderwind_policy::Revision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WatchBackoff;
use oleanderwind_policy::WatchDuty;
use oleanderwind_policy::WatchPace;
use oleanderwind_policy::era_of;
use oleanderwind_wire::WatchEvent;
use oleanderwind_wire::WatchKind;
use tokio::sync::Notify;

use crate::directory::ChangeSource;
use crate::directory::DirectoryService;
use crate::edge::PlatformError;
use crate::edge::WatchHold;
use crate::edge::platform_kind;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::peers::PeerService;
use crate::peers::configuration_object;
use crate::platform::PlatformService;
use crate::sync::evacuations::EvacuationList;
use crate::sync::registration::RegistrationTask;
use crate::time::epoch_milliseconds;
use crate::time::milliseconds;

/// Interval at which a VM checks whether it should hold watches.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which the VMs of a new fleet register: they start within 0.3 s of one another and
/// register 0.3 s after their start.
const REGISTRATION_TIME: Duration = Duration::from_millis(700);
/// How long a new VM waits for configuration from the watch holders before it lists the platform
/// itself. They list within one second, and three of their heartbeats arrive in the next two.
const PEER_WAIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of watch events that are applied together. A page of the users' store contains up
/// to a few hundred, and peers pull about as many at a time.
const MAX_BATCH_EVENTS: usize = 256;

/// Service that lists all kinds of objects and watches them while this VM is a watch holder.
pub(crate) struct SyncService {
    task: RefCell<Option<JoinHandle<()>>>,
}

/// Task that lists and watches.
struct SyncTask {
    vm: VmId,
    platform: Rc<PlatformService>,
    peers: Rc<PeerService>,
    directory: Rc<DirectoryService>,
    pace: WatchPace,
    /// Whether the fleet starts for the first time, so that no VM is listed yet.
    is_first_start: bool,
    /// When calls to the platform began to fail; `None` while they succeed.
    unreachable_since: Cell<Option<Instant>>,
    /// Outages of the platform, in which entries of living targets may expire.
    outages: Cell<OutageTracker>,
    /// Era of the platform's store at the last list.
    listed_era: Cell<Option<Era>>,
    /// Revision after which the next watch of evacuations starts; `None` while this VM holds no watches.
    evacuation_revision: Cell<Option<Revision>>,
    duty: Cell<WatchDuty>,
    /// Wakes the task that tells peers whether the platform refuses this VM.
    refusal_changes: Notify,
}

/// Revision after which the next watch of each kind starts.
type KindRevisions = Vec<(ObjectKind, Revision)>;

impl SyncService {
    /// Starts the task, and the registration of this VM if the platform requires it.
    pub(crate) fn start(kernel: &Rc<Kernel>) -> Result<SyncService, KernelError> {
        let task = SyncTask {
            vm: kernel.settings().vm.clone(),
            platform: kernel.platform()?,
            peers: kernel.peers()?,
            directory: kernel.directory()?,
            pace: WatchPace::new(
                kernel.settings().news_limit(),
                kernel.settings().platform_history,
            ),
            is_first_start: kernel.settings().is_first_start,
            unreachable_since: Cell::new(None),
            outages: Cell::new(OutageTracker::new(kernel.settings().lapse_hold)),
            listed_era: Cell::new(None),
            evacuation_revision: Cell::new(None),
            duty: Cell::new(WatchDuty::default()),
            refusal_changes: Notify::new(),
        };
        let backoff = WatchBackoff::new(
            kernel.settings().seed,
            kernel.settings().platform_retry,
            Instant::now(),
        );
        let task = actix_rt::spawn(task.run(backoff));
        if kernel.platform()?.requires_self_registration() {
            actix_rt::spawn(RegistrationTask::new(kernel)?.run());
        }
        Ok(SyncService { task: RefCell::new(Some(task)) })
    }

    /// Aborts the task.
    pub(crate) fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

impl SyncTask {
    /// Lists, watches and tells peers of refusals until the task is aborted.
    async fn run(self, backoff: WatchBackoff) {
        tokio::join!(self.follow_platform(backoff), self.follow_refusals());
    }

    /// Lists and watches while this VM is on duty.
    async fn follow_platform(&self, mut backoff: WatchBackoff) {
        let mut revisions = None;
        let mut must_list = false;
        tokio::time::sleep_until(backoff.next_call().into()).await;
        self.wait_for_watch_holders().await;
        loop {
            if self.directory.is_configured() && !self.is_on_duty() {
                // Gossip keeps the store up to date; the next watch starts at its revision.
                revisions = None;
                self.evacuation_revision.set(None);
                self.peers.forget_platform_words();
                self.unreachable_since.set(None);
                // The role, by which a refusal ends, may have changed.
                if self.peers.is_refused() {
                    self.refusal_changes.notify_one();
                }
                tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
                continue;
            }
            tokio::time::sleep_until(backoff.next_call().into()).await;
            let held = revisions.take().or_else(|| self.held_revisions());
            let result = match held.filter(|_| !must_list) {
                Some(held) => tokio::select! {
                    result = self.watch_all(held) => result,
                    () = self.wait_for_other_holders() => continue,
                    () = self.wait_for_removal_check() => {
                        must_list = true;
                        continue;
                    }
                    // The watches begin anew with calls that do not wait.
                    () = self.wait_for_lone_silence() => continue,
                    () = self.wait_for_lead_of_peers() => continue,
                },
                None => self.list_all().await,
            };
            must_list = result.is_err() && !self.platform.supports_watch_resume();
            match result {
                Ok(next) => {
                    backoff.record_success(Instant::now());
                    revisions = Some(next);
                }
                Err(PlatformError::Expired) => {
                    backoff.record_success(Instant::now());
                    revisions = self.list_after_expiry(&mut backoff).await;
                }
                Err(error) => {
                    backoff.record_failure(Instant::now());
                    self.record_outage(&error, &backoff);
                }
            }
        }
    }

    /// Waits for configuration from the failure domain's watch holders, if this VM is none of them.
    ///
    /// Gives up after [`PEER_WAIT_TIMEOUT`].
    async fn wait_for_watch_holders(&self) {
        // The list of a new fleet is empty at first.
        if self.is_first_start || !self.list_vms().await {
            tokio::time::sleep(REGISTRATION_TIME).await;
            self.list_vms().await;
        }
        let deadline = Instant::now() + PEER_WAIT_TIMEOUT;
        while !self.peers.is_watch_holder()
            && !self.directory.is_configured()
            && Instant::now() < deadline
        {
            tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
        }
    }

    /// Lists the VMs; returns whether this one is among them, or true if the list fails.
    async fn list_vms(&self) -> bool {
        let list = match self.platform.list(platform_kind(ObjectKind::Vms)).await {
            Ok(list) => list,
            Err(error) => {
                log::info!("initial VM list failed: {error}");
                return true;
            }
        };
        self.record_contact(&[ObjectKind::Vms]);
        let objects = list.items.iter();
        let objects: Vec<ConfigurationObject> =
            objects.map(|object| configuration_object(ObjectKind::Vms, object)).collect();
        self.peers.apply_changes(&objects, ChangeSource::List);
        objects.iter().any(|object| *object.key.name == *self.vm)
    }

    /// Returns whether entries of an earlier era of the store are kept, as it was restored from a copy recently.
    fn holds_earlier_eras(&self) -> bool {
        self.outages.get().missing_objects(Instant::now()) == MissingObjects::KeepEarlierEras
    }

    /// Returns whether entries that vanish are kept, as the platform was away until recently.
    fn holds_removals(&self) -> bool {
        self.outages.get().holds_removals(Instant::now())
    }

    /// Updates the record of outages.
    fn update_outages(&self, update: impl FnOnce(&mut OutageTracker)) {
        let mut outages = self.outages.get();
        update(&mut outages);
        self.outages.set(outages);
    }

    /// Lists all kinds after a watch's revision has expired; retries until it succeeds.
    async fn list_after_expiry(&self, backoff: &mut WatchBackoff) -> Option<KindRevisions> {
        loop {
            match self.list_all().await {
                Ok(next) => return Some(next),
                Err(error) => {
                    backoff.record_failure(Instant::now());
                    self.record_outage(&error, backoff);
                    tokio::time::sleep_until(backoff.next_call().into()).await;
                }
            }
        }
    }

    /// Returns the revisions at which watches may start from the objects held.
    ///
    /// Returns `None` until the configuration is proven complete.
    fn held_revisions(&self) -> Option<KindRevisions> {
        let complete_revision = self.peers.complete_revision();
        let kinds = self.platform.kinds().iter().copied();
        (complete_revision > 0 && self.directory.is_configured())
            .then(|| kinds.map(|kind| (kind, complete_revision)).collect())
    }

    /// Lists all kinds and applies the result; returns where the watches start.
    async fn list_all(&self) -> Result<KindRevisions, PlatformError> {
        let lists = self.platform.kinds().iter().copied().map(async |kind| {
            let list = self.platform.list(platform_kind(kind)).await?;
            let revision = list.metadata.resource_version.parse().unwrap_or(0);
            let objects = list.items.iter().map(|object| configuration_object(kind, object));
            Ok::<_, PlatformError>(KindListing { kind, revision, objects: objects.collect() })
        });
        let (lists, evacuations) = try_join(try_join_all(lists), self.list_evacuations()).await?;
        self.record_contact(self.platform.kinds());
        let revision = lists.iter().map(|list| list.revision).min().unwrap_or(0);
        let era = era_of(revision);
        let mut revisions = lists.iter().map(|list| list.revision);
        let mut evacuation_revisions = evacuations.iter().map(EvacuationList::revision);
        if revisions.any(|revision| era_of(revision) != era)
            || evacuation_revisions.any(|revision| era_of(revision) != era)
        {
            return Err(PlatformError::Expired);
        }
        // What this VM holds may be of an earlier era, be it from a list or from peers.
        let complete_revision = self.peers.complete_revision();
        let is_restored = complete_revision > 0 && era > era_of(complete_revision)
            || self.listed_era.get().is_some_and(|listed| era > listed);
        self.listed_era.set(Some(era));
        if is_restored {
            self.update_outages(|outages| outages.record_restore(Instant::now()));
        }
        // Before the listing, which opens the gate of a VM that starts.
        if let Some(evacuations) = evacuations {
            self.apply_evacuations(&evacuations);
        }
        let objects: Vec<ConfigurationObject> =
            lists.iter().flat_map(|list| list.objects.iter().cloned()).collect();
        let mut listing = ObjectListing::from_platform(&objects, revision);
        let now = Instant::now();
        listing.missing = self.outages.get().missing_objects(now);
        self.peers.apply_listing(&listing);
        self.update_outages(|outages| outages.record_check(now));
        Ok(lists.iter().map(|list| (list.kind, list.revision)).collect())
    }

    /// Watches all kinds until their watches end; the first failure ends all of them.
    async fn watch_all(&self, held: KindRevisions) -> Result<KindRevisions, PlatformError> {
        self.peers.begin_watches();
        let progress: Vec<WatchProgress> = held.into_iter().map(WatchProgress::from).collect();
        let watches = try_join_all(progress.iter().map(|own| self.watch_one(own, &progress)));
        try_join(watches, self.watch_evacuations()).await?;
        Ok(progress.iter().map(|own| (own.kind, own.revision.get())).collect())
    }

    /// Returns how long the platform may hold the next call of a watch open.
    fn watch_hold(&self, kind: ObjectKind) -> WatchHold {
        let (pace, peers) = (self.pace, self.peers.clone());
        Rc::new(move || {
            let time_of_day = Duration::from_millis(epoch_milliseconds());
            pace.hold(kind, peers.watch_position(), time_of_day)
        })
    }

    /// Watches one kind until its watch ends or fails.
    async fn watch_one(
        &self,
        own: &WatchProgress,
        all: &[WatchProgress],
    ) -> Result<(), PlatformError> {
        let (kind, after) = (own.kind, own.revision.get());
        let events = self.platform.watch(platform_kind(kind), after, self.watch_hold(kind)).await?;
        let mut batches = events.ready_chunks(MAX_BATCH_EVENTS);
        while let Some(batch) = batches.next().await {
            // The last item of a batch may be the failure that ends the watch.
            if batch.first().is_some_and(Result::is_ok) {
                self.record_contact(&[kind]);
            }
            self.apply_batch(own, all, batch).inspect_err(|error| {
                log::info!(
                    kind = kind.as_str(),
                    after = own.revision.get(),
                    silent_ms = self.word_age_ms();
                    "watch failed: {error}"
                );
            })?;
        }
        Ok(())
    }

    /// Applies a batch of events as one change, up to the first error, then reports the progress.
    fn apply_batch(
        &self,
        own: &WatchProgress,
        all: &[WatchProgress],
        batch: Vec<Result<WatchEvent, PlatformError>>,
    ) -> Result<(), PlatformError> {
        let mut changed = Vec::new();
        let mut lapsed = Vec::new();
        let mut result = Ok(());
        for event in batch {
            let event = match event {
                Ok(event) => event,
                Err(error) => {
                    result = Err(error);
                    break;
                }
            };
            own.revision.set(own.revision.get().max(event.object.revision()));
            let mut object = configuration_object(own.kind, &event.object);
            match event.kind {
                WatchKind::Added | WatchKind::Modified => changed.push(object),
                WatchKind::Deleted if own.kind == ObjectKind::Targets && self.holds_removals() => {
                    lapsed.push(object.key.name);
                }
                WatchKind::Deleted => {
                    object.body = None;
                    changed.push(object);
                }
                WatchKind::Bookmark => {}
            }
        }
        if !changed.is_empty() {
            self.peers.apply_changes(&changed, ChangeSource::Watch);
        }
        self.directory.lapse_targets(&lapsed, ChangeSource::Watch);
        self.report_progress(all);
        result
    }

    /// Records that the platform answered about these kinds; logs the end of an outage.
    fn record_contact(&self, kinds: &[ObjectKind]) {
        if let Some(since) = self.unreachable_since.take() {
            log::info!(
                dependency = "platform",
                away_ms = milliseconds(since.elapsed()),
                silent_ms = self.word_age_ms();
                "dependency available again"
            );
        }
        self.peers.record_platform_word(kinds);
        if self.peers.is_refused() {
            self.refusal_changes.notify_one();
        }
        self.update_outages(|outages| outages.record_contact(Instant::now()));
    }

    /// Records that a call to the platform failed; each outage is logged once.
    fn record_outage(&self, error: &PlatformError, backoff: &WatchBackoff) {
        self.update_outages(OutageTracker::record_failure);
        self.peers.record_platform_failure();
        self.refusal_changes.notify_one();
        if self.unreachable_since.get().is_some() {
            return;
        }
        let now = Instant::now();
        self.unreachable_since.set(Some(now));
        let wait = backoff.next_call().saturating_duration_since(now);
        log::warn!(
            dependency = "platform",
            revision = self.peers.complete_revision(),
            silent_ms = self.word_age_ms(),
            next_try_ms = milliseconds(wait);
            "dependency unavailable: {error}"
        );
    }

    /// Returns the age of the platform's last word about the kind that has waited longest.
    fn word_age_ms(&self) -> u64 {
        milliseconds(self.peers.oldest_word_age().unwrap_or_default())
    }

    /// Reports the lowest revision of all watches, up to which the configuration is complete unless
    /// entries that vanished are kept.
    fn report_progress(&self, all: &[WatchProgress]) {
        if self.holds_removals() {
            return;
        }
        let lowest = all.iter().map(|kind| kind.revision.get()).min();
        self.peers.record_watch_progress(lowest.unwrap_or(0));
    }
}

/// Progress of the watch of one kind.
struct WatchProgress {
    kind: ObjectKind,
    revision: Cell<Revision>,
}

impl From<(ObjectKind, Revision)> for WatchProgress {
    fn from((kind, after): (ObjectKind, Revision)) -> WatchProgress {
        WatchProgress { kind, revision: Cell::new(after) }
    }
}

/// Listing of one kind.
struct KindListing {
    kind: ObjectKind,
    revision: Revision,
    objects: Vec<ConfigurationObject>,
}
