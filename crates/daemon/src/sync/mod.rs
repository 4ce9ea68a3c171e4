//! Keeps the directory up to date from the platform.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::StreamExt;
use oleanderwind_policy::Revision;
use oleanderwind_wire::WatchKind;

use crate::directory::DirectoryService;
use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::platform::PlatformService;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// One task a kind that lists once and then watches.
pub(crate) struct SyncService {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl SyncService {
    /// Starts the tasks.
    pub(crate) fn start(kernel: &Rc<Kernel>) -> Result<SyncService, KernelError> {
        let platform = kernel.platform()?;
        let directory = kernel.directory()?;
        let tasks = ObjectKind::CONFIGURATION
            .into_iter()
            .map(|kind| actix_rt::spawn(follow(kind, platform.clone(), directory.clone())))
            .collect();
        Ok(SyncService { tasks: RefCell::new(tasks) })
    }

    /// Ends the tasks.
    pub(crate) fn stop(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

/// Lists and watches one kind for ever.
async fn follow(kind: ObjectKind, platform: Rc<PlatformService>, directory: Rc<DirectoryService>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => list_once(kind, &platform, &directory).await,
            Some(after) => watch_once(kind, after, &platform, &directory).await,
        };
        match result {
            Ok(next) => revision = Some(next),
            Err(PlatformError::Expired) => revision = None,
            Err(error) => {
                log::warn!("following {}: {error}", kind.as_str());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn list_once(
    kind: ObjectKind,
    platform: &PlatformService,
    directory: &DirectoryService,
) -> Result<Revision, PlatformError> {
    let list = platform.list(kind).await?;
    for object in &list.items {
        directory.apply(kind, object);
    }
    directory.mark_complete(kind);
    Ok(list.metadata.resource_version.parse().unwrap_or(0))
}

async fn watch_once(
    kind: ObjectKind,
    after: Revision,
    platform: &PlatformService,
    directory: &DirectoryService,
) -> Result<Revision, PlatformError> {
    let mut events = platform.watch(kind, after).await?;
    let mut revision = after;
    while let Some(event) = events.next().await {
        let event = event?;
        revision = revision.max(event.object.revision());
        match event.kind {
            WatchKind::Added | WatchKind::Modified => directory.apply(kind, &event.object),
            WatchKind::Deleted => directory.remove(kind, &event.object),
            WatchKind::Bookmark => {}
        }
    }
    Ok(revision)
}
