//! State and lifecycle of the peer service.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use oleanderwind_policy::ContactTracker;
use oleanderwind_policy::DrainRecord;
use oleanderwind_policy::DrainTable;
use oleanderwind_policy::EvacuationTable;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FleetShape;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitRecord;
use oleanderwind_policy::LimitTable;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::NewsTracker;
use oleanderwind_policy::PermitIssuer;
use oleanderwind_policy::QuarantineEngine;
use oleanderwind_policy::ReachState;
use oleanderwind_policy::ReadinessGate;
use oleanderwind_policy::RefusalTracker;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::directory::DirectoryService;
use crate::kernel::Kernel;
use crate::peers::call::IncomingLoanRequest;
use crate::peers::client::PeerClientPool;
use crate::peers::heartbeat::send_heartbeats;
use crate::peers::heartbeat::serve_calls;
use crate::peers::metrics::PeerMetrics;
use crate::peers::quota::QuotaState;
use crate::peers::server::PeerListener;
use crate::settings::DaemonSettings;
use crate::time::epoch_milliseconds;

/// Time in which an empty token bucket fills up.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(1);
/// Time for the final heartbeats of a stopping VM to arrive.
const DEPARTURE_NOTICE_TIME: Duration = Duration::from_millis(300);

/// Engines of the control plane.
pub(crate) struct PeerState {
    pub(crate) membership: MembershipEngine,
    pub(crate) gossip: GossipEngine,
    pub(crate) readiness: ReadinessGate,
    pub(crate) contact: ContactTracker,
    pub(crate) news: NewsTracker,
    pub(crate) refusals: RefusalTracker,
    pub(crate) drains: DrainTable,
    pub(crate) quarantine: QuarantineEngine,
    pub(crate) limits: LimitTable,
    pub(crate) permits: PermitIssuer,
    pub(crate) evacuations: EvacuationTable,
}

/// A limit of a target that was learned from a peer, and what it changed.
pub(crate) type PeerLimit = (LimitRecord, LimitChange);

