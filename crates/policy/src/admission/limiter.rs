//! Rate limiter of one customer at one VM.

use std::time::Duration;
use std::time::Instant;

use crate::ClassPriority;
use crate::VmId;
use crate::admission::bucket::TokenBucket;
use crate::admission::loans::LOAN_TERM;
use crate::admission::loans::RateLoans;

/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Minimum time between two loan requests.
const MIN_BORROW_INTERVAL: Duration = Duration::from_millis(500);
/// Multiple of its own demand that a VM keeps when it lends.
const LENDER_HEADROOM: f64 = 1.25;
/// Multiple of its own demand up to which a VM borrows.
const BORROWER_HEADROOM: f64 = 1.1;
/// Minimum rate of a loan, in requests per second.
const MIN_LOAN_RATE: f64 = 0.1;
/// Upper bound on the retry delay returned to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Outcome of the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run.
    Admitted,
    /// The request was not run.
    Refused {
        /// Delay after which to retry.
        retry_after: Duration,
    },
}

/// A request to a peer for part of its share of the customer's rate.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanRequest {
    /// The peer to ask.
    pub vm: VmId,
    /// Wanted rate, in requests per second.
    pub rate: f64,
}

/// Admission of one customer's requests at one VM.
///
/// The VM's own share is `limit / holders`, where `holders` counts the VMs that may serve the
/// customer. With at most `holders` VMs that own a share, all VMs together admit at most `limit`
/// requests per second, plus one burst of at most one second's requests, because each bucket holds
/// up to one second of its rate. A started VM that the others don't count yet adds `1 / holders` of
/// the limit until they do. After a limit is lowered, loans based on the old limit remain valid for
/// up to [`CustomerLimiter::LOAN_TERM`].
///
/// These bounds hold under any message loss, partition or outage, as an unreachable peer still
/// counts as a holder. A customer whose share is less than one request per second may have a burst
/// of one request per VM.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    own_rate: f64,
    bucket: TokenBucket,
    loans: RateLoans,
    demand: f64,
    demand_at: Instant,
    next_borrow_at: Instant,
    last_peer_index: usize,
    /// The last peer asked. It is not asked twice in a row for a renewal, as otherwise a peer that
    /// has stopped lending would block requests to the others.
    last_asked_peer: Option<VmId>,
}

impl CustomerLimiter {
    /// Returns a limiter for the share of one of `holders` VMs in `limit`, in requests per second.
    pub fn new(limit: f64, holders: usize, now: Instant) -> CustomerLimiter {
        CustomerLimiter {
            own_rate: equal_share(limit, holders),
            bucket: TokenBucket::new(now),
            loans: RateLoans::default(),
            demand: 0.0,
            demand_at: now,
            next_borrow_at: now,
            last_peer_index: 0,
            last_asked_peer: None,
        }
    }

    /// Term of a loan, and thus the longest time for which one based on a lowered limit stays
    /// valid.
    pub const LOAN_TERM: Duration = LOAN_TERM;

    /// Applies a change of the contract or of the customer's holders.
    pub fn set_limit(&mut self, limit: f64, holders: usize, now: Instant) {
        self.refill_bucket(now);
        self.own_rate = equal_share(limit, holders);
    }

    /// Decides on one request, before any other work on it and in time bounded by the number of
    /// loans.
    pub fn admit(&mut self, priority: ClassPriority, now: Instant) -> AdmissionDecision {
        self.refill_bucket(now);
        self.record_demand(1.0, now);
        let rate = self.usable_rate(now);
        match self.bucket.try_take(rate, priority) {
            Ok(()) => AdmissionDecision::Admitted,
            Err(wait) => AdmissionDecision::Refused { retry_after: wait.min(MAX_RETRY_AFTER) },
        }
    }

    /// Returns the rate that this VM may admit now, in requests per second.
    pub fn usable_rate(&self, now: Instant) -> f64 {
        self.loans.usable(self.own_rate, now)
    }

    /// Refills the bucket up to `now`, at the rate of each interval between the expiries of loans.
    fn refill_bucket(&mut self, now: Instant) {
        let mut from = self.bucket.refilled_at();
        while let Some(expiry) = self.loans.next_expiry(from).filter(|expiry| *expiry < now) {
            self.bucket.refill(self.loans.usable(self.own_rate, from), expiry);
            from = expiry;
        }
        self.bucket.refill(self.loans.usable(self.own_rate, from), now);
    }

    /// Updates the exponentially weighted moving average of demand.
    fn record_demand(&mut self, requests: f64, now: Instant) {
        let time_constant = DEMAND_TIME_CONSTANT.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-elapsed / time_constant).exp() + requests / time_constant;
        self.demand_at = self.demand_at.max(now);
    }
}

/// Loans.
impl CustomerLimiter {
    /// Returns a request to one of `peers` for the rate that demand with headroom needs from it.
    ///
    /// The lender of a loan about to expire is asked first, otherwise the peers in turn. Returns
    /// `None` if there are no peers, the rate is below the minimum of a loan, or the last request was
    /// too recent.
    pub fn next_loan_request(&mut self, peers: &[VmId], now: Instant) -> Option<LoanRequest> {
        if now < self.next_borrow_at || peers.is_empty() {
            return None;
        }
        self.record_demand(0.0, now);
        let shortfall = self.demand * BORROWER_HEADROOM - self.usable_rate(now);
        let can_ask = |vm: &&VmId| peers.contains(vm) && self.last_asked_peer.as_ref() != Some(*vm);
        let due = self.loans.lender_to_renew(now).filter(can_ask).cloned();
        let vm = due.unwrap_or_else(|| {
            self.last_peer_index = (self.last_peer_index + 1) % peers.len();
            peers[self.last_peer_index].clone()
        });
        let rate = shortfall + self.loans.borrowed_from(&vm, now);
        if rate < MIN_LOAN_RATE {
            return None;
        }
        self.next_borrow_at = now + MIN_BORROW_INTERVAL;
        self.last_asked_peer = Some(vm.clone());
        Some(LoanRequest { vm, rate })
    }

    /// Lends what is left of this VM's share after its demand with headroom, at most `wanted`, and
    /// returns the lent rate.
    ///
    /// The loan replaces an earlier one to the same borrower. Borrowed rate is never lent on, so
    /// that every loan is backed by the share of its lender.
    pub fn lend(&mut self, borrower: &VmId, wanted: f64, now: Instant) -> f64 {
        self.refill_bucket(now);
        self.record_demand(0.0, now);
        let available = self.loans.available_to(self.own_rate, borrower, now);
        let rate = (available - self.demand * LENDER_HEADROOM).min(wanted);
        if rate.is_nan() || rate < MIN_LOAN_RATE {
            return 0.0;
        }
        self.loans.lend(borrower, rate, now);
        rate
    }

    /// Records the reply to a loan request sent at `requested_at`; a rate of zero changes nothing.
    pub fn record_loan(&mut self, lender: &VmId, rate: f64, requested_at: Instant, now: Instant) {
        self.refill_bucket(now);
        if rate.is_finite() && rate > 0.0 {
            self.loans.borrow(lender, rate, requested_at, now);
        }
    }
}

/// Returns the share of one VM in a limit.
fn equal_share(limit: f64, holders: usize) -> f64 {
    limit / holders.max(1) as f64
}
