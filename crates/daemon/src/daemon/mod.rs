//! One daemon: its services started in order, and drained in the reverse order.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::Serialize;

use crate::admin::AdminService;
use crate::admission::AdmissionService;
use crate::directory::DirectoryService;
use crate::fanout::FanoutService;
use crate::front::FrontService;
use crate::kernel::Kernel;
use crate::kernel::Service;
use crate::ledger::LedgerService;
use crate::metrics::MetricsService;
use crate::outcomes::OutcomeService;
use crate::peers::PeerService;
use crate::platform::HttpPlatform;
use crate::platform::PlatformService;
use crate::settings::DaemonSettings;
use crate::sync::SyncService;
use crate::targets::TargetService;

/// Where a daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DaemonAddresses {
    /// The VM's name.
    pub vm: String,
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    kernel: Rc<Kernel>,
    addresses: DaemonAddresses,
}

impl Daemon {
    /// Starts every service on the current thread, which must run an actix system.
    ///
    /// # Errors
    ///
    /// When a listener can't be bound.
    pub async fn start(settings: DaemonSettings) -> eyre::Result<Daemon> {
        let kernel = Kernel::new(settings.clone());
        kernel.register(Service::Metrics(Rc::new(MetricsService::new()?)));
        kernel.register(Service::Outcomes(Rc::new(OutcomeService::new())));
        let platform = PlatformService::new(Box::new(HttpPlatform::new(settings.platform)));
        kernel.register(Service::Platform(Rc::new(platform)));
        kernel.register(Service::Directory(Rc::new(DirectoryService::new())));
        let peers = PeerService::start(&kernel).await?;
        kernel.register(Service::Peers(peers.clone()));
        kernel.register(Service::Admission(AdmissionService::start(&kernel)?));
        kernel.register(Service::Sync(Rc::new(SyncService::start(&kernel)?)));
        kernel.register(Service::Targets(Rc::new(TargetService::default())));
        kernel.register(Service::Fanout(FanoutService::start(&kernel)?));
        kernel.register(Service::Ledger(LedgerService::start(&kernel)?));
        let admin = Rc::new(AdminService::start(&kernel).await?);
        kernel.register(Service::Admin(admin.clone()));
        let front = FrontService::start(&kernel).await?;
        kernel.register(Service::Front(front.clone()));
        peers.open(front.address());
        let addresses = DaemonAddresses {
            vm: settings.vm.to_string(),
            caller: front.address(),
            admin: admin.address(),
            peer: peers.address(),
        };
        Ok(Daemon { kernel, addresses })
    }

    /// Where it listens.
    pub fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Returns once an operator asks for a drain.
    pub async fn drain_requested(&self) {
        self.kernel.drain_requested().await;
    }

    /// Leaves the fleet: callers are sent elsewhere, open requests are finished.
    pub async fn drain(&self) {
        let settings = self.kernel.settings();
        log::info!("drain starts");
        self.kernel.announce_leaving();
        // Until every VM knows, callers still get this VM's address; they use it as long as they
        // keep their answer.
        tokio::time::sleep(settings.leave_notice + settings.address_keep).await;
        self.kernel.drain().await;
        log::info!("drain ends");
    }
}
