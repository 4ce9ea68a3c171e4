//! Loans between the VMs that serve a customer.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::VmId;

/// How long a borrower may use a loan, from the moment it asked.
pub(crate) const LOAN_TERM: Duration = Duration::from_secs(10);
/// A loan with no more than this left is renewed.
const RENEW_BEFORE: Duration = Duration::from_secs(4);
/// How much longer the lender goes without, for clocks that run at different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// A rate that is not at its owner for a while.
#[derive(Clone, Copy, Debug)]
struct Loan {
    rate: f64,
    until: Instant,
}

/// The loans given and taken by one VM for one customer, one a peer each way.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoanLedger {
    given: BTreeMap<VmId, Loan>,
    taken: BTreeMap<VmId, Loan>,
}

impl LoanLedger {
    /// The rate that this VM may use now of its `own` part and what it borrowed.
    pub(crate) fn usable(&self, own: f64, now: Instant) -> f64 {
        (own - sum(&self.given, now)).max(0.0) + sum(&self.taken, now)
    }

    /// What this VM has not lent of its `own` part, the loan to `borrower` counted as not lent.
    pub(crate) fn unlent(&self, own: f64, borrower: &VmId, now: Instant) -> f64 {
        let renewed = running(&self.given, borrower, now);
        (own - sum(&self.given, now) + renewed).max(0.0)
    }

    /// What `lender` lends now.
    pub(crate) fn taken_from(&self, lender: &VmId, now: Instant) -> f64 {
        running(&self.taken, lender, now)
    }

    /// Lends `rate` from now on, whether or not the borrower gets to know.
    ///
    /// A borrower that doesn't get to know goes on with what it had, so that the higher of the two
    /// rates is given up.
    pub(crate) fn give(&mut self, borrower: &VmId, rate: f64, now: Instant) {
        self.given.retain(|_, loan| now < loan.until);
        let rate = rate.max(running(&self.given, borrower, now));
        let until = now + LOAN_TERM + CLOCK_MARGIN;
        self.given.insert(borrower.clone(), Loan { rate, until });
    }

    /// Takes in a loan that was asked for at `asked_at`, before the lender could give it.
    pub(crate) fn take(&mut self, lender: &VmId, rate: f64, asked_at: Instant, now: Instant) {
        self.taken.retain(|_, loan| now < loan.until);
        self.taken.insert(lender.clone(), Loan { rate, until: asked_at + LOAN_TERM });
    }

    /// The lender whose loan has to be renewed first, if one is due.
    pub(crate) fn due_lender(&self, now: Instant) -> Option<&VmId> {
        let is_due = |loan: &Loan| now < loan.until && loan.until <= now + RENEW_BEFORE;
        let due = self.taken.iter().filter(|(_, loan)| is_due(loan));
        due.min_by_key(|(_, loan)| loan.until).map(|(lender, _)| lender)
    }

    /// When the next loan ends, if there is one after `now`.
    pub(crate) fn next_end(&self, now: Instant) -> Option<Instant> {
        let loans = self.given.values().chain(self.taken.values());
        loans.map(|loan| loan.until).filter(|until| now < *until).min()
    }
}

/// The rate of one peer's loan while it runs.
fn running(loans: &BTreeMap<VmId, Loan>, peer: &VmId, now: Instant) -> f64 {
    loans.get(peer).filter(|loan| now < loan.until).map_or(0.0, |loan| loan.rate)
}

/// What runs of the loans.
fn sum(loans: &BTreeMap<VmId, Loan>, now: Instant) -> f64 {
    loans.values().filter(|loan| now < loan.until).map(|loan| loan.rate).sum()
}
