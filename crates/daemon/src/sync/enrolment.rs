//! Entering this VM into the platform's VM list, where each VM does that itself.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::WatchBackoff;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectMetadata;
use serde_json::json;

use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::peers::PeerService;
use crate::platform::PlatformService;
use crate::settings::DaemonSettings;

/// Time for the first list, which shows whether an entry of an earlier process still holds.
const FIRST_LIST_TIME: Duration = Duration::from_millis(300);

/// What the task works with.
pub(crate) struct EnrolmentTask {
    settings: DaemonSettings,
    platform: Rc<PlatformService>,
    peers: Rc<PeerService>,
}

impl EnrolmentTask {
    /// The task of a kernel's VM.
    pub(crate) fn new(kernel: &Rc<Kernel>) -> Result<EnrolmentTask, KernelError> {
        Ok(EnrolmentTask {
            settings: kernel.settings().clone(),
            platform: kernel.platform()?,
            peers: kernel.peers()?,
        })
    }

    /// Enters the VM, however often that takes.
    pub(crate) async fn enrol(self) {
        tokio::time::sleep(FIRST_LIST_TIME).await;
        let retry = self.settings.platform_retry;
        let mut backoff = WatchBackoff::new(self.settings.seed, retry, Instant::now());
        loop {
            let entry = self.entry();
            if self.peers.is_vm_listed(&entry) {
                return;
            }
            match self.put(&entry).await {
                Ok(()) => return log::info!(vm = &*self.settings.vm; "entered into the VM list"),
                Err(error) => {
                    backoff.record_failure(Instant::now());
                    log::warn!("the VM can't be entered into the list yet: {error}");
                }
            }
            tokio::time::sleep_until(backoff.next_call().into()).await;
        }
    }

    /// Writes the entry; one of an earlier process is replaced.
    async fn put(&self, entry: &ObjectDocument) -> Result<(), PlatformError> {
        match self.platform.create(ObjectKind::Vms, entry).await {
            Err(PlatformError::AlreadyExists) => {}
            result => return result.map(drop),
        }
        let held = self.platform.get(ObjectKind::Vms, &entry.metadata.name).await?;
        if held.spec == entry.spec {
            return Ok(());
        }
        let entry = ObjectDocument { metadata: held.metadata, ..entry.clone() };
        self.platform.update(ObjectKind::Vms, &entry).await.map(drop)
    }

    fn entry(&self) -> ObjectDocument {
        let (caller, peer) = self.peers.own_addresses();
        let name = self.settings.vm.to_string();
        ObjectDocument {
            kind: ObjectKind::Vms.as_str().to_owned(),
            metadata: ObjectMetadata { name, ..ObjectMetadata::default() },
            spec: json!({
                "failure_domain": &*self.settings.failure_domain,
                "caller_address": caller,
                "peer_address": peer,
                "processor_millicores": self.settings.processor_millicores,
                "phase": "live",
            }),
        }
    }
}
