//! Requests that may not be repeated, as the front starts them.

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

/// How often a drain looks for open requests.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// One try of a request that may not be repeated.
#[derive(Clone, Debug)]
pub(crate) struct LedgerCall {
    pub(crate) customer: CustomerId,
    pub(crate) service: ServiceId,
    pub(crate) key: LedgerKey,
    /// Counted by the caller from 1; 0 when it doesn't count.
    pub(crate) attempt: u32,
    /// What to do.
    pub(crate) body: Rc<str>,
    /// When the request was taken in.
    pub(crate) arrived: Instant,
    /// Time after which nothing is sent.
    pub(crate) timeout: Duration,
}

/// What a try came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerReply {
    pub(crate) outcome: RequestOutcome,
    pub(crate) ran: RunState,
    pub(crate) cause: LedgerCause,
    pub(crate) result: Option<String>,
    pub(crate) retry_after: Option<Duration>,
    /// Whether the try was handed to a target.
    pub(crate) is_dispatched: bool,
}

/// A try as the driver holds it until its answer.
pub(crate) struct DrivenTry {
    pub(crate) call: LedgerCall,
    pub(crate) is_dispatched: bool,
    pub(crate) reply: oneshot::Sender<LedgerReply>,
}

/// The engine with what it keeps no bytes of.
pub(crate) struct LedgerService {
    pub(crate) engine: RefCell<LedgerEngine>,
    pub(crate) tries: RefCell<HashMap<LedgerRequestId, DrivenTry>>,
    pub(crate) platform: Rc<PlatformService>,
    pub(crate) directory: Rc<DirectoryService>,
    pub(crate) targets: Rc<TargetService>,
    pub(crate) fanout: Rc<FanoutService>,
    pub(crate) instruments: LedgerInstruments,
    pub(crate) timer_changes: Notify,
    next_request: Cell<LedgerRequestId>,
    drain_patience: Duration,
}

impl LedgerService {
    /// Starts the timers.
    pub(crate) fn start(kernel: &Rc<Kernel>) -> Result<Rc<LedgerService>, KernelError> {
        // Tokens must differ at every start, so no settled seed will do.
        let settings =
            LedgerSettings { token_seed: rand::random::<u64>(), ..LedgerSettings::default() };
        let ledger = Rc::new(LedgerService {
            engine: RefCell::new(LedgerEngine::new(settings)),
            tries: RefCell::new(HashMap::new()),
            platform: kernel.platform()?,
            directory: kernel.directory()?,
            targets: kernel.targets()?,
            fanout: kernel.fanout()?,
            instruments: LedgerInstruments::new(&*kernel.metrics()?),
            timer_changes: Notify::new(),
            next_request: Cell::new(1),
            drain_patience: kernel.settings().drain_patience,
        });
        actix_rt::spawn(run_timers(ledger.clone()));
        Ok(ledger)
    }

    /// Runs one try to its answer; dropping the future leaves the try to its recorded end.
    pub(crate) async fn execute(self: &Rc<Self>, call: LedgerCall) -> Option<LedgerReply> {
        let request_id = self.next_request.get();
        self.next_request.set(request_id + 1);
        let spent = call.arrived.elapsed();
        let request = LedgerRequest {
            id: request_id,
            customer: call.customer.clone(),
            key: call.key.clone(),
            attempt: call.attempt,
            deadline: call.arrived + call.timeout,
            wall_deadline: SystemTime::now() + call.timeout.saturating_sub(spent),
        };
        let (sender, receiver) = oneshot::channel();
        let driven = DrivenTry { call, is_dispatched: false, reply: sender };
        self.tries.borrow_mut().insert(request_id, driven);
        self.submit(request);
        receiver.await.ok()
    }

    /// Waits until every try is answered and recorded, at most for the drain's patience.
    pub(crate) async fn drain(&self) {
        let wait = async {
            while self.engine.borrow().open_requests() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        if tokio::time::timeout(self.drain_patience, wait).await.is_err() {
            let left = self.engine.borrow().open_requests();
            log::error!("{left} requests were not recorded by the end of the drain");
        }
    }
}
