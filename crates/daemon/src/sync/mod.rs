//! Hears configuration from the platform, on the VMs that hold its watches.

mod enrolment;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use futures_util::StreamExt;
use futures_util::future::try_join_all;
use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::Revision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WatchBackoff;
use oleanderwind_wire::WatchEvent;
use oleanderwind_wire::WatchKind;

use crate::directory::DirectoryService;
use crate::edge::PlatformError;
use crate::edge::platform_kind;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::peers::PeerService;
use crate::peers::configuration_object;
use crate::platform::PlatformService;
use crate::sync::enrolment::EnrolmentTask;
use crate::time::milliseconds;

/// How often a VM that holds no watch looks whether it should.
const HOLDER_POLL: Duration = Duration::from_millis(250);
/// How long a VM has to be no watch holder before it gives its watches up, so that a short
/// suspicion costs no calls: two rounds of heartbeats.
const RELIEF_TIME: Duration = Duration::from_secs(2);
/// Time for the VMs of a fleet that starts for the first time to enter themselves: they start
/// within 0.3 s and enter themselves after as long.
const ENTRY_TIME: Duration = Duration::from_millis(700);
/// How long a new VM waits for what the watch holders hold before it asks the platform itself: they
/// list within a second, and three of their heartbeats come in the next two.
const START_PATIENCE: Duration = Duration::from_secs(3);
/// Changes of a watch that are passed on together at most: a page of the users' store brings up to
/// a few hundred, and peers pull about as many at a time.
const WATCH_BATCH: usize = 256;

/// One task that lists every kind and watches them while this VM holds watches.
pub(crate) struct SyncService {
    task: RefCell<Option<JoinHandle<()>>>,
}

/// What the task works with.
struct SyncTask {
    vm: VmId,
    platform: Rc<PlatformService>,
    peers: Rc<PeerService>,
    directory: Rc<DirectoryService>,
    /// When the platform was lost, while it is.
    lost_since: Cell<Option<Instant>>,
}

/// Where each kind's next watch starts.
type KindRevisions = Vec<(ObjectKind, Revision)>;

impl SyncService {
    /// Starts the task.
    pub(crate) fn start(kernel: &Rc<Kernel>) -> Result<SyncService, KernelError> {
        let task = SyncTask {
            vm: kernel.settings().vm.clone(),
            platform: kernel.platform()?,
            peers: kernel.peers()?,
            directory: kernel.directory()?,
            lost_since: Cell::new(None),
        };
        let backoff = WatchBackoff::new(
            kernel.settings().seed,
            kernel.settings().platform_retry,
            Instant::now(),
        );
        let task = actix_rt::spawn(task.follow(backoff));
        if kernel.platform()?.requires_self_registration() {
            actix_rt::spawn(EnrolmentTask::new(kernel)?.enrol());
        }
        Ok(SyncService { task: RefCell::new(Some(task)) })
    }

    /// Ends the task.
    pub(crate) fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

impl SyncTask {
    /// Hears the platform for ever.
    async fn follow(self, mut backoff: WatchBackoff) {
        let mut revisions = None;
        let mut must_list = false;
        tokio::time::sleep_until(backoff.next_call().into()).await;
        self.await_holders().await;
        loop {
            if self.directory.is_configured() && !self.peers.is_watch_holder() {
                // Peers keep the store up to date, so that the next watch starts from there.
                revisions = None;
                tokio::time::sleep(HOLDER_POLL).await;
                continue;
            }
            tokio::time::sleep_until(backoff.next_call().into()).await;
            let held = revisions.take().or_else(|| self.held_revisions());
            let result = match held.filter(|_| !must_list) {
                Some(held) => tokio::select! {
                    result = self.watch_all(held) => result,
                    () = self.relieved() => continue,
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
                    self.note_lost(&error, &backoff);
                }
            }
        }
    }

    /// Leaves the first lists to the watch holders of the failure domain, where others hold them:
    /// what they hold comes from them.
    async fn await_holders(&self) {
        // Where the fleet starts for the first time, the list is empty at first.
        if !self.list_vms().await {
            tokio::time::sleep(ENTRY_TIME).await;
            self.list_vms().await;
        }
        let patience = Instant::now() + START_PATIENCE;
        while !self.peers.is_watch_holder()
            && !self.directory.is_configured()
            && Instant::now() < patience
        {
            tokio::time::sleep(HOLDER_POLL).await;
        }
    }

    /// Lists the VMs; says whether this one is among them, or that can't be known.
    async fn list_vms(&self) -> bool {
        let list = match self.platform.list(platform_kind(ObjectKind::Vms)).await {
            Ok(list) => list,
            Err(error) => {
                log::info!("the VMs can't be listed before all else: {error}");
                return true;
            }
        };
        self.note_heard();
        let objects = list.items.iter();
        let objects: Vec<ConfigurationObject> =
            objects.map(|object| configuration_object(ObjectKind::Vms, object)).collect();
        self.peers.apply_changes(&objects);
        objects.iter().any(|object| *object.key.name == *self.vm)
    }

    /// Returns once other VMs have held the watches for a while.
    async fn relieved(&self) {
        let mut since = Instant::now();
        while since.elapsed() < RELIEF_TIME {
            tokio::time::sleep(HOLDER_POLL).await;
            if !self.directory.is_configured() || self.peers.is_watch_holder() {
                since = Instant::now();
            }
        }
    }

