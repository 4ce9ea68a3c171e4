//! Registration of this VM in the platform's VM list, for platforms where each VM registers itself.
//!
//! A store that is restored from a copy may have forgotten the entry. Each VM then checks its own, at
//! a random time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::WatchBackoff;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectMetadata;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::peers::PeerService;
use crate::platform::PlatformService;
use crate::settings::DaemonSettings;

/// Wait for the first list, which shows whether the entry of an earlier process is still valid.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(300);

/// Interval at which a VM checks whether it has heard of a restore of the store.
const ERA_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which the VMs of a fleet check their entries after a restore. With 300 VMs that is 150
/// calls a second.
const CHECK_SPREAD: Duration = Duration::from_secs(2);

/// Task that registers this VM.
pub(crate) struct RegistrationTask {
    settings: DaemonSettings,
    platform: Rc<PlatformService>,
    peers: Rc<PeerService>,
}

impl RegistrationTask {
    /// Creates the task for the kernel's VM.
    pub(crate) fn new(kernel: &Rc<Kernel>) -> Result<RegistrationTask, KernelError> {
        Ok(RegistrationTask {
            settings: kernel.settings().clone(),
            platform: kernel.platform()?,
            peers: kernel.peers()?,
        })
    }

    /// Registers the VM, and again after each restore of the store that has forgotten the entry.
    pub(crate) async fn run(self) {
        tokio::time::sleep(FIRST_LIST_DELAY).await;
        if !self.peers.is_vm_listed(&self.entry()) {
            self.register().await;
        }
        let mut era = self.peers.store_era();
        let mut generator = Pcg64Mcg::seed_from_u64(self.settings.seed);
        loop {
            tokio::time::sleep(ERA_POLL_INTERVAL).await;
            let newest = self.peers.store_era();
            if newest > era {
                era = newest;
                tokio::time::sleep(CHECK_SPREAD.mul_f64(generator.random())).await;
                self.check_entry().await;
            }
        }
    }

    /// Registers the VM if the store does not have its entry.
    async fn check_entry(&self) {
        let entry = self.entry();
        match self.platform.get(ObjectKind::Vms, &entry.metadata.name).await {
            Ok(held) if held.spec == entry.spec => {}
            Ok(_) | Err(_) => self.register().await,
        }
    }

    /// Writes the entry; retries with backoff until it succeeds.
    async fn register(&self) {
        let retry = self.settings.platform_retry;
        let mut backoff = WatchBackoff::new(self.settings.seed, retry, Instant::now());
        while let Err(error) = self.write_entry(&self.entry()).await {
            backoff.record_failure(Instant::now());
            log::warn!("failed to register in the VM list, will retry: {error}");
            tokio::time::sleep_until(backoff.next_call().into()).await;
        }
        log::info!(vm = &*self.settings.vm; "registered in the VM list");
    }

    /// Writes the entry; replaces that of an earlier process.
    async fn write_entry(&self, entry: &ObjectDocument) -> Result<(), PlatformError> {
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

    /// Builds the entry of this VM.
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
