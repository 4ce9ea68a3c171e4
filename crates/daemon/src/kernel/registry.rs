//! The registry of one daemon's services.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use oleanderwind_policy::ShutdownSchedule;
use tokio::sync::Notify;

use crate::admission::AdmissionService;
use crate::directory::DirectoryService;
use crate::fanout::FanoutService;
use crate::kernel::KernelError;
use crate::kernel::Service;
use crate::kernel::ServiceName;
use crate::ledger::LedgerService;
use crate::metrics::MetricsService;
use crate::outcomes::OutcomeService;
use crate::peers::PeerService;
use crate::platform::PlatformService;
use crate::routes::RouteService;
use crate::settings::DaemonSettings;
use crate::settings::LiveSettings;
use crate::targets::TargetService;

/// The settings and the services of a daemon, in the order of their start.
pub(crate) struct Kernel {
    settings: DaemonSettings,
    live: LiveSettings,
    services: RefCell<Vec<Service>>,
    drain_requests: Notify,
}

impl Kernel {
    /// Returns a kernel without services.
    pub(crate) fn new(settings: DaemonSettings) -> Rc<Kernel> {
        Rc::new(Kernel {
            live: LiveSettings::new(settings.clone()),
            settings,
            services: RefCell::new(Vec::new()),
            drain_requests: Notify::new(),
        })
    }

    /// Returns the settings in force, some of which can change at run time.
    pub(crate) fn live_settings(&self) -> &LiveSettings {
        &self.live
    }

    /// Returns the settings that the daemon started with.
    pub(crate) fn settings(&self) -> &DaemonSettings {
        &self.settings
    }

    /// Registers a started service.
    pub(crate) fn register(&self, service: Service) {
        log::debug!("service {:?} started", service.name());
        self.services.borrow_mut().push(service);
    }

    /// Returns a service by its name.
    pub(crate) fn find(&self, name: ServiceName) -> Result<Service, KernelError> {
        let services = self.services.borrow();
        let found = services.iter().find(|service| service.name() == name);
        found.cloned().ok_or(KernelError::Missing(name))
    }
}

/// Defines a lookup that returns the type of one service.
macro_rules! typed_lookup {
    ($function:ident, $variant:ident, $service:ty) => {
        impl Kernel {
            /// Returns the service, or an error if it is not registered.
            pub(crate) fn $function(&self) -> Result<Rc<$service>, KernelError> {
                match self.find(ServiceName::$variant)? {
                    Service::$variant(service) => Ok(service),
                    _ => Err(KernelError::Missing(ServiceName::$variant)),
                }
            }
        }
    };
}

typed_lookup!(metrics, Metrics, MetricsService);
typed_lookup!(outcomes, Outcomes, OutcomeService);
typed_lookup!(platform, Platform, PlatformService);
typed_lookup!(admission, Admission, AdmissionService);
typed_lookup!(peers, Peers, PeerService);
typed_lookup!(directory, Directory, DirectoryService);
typed_lookup!(targets, Targets, TargetService);
typed_lookup!(fanout, Fanout, FanoutService);
typed_lookup!(ledger, Ledger, LedgerService);
typed_lookup!(routes, Routes, RouteService);

impl Kernel {
    /// Requests a drain of the process, as SIGTERM does.
    pub(crate) fn request_drain(&self) {
        self.drain_requests.notify_one();
    }

    /// Waits until a drain is requested.
    pub(crate) async fn drain_requested(&self) {
        self.drain_requests.notified().await;
    }

    /// Announces to callers and peers that this VM is leaving.
    pub(crate) fn announce_leaving(&self, schedule: ShutdownSchedule) {
        for service in self.services.borrow().iter() {
            service.announce_leaving(schedule);
        }
    }

    /// Drains the services in the reverse order of their start. Open requests of callers get at most
    /// `timeout` to finish.
    pub(crate) async fn drain(&self, timeout: Duration) {
        let services: Vec<Service> = self.services.borrow().iter().rev().cloned().collect();
        for service in services {
            log::debug!("draining service {:?}", service.name());
            service.drain(timeout).await;
        }
    }
}
