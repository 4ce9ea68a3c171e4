//! One customer's limit at one VM.

use std::time::Duration;
use std::time::Instant;

use crate::ClassPriority;
use crate::VmId;
use crate::admission::bucket::TokenBucket;
use crate::admission::ledger::LOAN_TERM;
use crate::admission::ledger::LoanLedger;

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Gap between two calls for a loan.
const BORROW_GAP: Duration = Duration::from_millis(500);
/// What a VM keeps of its own demand when it lends, as a factor.
const LENDER_HEADROOM: f64 = 1.25;
/// What a VM borrows for, as a factor of its own demand.
const BORROWER_HEADROOM: f64 = 1.1;
/// Smallest rate worth a loan, in requests a second.
const LEAST_LOAN: f64 = 0.1;
/// Longest time that a refused caller is told to wait.
const LONGEST_RETRY: Duration = Duration::from_secs(10);

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may.
    Admitted,
    /// It was not run.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Ask a peer for part of the customer's rate.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanRequest {
    /// The peer.
    pub vm: VmId,
    /// Wanted requests a second.
    pub rate: f64,
}

/// Admission of one customer's requests at one VM.
///
/// The VM owns `limit / holders`. With `holders` VMs or fewer that own a part, all admit no more
/// than `limit` a second plus one second's worth once, for the buckets' depth. Each VM beyond that
/// (started, but not yet counted by the others) adds one part: `1 / holders` of the limit, until
/// it is counted. After a limit is lowered, loans that rest on the old one run for up to
/// [`CustomerLimiter::LOAN_TERM`] more. All this holds under any loss, cut or outage, as an unheard peer still counts. A
/// customer whose part is less than one request a second may have a burst of one a VM.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    own_rate: f64,
    bucket: TokenBucket,
    loans: LoanLedger,
    demand: f64,
    demand_at: Instant,
    next_borrow: Instant,
    next_peer: usize,
    /// Asked last; not asked again at once, or a peer that lends no more would hold up the rest.
    last_lender: Option<VmId>,
}

impl CustomerLimiter {
    /// The part of a `limit` in requests a second that `holders` VMs share.
    pub fn new(limit: f64, holders: usize, now: Instant) -> CustomerLimiter {
        CustomerLimiter {
            own_rate: part_of(limit, holders),
            bucket: TokenBucket::new(now),
            loans: LoanLedger::default(),
            demand: 0.0,
            demand_at: now,
            next_borrow: now,
            next_peer: 0,
            last_lender: None,
        }
    }

    /// Longest time for which a loan outlives a lowered limit.
    pub const LOAN_TERM: Duration = LOAN_TERM;

    /// Takes a change of the contract or of the customer's holders in.
    pub fn set_limit(&mut self, limit: f64, holders: usize, now: Instant) {
        self.settle(now);
        self.own_rate = part_of(limit, holders);
    }

    /// Decides on one request, in constant time and before any work.
    pub fn admit(&mut self, priority: ClassPriority, now: Instant) -> AdmissionDecision {
        self.settle(now);
        self.note_demand(1.0, now);
        let rate = self.usable_rate(now);
        match self.bucket.take(rate, priority) {
            Ok(()) => AdmissionDecision::Admitted,
            Err(wait) => AdmissionDecision::Refused { retry_after: wait.min(LONGEST_RETRY) },
        }
    }

    /// The rate that this VM may admit now.
    pub fn usable_rate(&self, now: Instant) -> f64 {
        self.loans.usable(self.own_rate, now)
    }

    /// Fills the bucket up to `now`, at the rate of each stretch between the ends of loans.
    fn settle(&mut self, now: Instant) {
        let mut from = self.bucket.filled_at();
        while let Some(end) = self.loans.next_end(from).filter(|end| *end < now) {
            self.bucket.fill(self.loans.usable(self.own_rate, from), end);
            from = end;
        }
        self.bucket.fill(self.loans.usable(self.own_rate, from), now);
    }

    /// Averages demand, with weights that decay over the window.
    fn note_demand(&mut self, requests: f64, now: Instant) {
        let window = DEMAND_WINDOW.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-elapsed / window).exp() + requests / window;
        self.demand_at = self.demand_at.max(now);
    }
}

/// Loans.
impl CustomerLimiter {
    /// Asks one of `peers` when demand is above what may be admitted, or a loan is about to end.
    pub fn next_loan_request(&mut self, peers: &[VmId], now: Instant) -> Option<LoanRequest> {
        if now < self.next_borrow || peers.is_empty() {
            return None;
        }
        self.note_demand(0.0, now);
        let missing = self.demand * BORROWER_HEADROOM - self.usable_rate(now);
        let can_ask = |vm: &&VmId| peers.contains(vm) && self.last_lender.as_ref() != Some(*vm);
        let due = self.loans.due_lender(now).filter(can_ask).cloned();
        let vm = due.unwrap_or_else(|| {
            self.next_peer = (self.next_peer + 1) % peers.len();
            peers[self.next_peer].clone()
        });
        let rate = missing + self.loans.taken_from(&vm, now);
        if rate < LEAST_LOAN {
            return None;
        }
        self.next_borrow = now + BORROW_GAP;
        self.last_lender = Some(vm.clone());
        Some(LoanRequest { vm, rate })
    }

    /// Lends what the own demand leaves, at most `wanted`; gives back how much.
    ///
    /// It replaces an earlier loan to the same borrower. What was borrowed is never lent on, so
    /// that every loan rests on its owner's part.
    pub fn lend(&mut self, borrower: &VmId, wanted: f64, now: Instant) -> f64 {
        self.settle(now);
        self.note_demand(0.0, now);
        let unlent = self.loans.unlent(self.own_rate, borrower, now);
        let rate = (unlent - self.demand * LENDER_HEADROOM).min(wanted);
        if rate.is_nan() || rate < LEAST_LOAN {
            return 0.0;
        }
        self.loans.give(borrower, rate, now);
        rate
    }

    /// Takes the loan in that a call made at `asked_at` brought; nothing lent changes nothing.
    pub fn record_loan(&mut self, lender: &VmId, rate: f64, asked_at: Instant, now: Instant) {
        self.settle(now);
        if rate.is_finite() && rate > 0.0 {
            self.loans.take(lender, rate, asked_at, now);
        }
    }
}

/// One VM's part of a limit.
fn part_of(limit: f64, holders: usize) -> f64 {
    limit / holders.max(1) as f64
}
