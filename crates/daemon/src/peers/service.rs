//! The service's state and its life.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use oleanderwind_policy::ContactTracker;
use oleanderwind_policy::DrainTable;
use oleanderwind_policy::FleetShape;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ReadinessGate;
use oleanderwind_policy::TargetId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::directory::DirectoryService;
use crate::kernel::Kernel;
use crate::peers::call::BorrowAsk;
use crate::peers::client::PeerClients;
use crate::peers::heartbeat::send_heartbeats;
use crate::peers::heartbeat::serve_calls;
use crate::peers::measures::PeerMeasures;
use crate::peers::server::PeerListener;
use crate::settings::DaemonSettings;
use crate::time::epoch_milliseconds;

/// Time that a limiter's depth takes to fill.
const LIMIT_FILL_TIME: Duration = Duration::from_secs(1);
/// How long a VM that ends waits for its last word to arrive.
const LAST_WORD_TIME: Duration = Duration::from_millis(300);

/// The engines of the control plane.
pub(crate) struct PeerState {
    pub(crate) membership: MembershipEngine,
    pub(crate) spread: GossipEngine,
    pub(crate) gate: ReadinessGate,
    pub(crate) contact: ContactTracker,
    pub(crate) drains: DrainTable,
}

/// Talks to the other VMs.
pub(crate) struct PeerService {
    pub(crate) settings: DaemonSettings,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) measures: PeerMeasures,
    pub(crate) state: RefCell<PeerState>,
    pub(crate) clients: PeerClients,
    /// The VMs that share targets, by this VM's view.
    pub(crate) fleet_shape: watch::Sender<FleetShape>,
    /// Departures of targets that this VM did not hear itself.
    pub(crate) drain_news: mpsc::UnboundedSender<TargetId>,
    /// Peers that ask for loans.
    pub(crate) borrow_asks: mpsc::UnboundedSender<BorrowAsk>,
    borrow_receiver: RefCell<Option<mpsc::UnboundedReceiver<BorrowAsk>>>,
    drain_receiver: RefCell<Option<mpsc::UnboundedReceiver<TargetId>>>,
    is_opening: Cell<bool>,
    listener: RefCell<Option<PeerListener>>,
    address: SocketAddr,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl PeerService {
    /// Binds the peers' address; heartbeats begin with [`PeerService::open`].
    ///
    /// # Errors
    ///
    /// When the address can't be bound or a service is missing.
    pub(crate) async fn start(kernel: &Rc<Kernel>) -> eyre::Result<Rc<PeerService>> {
        let settings = kernel.settings().clone();
        let listener = PeerListener::bind(settings.peer_listen).await?;
        let address = listener.address()?;
        let (drain_news, drain_receiver) = mpsc::unbounded_channel();
        let (borrow_asks, borrow_receiver) = mpsc::unbounded_channel();
        Ok(Rc::new(PeerService {
            directory: kernel.directory()?,
            measures: PeerMeasures::new(kernel.metrics()?.meter()),
            state: RefCell::new(new_state(&settings, address)),
            clients: PeerClients::default(),
            fleet_shape: watch::Sender::new(FleetShape::uniform(1)),
            drain_news,
            borrow_asks,
            borrow_receiver: RefCell::new(Some(borrow_receiver)),
            drain_receiver: RefCell::new(Some(drain_receiver)),
            is_opening: Cell::new(false),
            listener: RefCell::new(Some(listener)),
            address,
            stop: RefCell::new(None),
            tasks: RefCell::new(Vec::new()),
            settings,
        }))
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves peers and begins heartbeats, now that callers can be served at `caller`.
    pub(crate) fn open(self: &Rc<Self>, caller: SocketAddr) {
        let Some(listener) = self.listener.borrow_mut().take() else { return };
        self.state.borrow_mut().membership.set_caller_address(caller);
        let (stop, stopped) = oneshot::channel();
        *self.stop.borrow_mut() = Some(stop);
        let calls = listener.serve(stopped);
        let mut tasks = self.tasks.borrow_mut();
        tasks.push(actix_rt::spawn(serve_calls(self.clone(), calls)));
        tasks.push(actix_rt::spawn(send_heartbeats(self.clone())));
    }

    /// Departures of targets as peers tell of them; one taker.
    pub(crate) fn take_peer_drains(&self) -> Option<mpsc::UnboundedReceiver<TargetId>> {
        self.drain_receiver.borrow_mut().take()
    }

    /// Peers that ask for loans; one taker.
    pub(crate) fn take_loan_requests(&self) -> Option<mpsc::UnboundedReceiver<BorrowAsk>> {
        self.borrow_receiver.borrow_mut().take()
    }

    /// Tells peers that this VM is leaving.
    pub(crate) fn announce_leaving(self: &Rc<Self>) {
        self.announce(MemberPhase::Leaving);
    }

    /// Says goodbye and ends.
    pub(crate) async fn drain(self: &Rc<Self>) {
        self.announce(MemberPhase::Left);
        tokio::time::sleep(LAST_WORD_TIME).await;
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        drop(self.stop.borrow_mut().take());
    }

    fn announce(self: &Rc<Self>, phase: MemberPhase) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let summary = state.spread.store().summary();
            state.membership.announce(phase, summary)
        };
        self.carry_out(actions);
    }

    /// Takes the consequences of anything that was heard.
    pub(crate) fn settle(self: &Rc<Self>) {
        let known = self.serving_peers();
        let opens = {
            let mut state = self.state.borrow_mut();
            let complete_to = state.spread.store().summary().complete_revision;
            !self.directory.is_configured() && state.gate.is_open(complete_to, known)
        };
        let fleet = self.count_fleet();
        self.fleet_shape.send_if_modified(|shape| std::mem::replace(shape, fleet) != fleet);
        if opens && !self.is_opening.replace(true) {
            actix_rt::spawn(begin_serving(self.clone()));
        }
    }
}

/// Serves once the customers' limits, which start empty, admit a burst.
async fn begin_serving(peers: Rc<PeerService>) {
    if !peers.directory.contracts().is_empty() {
        tokio::time::sleep(LIMIT_FILL_TIME).await;
    }
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
        // Callers are not sent here before the configuration is proven.
        phase: MemberPhase::Leaving,
        suspected: false,
        failure_domain: settings.failure_domain.clone(),
        peer_address: address,
        caller_address: settings.caller_listen,
        revision: 0,
        processor_millicores: settings.processor_millicores,
    };
    let mut membership = MembershipSettings::default();
    membership.seed = settings.seed;
    PeerState {
        membership: MembershipEngine::new(membership, own, now),
        spread: GossipEngine::default(),
        gate: ReadinessGate::default(),
        contact: ContactTracker::new(now),
        drains: DrainTable::default(),
    }
}
