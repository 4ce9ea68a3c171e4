//! Platform and searchers, and the orders that they take.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::ProviderId;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::ShardEntry;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use tokio::net::TcpListener;

use crate::documents::shard_documents;
use crate::net::bind;
use crate::net::reserve;
use crate::net::serve;
use crate::platform::PlatformNode;
use crate::searcher::CallReport;
use crate::searcher::ExecutionLog;
use crate::searcher::ExecutionRecord;
use crate::searcher::SearcherFault;
use crate::searcher::SearcherNode;
use crate::server::FaultOrder;
use crate::server::OrderReport;
use crate::server::ServedEndpoint;
use crate::server::SnapshotOrder;

/// Pause between two tries to keep a port.
const RESERVE_PAUSE: Duration = Duration::from_millis(1);

/// Present snapshot of a service at a provider.
#[derive(Clone, Copy, Debug)]
struct SnapshotState {
    version: IndexVersion,
    shards: u32,
}

/// Platform and searchers.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) platform: Rc<PlatformNode>,
    pub(crate) searchers: Vec<Rc<SearcherNode>>,
    pub(crate) executions: Rc<ExecutionLog>,
    snapshot_retention: Duration,
    snapshots: RefCell<BTreeMap<(ServiceId, ProviderId), SnapshotState>>,
}

impl ServerState {
    /// All parts; nothing listens and no object exists yet.
    pub(crate) fn new(
        platform: Rc<PlatformNode>,
        searchers: Vec<Rc<SearcherNode>>,
        executions: Rc<ExecutionLog>,
        snapshot_retention: Duration,
    ) -> ServerState {
        let snapshots = RefCell::default();
        ServerState { platform, searchers, executions, snapshot_retention, snapshots }
    }

    /// Writes the objects of every target and of each first snapshot.
    pub(crate) fn publish(&self) {
        let mut services = BTreeMap::new();
        for searcher in &self.searchers {
            let spec = searcher.spec(TargetPhase::Ready);
            self.platform.put("targets", &spec.target, &spec);
            services.insert((spec.service, spec.provider), ());
        }
        for (service, provider) in services.into_keys() {
            self.publish_snapshot(&SnapshotOrder { service, provider, shards: None });
        }
    }

    /// Every searcher as it was at the start.
    pub(crate) fn targets(&self) -> Vec<TargetSpec> {
        self.searchers.iter().map(|node| node.spec(TargetPhase::Ready)).collect()
    }

    /// Every run of an execute call, in order.
    pub(crate) fn executions(&self) -> Vec<ExecutionRecord> {
        self.executions.records()
    }

    /// What each searcher received and did.
    pub(crate) fn calls(&self) -> Vec<CallReport> {
        self.searchers.iter().map(|node| node.report()).collect()
    }

    /// Closes every searcher's port and connections.
    pub(crate) fn stop(&self) {
        for node in &self.searchers {
            node.listener.borrow_mut().take();
            node.gate.close();
        }
    }

    /// Makes a new snapshot.
    pub(crate) fn publish_snapshot(&self, order: &SnapshotOrder) -> OrderReport {
        let members: Vec<&Rc<SearcherNode>> = self
            .searchers
            .iter()
            .filter(|node| is_member(&node.identity.spec, &order.service, &order.provider))
            .collect();
        let Some(first) = members.first() else {
            return OrderReport { searchers: 0, index_version: None };
        };
        let key = (order.service.clone(), order.provider.clone());
        let old = self.snapshots.borrow().get(&key).copied();
        let version = old.map_or(1, |snapshot| snapshot.version + 1);
        let planned = old.map_or(first.identity.plan.shards, |snapshot| snapshot.shards);
        let shards = order.shards.unwrap_or(planned).max(1);
        self.snapshots.borrow_mut().insert(key, SnapshotState { version, shards });
        let manifest = self.hold_snapshot(order, &members, version, shards);
        let name = format!("{}.{}", order.service, order.provider);
        self.platform.put("snapshots", &name, &manifest);
        OrderReport { searchers: count(members.len()), index_version: Some(version) }
    }

