//! The server that runs all stand-ins.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleanderwind_policy::ProviderId;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::deployment::DeploymentPlan;
use crate::deployment::ServicePlan;
use crate::net::ConnectionLimiter;
use crate::net::EndpointListener;
use crate::net::bind;
use crate::net::serve;
use crate::platform::PlatformFault;
use crate::platform::PlatformNode;
use crate::platform::PlatformReport;
use crate::searcher::CallReport;
use crate::searcher::ExecutionLog;
use crate::searcher::ExecutionRecord;
use crate::searcher::SearcherIdentity;
use crate::searcher::SearcherNode;
use crate::server::FaultOrder;
use crate::server::OrderReport;
use crate::server::ServedEndpoint;
use crate::server::ServerState;
use crate::server::SnapshotOrder;
use crate::server::StandinSettings;
use crate::server::serve_searcher;

/// Maximum number of connections to the platform and to the control port, each.
const OPEN_CONNECTION_LIMIT: u32 = 10_000;

/// Server that runs the stand-ins on the actix system of the calling thread.
///
/// Dropping it stops all stand-ins.
///
/// # Examples
///
/// ```
/// use oleanderwind_standin::{StandinServer, StandinSettings};
///
/// actix_rt::System::new().block_on(async {
///     let server = StandinServer::start(StandinSettings::default())?;
///     assert_eq!(server.targets().len(), 110);
///     Ok::<(), std::io::Error>(())
/// })?;
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct StandinServer {
    state: Rc<ServerState>,
    platform_address: SocketAddr,
    control_address: SocketAddr,
    _listeners: [EndpointListener; 2],
}

/// A searcher with its bound but not yet served port.
struct BoundSearcher {
    node: Rc<SearcherNode>,
    socket: TcpListener,
}

/// Allocates consecutive ports, or ports chosen by the system if `next` is 0.
struct PortAllocator {
    next: u16,
}

impl PortAllocator {
    /// Binds the next port.
    fn bind(&mut self) -> io::Result<(TcpListener, SocketAddr)> {
        let port = self.next;
        if port != 0 {
            self.next = port.checked_add(1).ok_or(io::ErrorKind::AddrNotAvailable)?;
        }
        bind(port)
    }
}

impl StandinServer {
    /// Binds every port, creates the default objects and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub fn start(settings: StandinSettings) -> io::Result<StandinServer> {
        let mut ports = PortAllocator { next: settings.base_port };
        let (platform_socket, platform_address) = ports.bind()?;
        let (control_socket, control_address) = ports.bind()?;
        let executions = Rc::new(ExecutionLog::new());
        let bound = bind_searchers(&settings, &mut ports, &executions)?;
        let platform = Rc::new(PlatformNode::new(&settings));
        publish_contracts(&settings, &platform);
        let nodes = bound.iter().map(|searcher| Rc::clone(&searcher.node)).collect();
        let state =
            Rc::new(ServerState::new(platform, nodes, executions, settings.snapshot_retention));
        state.publish();
        bound.into_iter().for_each(|searcher| serve_searcher(&searcher.node, searcher.socket));
        let hold = settings.silent_timeout;
        let served = ServedEndpoint::Platform(Rc::clone(&state.platform));
        let platform_listener = serve(platform_socket, Rc::clone(&state.platform.limiter), served);
        let control_listener = serve(
            control_socket,
            default_limiter(hold),
            ServedEndpoint::Control(Rc::clone(&state)),
        );
        Ok(StandinServer {
            state,
            platform_address,
            control_address,
            _listeners: [platform_listener, control_listener],
        })
    }

    /// Returns the address of the Object API.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the target of every searcher, in its initial phase.
    pub fn targets(&self) -> Vec<TargetSpec> {
        self.state.targets()
    }

    /// Injects a fault into the searchers of the order's scope.
    ///
    /// # Errors
    ///
    /// Returns an error if the port of a searcher that comes up cannot be bound.
    pub fn apply(&self, order: &FaultOrder) -> io::Result<OrderReport> {
        self.state.apply(order)
    }

    /// Injects a fault into the platform.
    pub fn apply_platform_fault(&self, fault: PlatformFault) {
        self.state.platform.apply(fault);
    }

    /// Publishes a new snapshot, repartitioned if the order names a number of shards.
    pub fn publish_snapshot(&self, order: &SnapshotOrder) -> OrderReport {
        self.state.publish_snapshot(order)
    }

    /// Creates or replaces an object directly in the store, without a version check.
    pub fn put_object<T: Serialize>(&self, kind: &str, name: &str, spec: &T) {
        self.state.platform.put(kind, name, spec);
    }

    /// Returns every execution of an execute call, in order.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.executions()
    }

    /// Starts recording the query texts of searches that get a slot.
    pub fn record_queries(&self) {
        self.state.executions.record_queries();
    }

    /// Returns whether a search for `query` got a slot since recording started.
    pub fn has_run_query(&self, query: &str) -> bool {
        self.state.executions.has_query(query)
    }

    /// Returns the call counts of every searcher.
    pub fn calls(&self) -> Vec<CallReport> {
        self.state.calls()
    }

    /// Returns the call counts and the state of the platform.
    pub fn platform_report(&self) -> PlatformReport {
        self.state.platform.report()
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.state.stop();
    }
}

/// Binds the ports of every searcher of every provider.
fn bind_searchers(
    settings: &StandinSettings,
    ports: &mut PortAllocator,
    executions: &Rc<ExecutionLog>,
) -> io::Result<Vec<BoundSearcher>> {
    let mut bound = Vec::new();
    for provider in &settings.providers {
        for deployment in &settings.deployments {
            let deployment = deployment.plan(provider);
            for plan in &deployment.services {
                for index in 0..plan.searchers() {
                    let (socket, address) = ports.bind()?;
                    let spec = target_spec(&deployment, plan, provider, index, address);
                    let identity = SearcherIdentity { spec, plan: plan.clone(), index };
                    let node = SearcherNode::new(identity, settings, Rc::clone(executions));
                    bound.push(BoundSearcher { node: Rc::new(node), socket });
                }
            }
        }
    }
    Ok(bound)
}

/// Returns the target of one searcher.
fn target_spec(
    deployment: &DeploymentPlan,
    plan: &ServicePlan,
    provider: &ProviderId,
    index: u32,
    address: SocketAddr,
) -> TargetSpec {
    TargetSpec {
        target: format!("{}.{provider}.{index}", plan.service).into(),
        service: plan.service.into(),
        provider: provider.clone(),
        address,
        failure_domain: deployment.failure_domain(plan, index).into(),
        slots: plan.slots,
        connection_limit: plan.connection_limit,
        incarnation: 0,
        phase: TargetPhase::Ready,
        cold_ms: 0,
    }
}

/// Creates the default contract of each deployment, placed with the first provider.
fn publish_contracts(settings: &StandinSettings, platform: &PlatformNode) {
    let Some(provider) = settings.providers.first() else { return };
    for deployment in &settings.deployments {
        let contract = deployment.plan(provider).contract;
        platform.put("contracts", &contract.customer, &contract);
    }
}

/// Returns a limiter for the platform and the control port, with no set-up delay.
pub(crate) fn default_limiter(silent_timeout: Duration) -> Rc<ConnectionLimiter> {
    Rc::new(ConnectionLimiter::new(OPEN_CONNECTION_LIMIT, Duration::ZERO, silent_timeout))
}
