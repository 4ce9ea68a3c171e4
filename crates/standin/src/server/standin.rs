//! The running stand-ins.

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
use crate::net::ConnectionGate;
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

/// Connections that the platform and the control port accept.
const OPEN_CONNECTION_LIMIT: u32 = 10_000;

/// The running stand-ins; dropping it stops them.
///
/// Everything runs on the actix system of the calling thread.
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

/// A searcher's port before it is served.
struct BoundSearcher {
    node: Rc<SearcherNode>,
    socket: TcpListener,
}

/// Takes one port after the other, or any.
struct PortCursor {
    next: u16,
}

impl PortCursor {
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
    /// Binds every port, writes the default objects and serves.
    ///
    /// # Errors
    ///
    /// When a port can't be bound.
    pub fn start(settings: StandinSettings) -> io::Result<StandinServer> {
        let mut ports = PortCursor { next: settings.base_port };
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
        let platform_listener = serve(platform_socket, Rc::clone(&state.platform.gate), served);
        let control_listener =
            serve(control_socket, open_gate(hold), ServedEndpoint::Control(Rc::clone(&state)));
        Ok(StandinServer {
            state,
            platform_address,
            control_address,
            _listeners: [platform_listener, control_listener],
        })
    }

    /// Where the Object API listens.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Where the control port listens.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Every searcher as it was at the start.
    pub fn targets(&self) -> Vec<TargetSpec> {
        self.state.targets()
    }

    /// Puts a fault of searchers in force.
    ///
    /// # Errors
    ///
    /// When a searcher's port can't be bound again.
    pub fn apply(&self, order: &FaultOrder) -> io::Result<OrderReport> {
        self.state.apply(order)
    }

    /// Puts a fault of the platform in force.
    pub fn apply_platform_fault(&self, fault: PlatformFault) {
        self.state.platform.apply(fault);
    }

    /// Makes a new snapshot, with a new number of shards if the order says so.
    pub fn publish_snapshot(&self, order: &SnapshotOrder) -> OrderReport {
        self.state.publish_snapshot(order)
    }

    /// Writes an object without a call, whatever its version.
    pub fn put_object<T: Serialize>(&self, kind: &str, name: &str, spec: &T) {
        self.state.platform.put(kind, name, spec);
    }

    /// Every run of an execute call, in order.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.executions()
    }

    /// Starts to keep the texts of searches that run.
    pub fn record_queries(&self) {
        self.state.executions.record_queries();
    }

    /// Whether a search with that text got a slot since texts are kept.
    pub fn has_run_query(&self, query: &str) -> bool {
        self.state.executions.has_query(query)
    }

    /// What each searcher received and did.
    pub fn calls(&self) -> Vec<CallReport> {
        self.state.calls()
    }

    /// What the platform did.
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
    ports: &mut PortCursor,
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

/// The object of one searcher.
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
    }
}

/// Writes the contract of each deployment, placed with the first provider.
fn publish_contracts(settings: &StandinSettings, platform: &PlatformNode) {
    let Some(provider) = settings.providers.first() else { return };
    for deployment in &settings.deployments {
        let contract = deployment.plan(provider).contract;
        platform.put("contracts", &contract.customer, &contract);
    }
}

/// A gate that limits little.
pub(crate) fn open_gate(silent_timeout: Duration) -> Rc<ConnectionGate> {
    Rc::new(ConnectionGate::new(OPEN_CONNECTION_LIMIT, Duration::ZERO, silent_timeout))
}