    /// Lists anew after a watch's version grew too old.
    async fn list_after_expiry(&self, backoff: &mut WatchBackoff) -> Option<KindRevisions> {
        loop {
            match self.list_all().await {
                Ok(next) => return Some(next),
                Err(error) => {
                    backoff.record_failure(Instant::now());
                    self.note_lost(&error, backoff);
                    tokio::time::sleep_until(backoff.next_call().into()).await;
                }
            }
        }
    }

    /// Where watches may start by what is held; nowhere before that is proven.
    fn held_revisions(&self) -> Option<KindRevisions> {
        let complete_to = self.peers.complete_revision();
        let kinds = self.platform.kinds().iter().copied();
        (complete_to > 0 && self.directory.is_configured())
            .then(|| kinds.map(|kind| (kind, complete_to)).collect())
    }

    async fn list_all(&self) -> Result<KindRevisions, PlatformError> {
        let lists = self.platform.kinds().iter().copied().map(async |kind| {
            let list = self.platform.list(platform_kind(kind)).await?;
            let revision = list.metadata.resource_version.parse().unwrap_or(0);
            let objects = list.items.iter().map(|object| configuration_object(kind, object));
            Ok::<_, PlatformError>(KindList { kind, revision, objects: objects.collect() })
        });
        let lists = try_join_all(lists).await?;
        self.note_heard();
        let revision = lists.iter().map(|list| list.revision).min().unwrap_or(0);
        let objects: Vec<ConfigurationObject> =
            lists.iter().flat_map(|list| list.objects.iter().cloned()).collect();
        self.peers.apply_listing(&ObjectListing::from_platform(&objects, revision));
        Ok(lists.iter().map(|list| (list.kind, list.revision)).collect())
    }

    /// Watches every kind until its watch ends; the first failure ends all.
    async fn watch_all(&self, held: KindRevisions) -> Result<KindRevisions, PlatformError> {
        let progress: Vec<WatchProgress> = held.into_iter().map(WatchProgress::from).collect();
        try_join_all(progress.iter().map(|own| self.watch_one(own, &progress))).await?;
        Ok(progress.iter().map(|own| (own.kind, own.revision.get())).collect())
    }

    async fn watch_one(
        &self,
        own: &WatchProgress,
        all: &[WatchProgress],
    ) -> Result<(), PlatformError> {
        let (kind, after) = (own.kind, own.revision.get());
        let events = self.platform.watch(platform_kind(kind), after).await?;
        let mut batches = events.ready_chunks(WATCH_BATCH);
        while let Some(batch) = batches.next().await {
            self.note_heard();
            self.take_batch(own, all, batch).inspect_err(|error| {
                log::info!(
                    kind = kind.as_str(),
                    after = own.revision.get();
                    "a watch ended: {error}"
                );
            })?;
        }
        Ok(())
    }

    /// Takes in what a watch has ready, as one change up to each bookmark.
    fn take_batch(
        &self,
        own: &WatchProgress,
        all: &[WatchProgress],
        batch: Vec<Result<WatchEvent, PlatformError>>,
    ) -> Result<(), PlatformError> {
        let mut changed = Vec::new();
        let mut end = Ok(());
        for event in batch {
            let event = match event {
                Ok(event) => event,
                Err(error) => {
                    end = Err(error);
                    break;
                }
            };
            own.revision.set(own.revision.get().max(event.object.revision()));
            let mut object = configuration_object(own.kind, &event.object);
            match event.kind {
                WatchKind::Added | WatchKind::Modified => changed.push(object),
                WatchKind::Deleted => {
                    object.body = None;
                    changed.push(object);
                }
                WatchKind::Bookmark => {}
            }
        }
        if !changed.is_empty() {
            self.peers.apply_changes(&changed);
        }
        self.note_progress(all);
        end
    }

    /// Takes in that the platform answered.
    fn note_heard(&self) {
        self.peers.record_platform_contact();
        if let Some(since) = self.lost_since.take() {
            let away_ms = milliseconds(since.elapsed());
            log::info!(dependency = "platform", away_ms = away_ms; "a dependency is back");
        }
    }

    /// Takes in that a call to the platform failed; one line tells of each loss.
    fn note_lost(&self, error: &PlatformError, backoff: &WatchBackoff) {
        if self.lost_since.get().is_some() {
            return;
        }
        let now = Instant::now();
        self.lost_since.set(Some(now));
        let wait = backoff.next_call().saturating_duration_since(now);
        log::warn!(
            dependency = "platform",
            revision = self.peers.complete_revision(),
            next_try_ms = milliseconds(wait);
            "a dependency is lost: {error}"
        );
    }

    /// What every kind's watch has passed is whole.
    fn note_progress(&self, all: &[WatchProgress]) {
        let passed = all.iter().map(|kind| kind.revision.get()).min();
        self.peers.record_watch_progress(passed.unwrap_or(0));
    }
}

/// How far the watch of one kind has come.
struct WatchProgress {
    kind: ObjectKind,
    revision: Cell<Revision>,
}

impl From<(ObjectKind, Revision)> for WatchProgress {
    fn from((kind, after): (ObjectKind, Revision)) -> WatchProgress {
        WatchProgress { kind, revision: Cell::new(after) }
    }
}

/// The list of one kind.
struct KindList {
    kind: ObjectKind,
    revision: Revision,
    objects: Vec<ConfigurationObject>,
}