    /// Hands a snapshot's shards to the searchers.
    fn hold_snapshot(
        &self,
        order: &SnapshotOrder,
        members: &[&Rc<SearcherNode>],
        version: IndexVersion,
        shards: u32,
    ) -> SnapshotManifest {
        let entry = |shard| ShardEntry {
            shard,
            documents: shard_documents(&order.service, version, shard),
            targets: Vec::new(),
        };
        let mut entries: Vec<ShardEntry> = (0..shards).map(entry).collect();
        for node in members {
            let held = node.identity.plan.shards_of(node.identity.index, shards);
            let target = &node.identity.spec.target;
            for entry in entries.iter_mut().filter(|entry| held.contains(&entry.shard)) {
                entry.targets.push(target.clone());
            }
            let mut holding = node.holding.borrow_mut();
            holding.add(version, held, self.snapshot_retention, Instant::now());
        }
        SnapshotManifest {
            service: order.service.clone(),
            provider: order.provider.clone(),
            index_version: version,
            shards: entries,
        }
    }

    /// Puts a fault in force.
    ///
    /// # Errors
    ///
    /// When a searcher's port can't be bound again.
    pub(crate) fn apply(&self, order: &FaultOrder) -> io::Result<OrderReport> {
        let mut searchers = 0;
        for node in &self.searchers {
            if order.scope.contains(&node.identity.spec) {
                searchers += 1;
                self.apply_to(node, order.fault)?;
            }
        }
        Ok(OrderReport { searchers, index_version: None })
    }

    /// Puts a fault of one searcher in force.
    fn apply_to(&self, node: &Rc<SearcherNode>, fault: SearcherFault) -> io::Result<()> {
        let slots = node.identity.plan.slots;
        node.fault.borrow_mut().apply(fault, slots, Instant::now());
        node.thawed.notify_waiters();
        match fault {
            SearcherFault::SilenceConnections => node.gate.silence(),
            SearcherFault::Drain { object_lag_ms } => {
                self.publish_phase(node, TargetPhase::Draining, object_lag_ms);
            }
            SearcherFault::Undrain => self.publish_phase(node, TargetPhase::Ready, 0),
            SearcherFault::Down => {
                node.listener.borrow_mut().take();
                node.gate.close();
                actix_rt::spawn(reserve_port(Rc::clone(node)));
            }
            SearcherFault::Up => listen(node)?,
            _ => {}
        }
        Ok(())
    }

    /// Writes a target's phase after a lag, unless it changed back meanwhile.
    fn publish_phase(&self, node: &Rc<SearcherNode>, phase: TargetPhase, lag_ms: u64) {
        let platform = Rc::clone(&self.platform);
        let node = Rc::clone(node);
        let publish = move || {
            let spec = node.spec(phase);
            if node.draining() == (phase == TargetPhase::Draining) {
                platform.put("targets", &spec.target, &spec);
            }
        };
        if lag_ms == 0 {
            return publish();
        }
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(lag_ms)).await;
            publish();
        });
    }
}

/// Listens on a searcher's own port, unless it does already.
fn listen(node: &Rc<SearcherNode>) -> io::Result<()> {
    if node.listener.borrow().is_some() {
        return Ok(());
    }
    node.reserved.borrow_mut().take();
    let (socket, _) = bind(node.address().port())?;
    serve_searcher(node, socket);
    Ok(())
}

/// Keeps the port of a searcher that is down, as soon as its listener has closed.
async fn reserve_port(node: Rc<SearcherNode>) {
    while node.listener.borrow().is_none() {
        if let Ok(socket) = reserve(node.address().port()) {
            node.reserved.borrow_mut().replace(socket);
            return;
        }
        actix_rt::time::sleep(RESERVE_PAUSE).await;
    }
}

/// Serves a searcher on a bound port.
pub(crate) fn serve_searcher(node: &Rc<SearcherNode>, socket: TcpListener) {
    let endpoint = ServedEndpoint::Searcher(Rc::clone(node));
    let listener = serve(socket, Rc::clone(&node.gate), endpoint);
    node.listener.borrow_mut().replace(listener);
}

/// Whether a target serves that service for that provider.
fn is_member(spec: &TargetSpec, service: &ServiceId, provider: &ProviderId) -> bool {
    spec.service == *service && spec.provider == *provider
}

/// A count as it goes over the wire.
fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
