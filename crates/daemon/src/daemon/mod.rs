//! The daemon: starts its services in order and drains them in the reverse order.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::Serialize;

use crate::admin::AdminService;
use crate::admission::AdmissionService;
use crate::directory::DirectoryService;
use crate::edge::CallerProtocol;
use crate::edge::PlatformClient;
use crate::fanout::FanoutService;
use crate::front::FrontService;
use crate::kernel::Kernel;
use crate::kernel::Service;
use crate::ledger::LedgerService;
use crate::metrics::MetricsService;
use crate::outcomes::OutcomeService;
use crate::peers::PeerService;
use crate::platform::PlatformService;
use crate::platform::product_edges;
use crate::routes::RouteService;
use crate::settings::DaemonSettings;
use crate::settings::SettingsChange;
use crate::sync::SyncService;
use crate::targets::TargetService;

/// The addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DaemonAddresses {
    /// Name of the VM.
    pub vm: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// Implementations of the protocols that differ between deployments.
pub struct DaemonEdges {
    /// Access to the objects of the platform.
    pub objects: Box<dyn PlatformClient>,
    /// Protocol for opaque requests by routes. It replaces the product's own interface for callers.
    pub callers: Option<Rc<dyn CallerProtocol>>,
}

/// A running daemon.
pub struct Daemon {
    kernel: Rc<Kernel>,
    addresses: DaemonAddresses,
}

impl Daemon {
    /// Starts all services on the current thread, with the product's own protocols.
    ///
    /// The thread must run an actix system.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start(settings: DaemonSettings) -> eyre::Result<Daemon> {
        let edges = product_edges(&settings);
        Daemon::start_with_edges(settings, edges).await
    }

    /// Starts all services as [`Daemon::start`] does, with the protocols of a deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start_with_edges(
        settings: DaemonSettings,
        edges: DaemonEdges,
    ) -> eyre::Result<Daemon> {
        let kernel = Kernel::new(settings.clone());
        kernel.register(Service::Metrics(Rc::new(MetricsService::new()?)));
        kernel.register(Service::Outcomes(Rc::new(OutcomeService::new())));
        let platform = PlatformService::new(edges.objects);
        kernel.register(Service::Platform(Rc::new(platform)));
        kernel.register(Service::Directory(Rc::new(DirectoryService::new())));
        let peers = PeerService::start(&kernel).await?;
        kernel.register(Service::Peers(peers.clone()));
        kernel.register(Service::Admission(AdmissionService::start(&kernel)?));
        kernel.register(Service::Sync(Rc::new(SyncService::start(&kernel)?)));
        kernel.register(Service::Targets(Rc::new(TargetService::default())));
        kernel.register(Service::Fanout(FanoutService::start(&kernel, edges.callers.clone())?));
        kernel.register(Service::Ledger(LedgerService::start(&kernel)?));
        let admin = Rc::new(AdminService::start(&kernel).await?);
        kernel.register(Service::Admin(admin.clone()));
        let caller = start_front(&kernel, edges.callers).await?;
        peers.open(caller);
        let addresses = DaemonAddresses {
            vm: settings.vm.to_string(),
            caller,
            admin: admin.address(),
            peer: peers.address(),
        };
        Ok(Daemon { kernel, addresses })
    }

    /// Applies changed settings, as far as they can change without a restart.
    pub(crate) fn change_settings(&self, wanted: &DaemonSettings) -> SettingsChange {
        let change = self.kernel.live_settings().apply(wanted);
        log::set_max_level(self.kernel.live_settings().get().log_level);
        change
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Waits until an operator requests a drain.
    pub async fn drain_requested(&self) {
        self.kernel.drain_requested().await;
    }

    /// Leaves the fleet: redirects callers to other VMs, then finishes open requests.
    pub async fn drain(&self) {
        let settings = self.kernel.live_settings().get();
        let schedule = settings.shutdown_schedule();
        log::info!(
            notice_ms = schedule.notice.as_millis() as u64,
            patience_ms = schedule.patience.as_millis() as u64;
            "VM is shutting down"
        );
        self.kernel.announce_leaving(schedule);
        tokio::time::sleep(schedule.notice).await;
        self.kernel.drain(schedule.patience).await;
        log::info!("VM has shut down");
    }
}

/// Starts the service for callers and returns its address.
async fn start_front(
    kernel: &Rc<Kernel>,
    dialect: Option<Rc<dyn CallerProtocol>>,
) -> eyre::Result<SocketAddr> {
    match dialect {
        Some(dialect) => {
            let routes = RouteService::start(kernel, dialect).await?;
            kernel.register(Service::Routes(routes.clone()));
            Ok(routes.address())
        }
        None => {
            let front = FrontService::start(kernel).await?;
            kernel.register(Service::Front(front.clone()));
            Ok(front.address())
        }
    }
}
