//! Service that executes non-idempotent requests for the front.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::CustomerId;
use oleanderwind_policy::LedgerCause;
use oleanderwind_policy::LedgerEngine;
use oleanderwind_policy::LedgerKey;
use oleanderwind_policy::LedgerRequest;
use oleanderwind_policy::LedgerRequestId;
use oleanderwind_policy::LedgerSettings;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_policy::ServiceId;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::directory::DirectoryService;
use crate::fanout::FanoutService;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::ledger::driver::run_timers;
use crate::ledger::instruments::LedgerInstruments;
use crate::platform::PlatformService;
use crate::targets::TargetService;

/// Interval at which a drain checks for open requests.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// One attempt of a non-idempotent request.
#[derive(Clone, Debug)]
pub(crate) struct LedgerCall {
    pub(crate) customer: CustomerId,
    pub(crate) service: ServiceId,
    pub(crate) key: LedgerKey,
    /// Attempt number, counted by the caller from 1; 0 if the caller doesn't count.
    pub(crate) attempt: u32,
    /// Body to send to the target.
    pub(crate) body: Rc<str>,
    /// Time at which the request arrived.
    pub(crate) arrived: Instant,
    /// Time from arrival after which nothing is sent.
    pub(crate) timeout: Duration,
}

/// Answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerReply {
    pub(crate) outcome: RequestOutcome,
    pub(crate) ran: RunState,
    pub(crate) cause: LedgerCause,
    pub(crate) result: Option<String>,
    pub(crate) retry_after: Option<Duration>,
    /// Whether the attempt was handed over for dispatch.
    pub(crate) is_dispatched: bool,
}

/// Attempt that is not answered yet.
pub(crate) struct PendingCall {
    pub(crate) call: LedgerCall,
    pub(crate) is_dispatched: bool,
    pub(crate) reply: oneshot::Sender<LedgerReply>,
}

/// Ledger engine with its I/O, and the calls whose bodies the engine does not hold.
pub(crate) struct LedgerService {
    pub(crate) engine: RefCell<LedgerEngine>,
    pub(crate) pending: RefCell<HashMap<LedgerRequestId, PendingCall>>,
    pub(crate) platform: Rc<PlatformService>,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) targets: Rc<TargetService>,
    pub(crate) fanout: Rc<FanoutService>,
    pub(crate) instruments: LedgerInstruments,
    pub(crate) timer_changes: Notify,
    next_request: Cell<LedgerRequestId>,
    drain_timeout: Duration,
}

impl LedgerService {
    /// Creates the service and starts its timers.
    pub(crate) fn start(kernel: &Rc<Kernel>) -> Result<Rc<LedgerService>, KernelError> {
        // Claim tokens must differ at every start, so the seed must not be fixed.
        let settings =
            LedgerSettings { token_seed: rand::random::<u64>(), ..LedgerSettings::default() };
        let ledger = Rc::new(LedgerService {
            engine: RefCell::new(LedgerEngine::new(settings)),
            pending: RefCell::new(HashMap::new()),
            platform: kernel.platform()?,
            directory: kernel.directory()?,
            targets: kernel.targets()?,
            fanout: kernel.fanout()?,
            instruments: LedgerInstruments::new(&*kernel.metrics()?),
            timer_changes: Notify::new(),
            next_request: Cell::new(1),
            drain_timeout: kernel.settings().drain_patience,
        });
        actix_rt::spawn(run_timers(ledger.clone()));
        Ok(ledger)
    }

    /// Runs one attempt until it is answered.
    ///
    /// Dropping the future doesn't cancel the attempt: it continues until its outcome is recorded.
    pub(crate) async fn execute(self: &Rc<Self>, call: LedgerCall) -> Option<LedgerReply> {
        let request_id = self.next_request.get();
        self.next_request.set(request_id + 1);
        let since_arrival = call.arrived.elapsed();
        let request = LedgerRequest {
            id: request_id,
            customer: call.customer.clone(),
            key: call.key.clone(),
            attempt: call.attempt,
            deadline: call.arrived + call.timeout,
            wall_deadline: SystemTime::now() + call.timeout.saturating_sub(since_arrival),
        };
        let (sender, receiver) = oneshot::channel();
        let pending_call = PendingCall { call, is_dispatched: false, reply: sender };
        self.pending.borrow_mut().insert(request_id, pending_call);
        self.submit(request);
        receiver.await.ok()
    }

    /// Waits until every attempt is answered and recorded, at most for the drain timeout.
    pub(crate) async fn drain(&self) {
        let wait = async {
            while self.engine.borrow().open_requests() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        if tokio::time::timeout(self.drain_timeout, wait).await.is_err() {
            let unfinished = self.engine.borrow().open_requests();
            log::error!("{unfinished} requests were not yet recorded when the drain timed out");
        }
    }
}
