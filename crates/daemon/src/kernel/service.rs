//! The daemon's services: its components, fixed at compile time. They are not the back-end services
//! of the configuration.

use std::rc::Rc;
use std::time::Duration;

use oleanderwind_policy::ShutdownSchedule;

use crate::admin::AdminService;
use crate::admission::AdmissionService;
use crate::directory::DirectoryService;
use crate::fanout::FanoutService;
use crate::front::FrontService;
use crate::ledger::LedgerService;
use crate::metrics::MetricsService;
use crate::outcomes::OutcomeService;
use crate::peers::PeerService;
use crate::platform::PlatformService;
use crate::routes::RouteService;
use crate::sync::SyncService;
use crate::targets::TargetService;

/// The name of a service, used for lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ServiceName {
    /// Metrics of all services.
    Metrics,
    /// Outcomes of requests, measured against the terms of each contract.
    Outcomes,
    /// Client of the platform's Object API.
    Platform,
    /// Lookup of the configuration in force, and whether this VM is leaving.
    Directory,
    /// The peer protocol between the VMs.
    Peers,
    /// Admission control by the customers' rate limits.
    Admission,
    /// Synchronization of the configuration from the platform.
    Sync,
    /// Connections to targets.
    Targets,
    /// Scatter-gather execution of queries.
    Fanout,
    /// Non-idempotent requests, each of which runs at most once.
    Ledger,
    /// The HTTP interface for callers.
    Front,
    /// Forwarding of opaque HTTP requests according to the configured routes.
    Routes,
    /// The HTTP interface for operators.
    Admin,
}

/// A registered service.
#[derive(Clone)]
pub(crate) enum Service {
    /// See [`ServiceName::Metrics`].
    Metrics(Rc<MetricsService>),
    /// See [`ServiceName::Outcomes`].
    Outcomes(Rc<OutcomeService>),
    /// See [`ServiceName::Platform`].
    Platform(Rc<PlatformService>),
    /// See [`ServiceName::Directory`].
    Directory(Rc<DirectoryService>),
    /// See [`ServiceName::Peers`].
    Peers(Rc<PeerService>),
    /// See [`ServiceName::Admission`].
    Admission(Rc<AdmissionService>),
    /// See [`ServiceName::Sync`].
    Sync(Rc<SyncService>),
    /// See [`ServiceName::Targets`].
    Targets(Rc<TargetService>),
    /// See [`ServiceName::Fanout`].
    Fanout(Rc<FanoutService>),
    /// See [`ServiceName::Ledger`].
    Ledger(Rc<LedgerService>),
    /// See [`ServiceName::Front`].
    Front(Rc<FrontService>),
    /// See [`ServiceName::Routes`].
    Routes(Rc<RouteService>),
    /// See [`ServiceName::Admin`].
    Admin(Rc<AdminService>),
}

impl Service {
    /// Returns the name of the service.
    pub(crate) fn name(&self) -> ServiceName {
        match self {
            Service::Metrics(_) => ServiceName::Metrics,
            Service::Outcomes(_) => ServiceName::Outcomes,
            Service::Platform(_) => ServiceName::Platform,
            Service::Directory(_) => ServiceName::Directory,
            Service::Peers(_) => ServiceName::Peers,
            Service::Admission(_) => ServiceName::Admission,
            Service::Sync(_) => ServiceName::Sync,
            Service::Targets(_) => ServiceName::Targets,
            Service::Fanout(_) => ServiceName::Fanout,
            Service::Ledger(_) => ServiceName::Ledger,
            Service::Front(_) => ServiceName::Front,
            Service::Routes(_) => ServiceName::Routes,
            Service::Admin(_) => ServiceName::Admin,
        }
    }

    /// Announces to callers and peers that this VM is leaving. Requests are still served.
    pub(crate) fn announce_leaving(&self, schedule: ShutdownSchedule) {
        match self {
            Service::Directory(directory) => directory.announce_leaving(),
            Service::Front(front) => front.announce_leaving(),
            Service::Routes(routes) => routes.announce_leaving(schedule),
            Service::Peers(peers) => peers.announce_leaving(),
            Service::Metrics(_)
            | Service::Outcomes(_)
            | Service::Platform(_)
            | Service::Admission(_)
            | Service::Sync(_)
            | Service::Targets(_)
            | Service::Fanout(_)
            | Service::Ledger(_)
            | Service::Admin(_) => {}
        }
    }

    /// Drains a service that has work in flight, and stops `Sync` and `Peers`. Does nothing for the
    /// other services. Callers' requests get at most `timeout` to finish.
    pub(crate) async fn drain(&self, timeout: Duration) {
        match self {
            Service::Front(front) => front.drain(timeout).await,
            Service::Routes(routes) => routes.drain(timeout).await,
            Service::Admin(admin) => admin.drain().await,
            Service::Fanout(fanout) => fanout.drain().await,
            Service::Ledger(ledger) => ledger.drain().await,
            Service::Sync(sync) => sync.stop(),
            Service::Peers(peers) => peers.drain().await,
            Service::Metrics(_)
            | Service::Outcomes(_)
            | Service::Platform(_)
            | Service::Admission(_)
            | Service::Directory(_)
            | Service::Targets(_) => {}
        }
    }
}
