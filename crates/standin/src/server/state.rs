//! Shared state of the stand-ins and the control orders that change it.

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

/// Interval between attempts to reserve the port of a searcher that is down.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Current snapshot of a service at a provider.
#[derive(Clone, Copy, Debug)]
struct SnapshotState {
    version: IndexVersion,
    shards: u32,
}

/// The platform, all searchers, and the current snapshots.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) platform: Rc<PlatformNode>,
    pub(crate) searchers: Vec<Rc<SearcherNode>>,
    pub(crate) executions: Rc<ExecutionLog>,
    snapshot_retention: Duration,
    snapshots: RefCell<BTreeMap<(ServiceId, ProviderId), SnapshotState>>,
}

impl ServerState {
    /// Creates the state; publishes no object and serves no port.
    pub(crate) fn new(
        platform: Rc<PlatformNode>,
        searchers: Vec<Rc<SearcherNode>>,
        executions: Rc<ExecutionLog>,
        snapshot_retention: Duration,
    ) -> ServerState {
        let snapshots = RefCell::default();
        ServerState { platform, searchers, executions, snapshot_retention, snapshots }
    }

    /// Publishes every target and the first snapshot of each service.
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

    /// Returns the target of every searcher, in its initial phase.
    pub(crate) fn targets(&self) -> Vec<TargetSpec> {
        self.searchers.iter().map(|node| node.spec(TargetPhase::Ready)).collect()
    }

    /// Returns every execution of an execute call, in order.
    pub(crate) fn executions(&self) -> Vec<ExecutionRecord> {
        self.executions.records()
    }

    /// Returns the call counts of every searcher.
    pub(crate) fn calls(&self) -> Vec<CallReport> {
        self.searchers.iter().map(|node| node.report()).collect()
    }

    /// Closes the port and the connections of every searcher.
    pub(crate) fn stop(&self) {
        for node in &self.searchers {
            node.listener.borrow_mut().take();
            node.limiter.close();
        }
    }

    /// Publishes a new snapshot and makes its searchers hold it.
    pub(crate) fn publish_snapshot(&self, order: &SnapshotOrder) -> OrderReport {
        let searchers: Vec<&Rc<SearcherNode>> = self
            .searchers
            .iter()
            .filter(|node| belongs_to(&node.identity.spec, &order.service, &order.provider))
            .collect();
        let Some(first) = searchers.first() else {
            return OrderReport { searchers: 0, index_version: None };
        };
        let key = (order.service.clone(), order.provider.clone());
        let old = self.snapshots.borrow().get(&key).copied();
        let version = old.map_or(1, |snapshot| snapshot.version + 1);
        let current_shards = old.map_or(first.identity.plan.shards, |snapshot| snapshot.shards);
        let shards = order.shards.unwrap_or(current_shards).max(1);
        self.snapshots.borrow_mut().insert(key, SnapshotState { version, shards });
        let manifest = self.assign_shards(order, &searchers, version, shards);
        let name = format!("{}.{}", order.service, order.provider);
        self.platform.put("snapshots", &name, &manifest);
        OrderReport { searchers: count(searchers.len()), index_version: Some(version) }
    }

    /// Assigns the shards of a snapshot to the searchers and returns its manifest.
    fn assign_shards(
        &self,
        order: &SnapshotOrder,
        searchers: &[&Rc<SearcherNode>],
        version: IndexVersion,
        shards: u32,
    ) -> SnapshotManifest {
        let entry = |shard| ShardEntry {
            shard,
            documents: shard_documents(&order.service, version, shard),
            targets: Vec::new(),
        };
        let mut entries: Vec<ShardEntry> = (0..shards).map(entry).collect();
        for node in searchers {
            let held = node.identity.plan.shards_of(node.identity.index, shards);
            let target = &node.identity.spec.target;
            for entry in entries.iter_mut().filter(|entry| held.contains(&entry.shard)) {
                entry.targets.push(target.clone());
            }
            let mut held_snapshots = node.held_snapshots.borrow_mut();
            held_snapshots.add(version, held, self.snapshot_retention, Instant::now());
        }
        SnapshotManifest {
            service: order.service.clone(),
            provider: order.provider.clone(),
            index_version: version,
            shards: entries,
        }
    }

    /// Injects a fault into the searchers of the order's scope.
    ///
    /// # Errors
    ///
    /// Returns an error if the port of a searcher that comes up cannot be bound.
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

    /// Injects a fault into one searcher.
    fn apply_to(&self, node: &Rc<SearcherNode>, fault: SearcherFault) -> io::Result<()> {
        let slots = node.identity.plan.slots;
        node.fault.borrow_mut().apply(fault, slots, Instant::now());
        node.fault_changed.notify_waiters();
        match fault {
            SearcherFault::SilenceConnections => node.limiter.silence(),
            SearcherFault::Drain { object_lag_ms } => {
                self.publish_phase(node, TargetPhase::Draining, object_lag_ms);
            }
            SearcherFault::Undrain => self.publish_phase(node, TargetPhase::Ready, 0),
            SearcherFault::Down => {
                node.listener.borrow_mut().take();
                node.limiter.close();
                actix_rt::spawn(reserve_port(Rc::clone(node)));
            }
            SearcherFault::Up => listen(node)?,
            _ => {}
        }
        Ok(())
    }

    /// Publishes the phase of a target after `lag_ms`, unless the searcher's drain state has changed
    /// by then.
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

/// Binds and serves the port of a searcher that is down; does nothing if it listens already.
fn listen(node: &Rc<SearcherNode>) -> io::Result<()> {
    if node.listener.borrow().is_some() {
        return Ok(());
    }
    node.reserved.borrow_mut().take();
    let (socket, _) = bind(node.address().port())?;
    serve_searcher(node, socket);
    Ok(())
}

/// Reserves the port of a searcher that is down, so that no other process can bind it.
///
/// Retries until the former listener has released the port; stops if the searcher comes up.
async fn reserve_port(node: Rc<SearcherNode>) {
    while node.listener.borrow().is_none() {
        if let Ok(socket) = reserve(node.address().port()) {
            node.reserved.borrow_mut().replace(socket);
            return;
        }
        actix_rt::time::sleep(RESERVE_RETRY_INTERVAL).await;
    }
}

/// Starts serving a searcher on a bound port.
pub(crate) fn serve_searcher(node: &Rc<SearcherNode>, socket: TcpListener) {
    let endpoint = ServedEndpoint::Searcher(Rc::clone(node));
    let listener = serve(socket, Rc::clone(&node.limiter), endpoint);
    node.listener.borrow_mut().replace(listener);
}

/// Returns whether a target belongs to `service` at `provider`.
fn belongs_to(spec: &TargetSpec, service: &ServiceId, provider: &ProviderId) -> bool {
    spec.service == *service && spec.provider == *provider
}

/// Converts a count to its type on the wire, saturating.
fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