/// Service for communication with the other VMs.
pub(crate) struct PeerService {
    pub(crate) settings: DaemonSettings,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) metrics: PeerMetrics,
    pub(crate) state: RefCell<PeerState>,
    pub(crate) clients: PeerClientPool,
    /// Shape of the fleet that shares the targets, in this VM's view.
    pub(crate) fleet_shape: watch::Sender<FleetShape>,
    /// Sends drain notices that were received from peers.
    pub(crate) drain_sender: mpsc::UnboundedSender<DrainRecord>,
    /// Evacuated failure domains.
    pub(crate) evacuated: watch::Sender<BTreeSet<FailureDomainId>>,
    /// Sends limits of targets that were learned from peers.
    pub(crate) limit_sender: mpsc::UnboundedSender<PeerLimit>,
    limit_receiver: RefCell<Option<mpsc::UnboundedReceiver<PeerLimit>>>,
    /// Sends loan requests from peers.
    pub(crate) loan_request_sender: mpsc::UnboundedSender<IncomingLoanRequest>,
    loan_request_receiver: RefCell<Option<mpsc::UnboundedReceiver<IncomingLoanRequest>>>,
    drain_receiver: RefCell<Option<mpsc::UnboundedReceiver<DrainRecord>>>,
    is_starting: Cell<bool>,
    /// When this VM last told peers of suspect work.
    pub(crate) works_told_at: Cell<Option<Instant>>,
    /// Whether a task asks peers for changes that this VM lacks.
    pub(crate) is_chasing: Cell<bool>,
    /// When this VM last probed a holder of rate limits that did not answer.
    pub(crate) holder_probed_at: Cell<Option<Instant>>,
    pub(crate) quotas: RefCell<QuotaState>,
    /// Number of peers to tell more soon; 0 if there is nothing more to tell.
    pub(crate) untold_works_fanout: Cell<usize>,
    listener: RefCell<Option<PeerListener>>,
    address: SocketAddr,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl PeerService {
    /// Binds the address for peers; heartbeats begin with [`PeerService::open`].
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or a required service is not registered.
    pub(crate) async fn start(kernel: &Rc<Kernel>) -> eyre::Result<Rc<PeerService>> {
        let settings = kernel.settings().clone();
        let listener = PeerListener::bind(settings.peer_listen).await?;
        let address = listener.address()?;
        let (drain_sender, drain_receiver) = mpsc::unbounded_channel();
        let (limit_sender, limit_receiver) = mpsc::unbounded_channel();
        let (loan_request_sender, loan_request_receiver) = mpsc::unbounded_channel();
        Ok(Rc::new(PeerService {
            directory: kernel.directory()?,
            metrics: PeerMetrics::new(kernel.metrics()?.meter()),
            state: RefCell::new(new_state(&settings, address)),
            clients: PeerClientPool::default(),
            fleet_shape: watch::Sender::new(FleetShape::uniform(1)),
            drain_sender,
            evacuated: watch::Sender::default(),
            limit_sender,
            limit_receiver: RefCell::new(Some(limit_receiver)),
            loan_request_sender,
            loan_request_receiver: RefCell::new(Some(loan_request_receiver)),
            drain_receiver: RefCell::new(Some(drain_receiver)),
            is_starting: Cell::new(false),
            works_told_at: Cell::new(None),
            is_chasing: Cell::new(false),
            holder_probed_at: Cell::new(None),
            quotas: RefCell::new(QuotaState::new(&settings)),
            untold_works_fanout: Cell::new(0),
            listener: RefCell::new(Some(listener)),
            address,
            stop: RefCell::new(None),
            tasks: RefCell::new(Vec::new()),
            settings,
        }))
    }

    /// Returns the address of the listener for peers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to serve peers and to send heartbeats.
    ///
    /// `caller_address` is where this VM listens for callers. Later calls do nothing.
    pub(crate) fn open(self: &Rc<Self>, caller_address: SocketAddr) {
        let Some(listener) = self.listener.borrow_mut().take() else { return };
        self.state.borrow_mut().membership.set_caller_address(caller_address);
        let (stop, stopped) = oneshot::channel();
        *self.stop.borrow_mut() = Some(stop);
        let calls = listener.serve(stopped);
        let mut tasks = self.tasks.borrow_mut();
        tasks.push(actix_rt::spawn(serve_calls(self.clone(), calls)));
        tasks.push(actix_rt::spawn(send_heartbeats(self.clone())));
    }

    /// Takes the receiver of drain notices that were received from peers.
    ///
    /// Returns `None` after the first call.
    pub(crate) fn take_peer_drains(&self) -> Option<mpsc::UnboundedReceiver<DrainRecord>> {
        self.drain_receiver.borrow_mut().take()
    }

    /// Takes the receiver of limits of targets that were learned from peers.
    ///
    /// Returns `None` after the first call.
    pub(crate) fn take_peer_limits(&self) -> Option<mpsc::UnboundedReceiver<PeerLimit>> {
        self.limit_receiver.borrow_mut().take()
    }

    /// Takes the receiver of loan requests from peers.
    ///
    /// Returns `None` after the first call.
    pub(crate) fn take_loan_requests(
        &self,
    ) -> Option<mpsc::UnboundedReceiver<IncomingLoanRequest>> {
        self.loan_request_receiver.borrow_mut().take()
    }

    /// Announces to peers that this VM is leaving.
    pub(crate) fn announce_leaving(self: &Rc<Self>) {
        self.announce(MemberPhase::Leaving);
    }

    /// Announces whether callers should use this VM: it reaches targets or not.
    pub(crate) fn announce_reach(self: &Rc<Self>, state: ReachState) {
        if !self.directory.is_configured() || self.directory.is_leaving() {
            return;
        }
        self.announce(match state {
            ReachState::Reaching => MemberPhase::Serving,
            ReachState::CutOff => MemberPhase::Leaving,
        });
    }

    /// Announces that this VM has stopped, then ends all tasks.
    pub(crate) async fn drain(self: &Rc<Self>) {
        self.announce(MemberPhase::Left);
        tokio::time::sleep(DEPARTURE_NOTICE_TIME).await;
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        drop(self.stop.borrow_mut().take());
    }

    fn announce(self: &Rc<Self>, phase: MemberPhase) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let summary = state.gossip.store().summary();
            state.membership.announce(phase, summary)
        };
        // A VM that leaves issues no more tokens before it says so.
        self.refresh_quota_view();
        self.perform(actions);
    }

    /// Publishes the fleet shape and starts to serve once the configuration is proven current.
    ///
    /// Called after each change of membership or configuration.
    pub(crate) fn refresh_derived_state(self: &Rc<Self>) {
        let known_peers = self.count_serving_peers();
        let may_start = {
            let mut state = self.state.borrow_mut();
            let complete_revision = state.gossip.store().summary().complete_revision;
            !self.directory.is_configured()
                && state.readiness.try_open(complete_revision, known_peers)
        };
        let fleet = self.compute_fleet_shape();
        self.fleet_shape.send_if_modified(|shape| std::mem::replace(shape, fleet) != fleet);
        self.refresh_quota_view();
        if may_start && !self.is_starting.replace(true) {
            actix_rt::spawn(start_serving(self.clone()));
        }
    }
}

/// Starts to serve.
///
/// If there are contracts, waits until the customers' token buckets, which start empty, admit a
/// burst.
async fn start_serving(peers: Rc<PeerService>) {
    if !peers.directory.contracts().is_empty() {
        tokio::time::sleep(BUCKET_FILL_TIME).await;
    }
    peers.learn_works().await;
    if !peers.directory.is_leaving() {
        peers.directory.mark_configured();
        peers.announce(MemberPhase::Serving);
    }
}

fn new_state(settings: &DaemonSettings, address: SocketAddr) -> PeerState {
    let now = Instant::now();
    let own = MemberRecord {
        vm: settings.vm.clone(),
        incarnation: epoch_milliseconds(),
        sequence: 0,
        // Keeps callers away until the configuration is proven current.
        phase: MemberPhase::Leaving,
        suspected: false,
        failure_domain: settings.failure_domain.clone(),
        peer_address: address,
        caller_address: settings.caller_listen,
        revision: 0,
        processor_millicores: settings.processor_millicores,
        is_refused: false,
    };
    let mut membership = MembershipSettings::default();
    membership.seed = settings.seed;
    PeerState {
        membership: MembershipEngine::new(membership, own, now),
        gossip: GossipEngine::default(),
        readiness: ReadinessGate::default(),
        contact: ContactTracker::new(now),
        news: NewsTracker::default(),
        refusals: RefusalTracker::default(),
        drains: DrainTable::default(),
        quarantine: QuarantineEngine::default(),
        limits: LimitTable::default(),
        permits: PermitIssuer::default(),
        evacuations: EvacuationTable::default(),
    }
}
