//! One rate limiter per contract, with loans between the VMs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy::AdmissionDecision;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::CustomerId;
use oleanderwind_policy::CustomerLimiter;
use oleanderwind_policy::LoanRequest;
use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::DemandRecord;

use crate::directory::DirectoryService;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::peers::PeerService;

/// Admission control for the requests of all customers.
pub(crate) struct AdmissionService {
    limiters: RefCell<HashMap<CustomerId, CustomerLimiter>>,
    directory: Rc<DirectoryService>,
    peers: Rc<PeerService>,
}

impl AdmissionService {
    /// Starts tasks that track the contracts and the fleet, and that answer loan requests.
    pub(crate) fn start(kernel: &Rc<Kernel>) -> Result<Rc<AdmissionService>, KernelError> {
        let admission = Rc::new(AdmissionService {
            limiters: RefCell::new(HashMap::new()),
            directory: kernel.directory()?,
            peers: kernel.peers()?,
        });
        actix_rt::spawn(track_contracts(admission.clone()));
        actix_rt::spawn(lend(admission.clone()));
        Ok(admission)
    }

    /// Decides on one request, and requests a loan from a peer if this VM's share does not suffice.
    pub(crate) fn admit(
        self: &Rc<Self>,
        customer: &CustomerId,
        priority: ClassPriority,
    ) -> AdmissionDecision {
        let now = Instant::now();
        let mut limiters = self.limiters.borrow_mut();
        // A customer without a limiter is admitted. The caller has found the contract in the same
        // poll, so its limiter exists.
        let Some(limiter) = limiters.get_mut(customer) else { return AdmissionDecision::Admitted };
        let decision = limiter.admit(priority, now);
        if let Some(call) = limiter.next_loan_request(&self.peers.lenders(), now) {
            actix_rt::spawn(borrow(self.clone(), customer.clone(), call, now));
        }
        decision
    }

    /// Updates the limiters to the contracts in force and to the number of VMs that share them.
    fn apply_contracts(&self, holders: usize) {
        let now = Instant::now();
        let contracts = self.directory.contracts();
        let mut limiters = self.limiters.borrow_mut();
        let mut kept = HashMap::with_capacity(contracts.len());
        for entry in contracts {
            let customer = entry.contract.customer.clone();
            let limit = entry.contract.requests_per_second;
            let mut limiter = limiters
                .remove(&customer)
                .unwrap_or_else(|| CustomerLimiter::new(limit, holders, now));
            limiter.set_limit(limit, holders, now);
            kept.insert(customer, limiter);
        }
        *limiters = kept;
    }

    /// Lends each wanted rate, as far as this VM's own demand leaves it.
    fn lend_to(&self, request: &BorrowRequest) -> BorrowReply {
        let now = Instant::now();
        let borrower = request.vm.as_str().into();
        let mut limiters = self.limiters.borrow_mut();
        let mut reply = BorrowReply::default();
        for wanted in &request.wanted {
            let Some(limiter) = limiters.get_mut(wanted.customer.as_str()) else { continue };
            let rate = limiter.lend(&borrower, wanted.requests_per_second, now);
            if rate > 0.0 {
                let customer = wanted.customer.clone();
                reply.lent.push(DemandRecord { customer, requests_per_second: rate });
            }
        }
        reply
    }
}

/// Requests a loan from one peer and records it.
async fn borrow(
    admission: Rc<AdmissionService>,
    customer: CustomerId,
    call: LoanRequest,
    requested_at: Instant,
) {
    let wanted = DemandRecord { customer: customer.to_string(), requests_per_second: call.rate };
    let Some(reply) = admission.peers.request_loan(&call.vm, wanted).await else { return };
    let mut limiters = admission.limiters.borrow_mut();
    let Some(limiter) = limiters.get_mut(&customer) else { return };
    for lent in reply.lent.iter().filter(|lent| *lent.customer == *customer) {
        limiter.record_loan(&call.vm, lent.requests_per_second, requested_at, Instant::now());
    }
}

/// Answers the loan requests of peers.
async fn lend(admission: Rc<AdmissionService>) {
    let Some(mut loan_requests) = admission.peers.take_loan_requests() else { return };
    while let Some(loan_request) = loan_requests.recv().await {
        let reply = admission.lend_to(&loan_request.request);
        // A borrower that has stopped waiting does not use the loan, which then expires.
        let _ = loan_request.reply.send(reply);
    }
}

/// Updates the limiters when the contracts or the number of VMs that share them change.
async fn track_contracts(admission: Rc<AdmissionService>) {
    let mut changes = admission.directory.contract_changes();
    let mut shapes = admission.peers.subscribe_fleet_shape();
    loop {
        let holders = shapes.borrow_and_update().vms;
        admission.apply_contracts(holders);
        let changed = tokio::select! {
            changed = changes.changed() => changed,
            changed = shapes.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
