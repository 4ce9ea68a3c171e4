//! Loans of rate between the VMs that serve a customer.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::VmId;

/// How long a borrower may use a loan, from the time of its request.
pub(crate) const LOAN_TERM: Duration = Duration::from_secs(10);
/// A loan is due for renewal when at most this time remains.
const RENEWAL_WINDOW: Duration = Duration::from_secs(4);
/// How much longer the lender reserves the lent rate, to allow for clock drift between VMs.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// A rate on loan, in requests per second, until the given time.
#[derive(Clone, Copy, Debug)]
struct Loan {
    rate: f64,
    expires_at: Instant,
}

/// Loans that one VM has given and taken for one customer, at most one per peer and direction.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLoans {
    lent: BTreeMap<VmId, Loan>,
    borrowed: BTreeMap<VmId, Loan>,
}

impl RateLoans {
    /// Returns the rate that this VM may use now, out of its `own` share and the borrowed rates.
    pub(crate) fn usable(&self, own: f64, now: Instant) -> f64 {
        (own - total_active_rate(&self.lent, now)).max(0.0) + total_active_rate(&self.borrowed, now)
    }

    /// Returns the rate of the `own` share that is available to `borrower`.
    ///
    /// An active loan to `borrower` counts as available, as a new one replaces it.
    pub(crate) fn available_to(&self, own: f64, borrower: &VmId, now: Instant) -> f64 {
        let replaced = active_rate(&self.lent, borrower, now);
        (own - total_active_rate(&self.lent, now) + replaced).max(0.0)
    }

    /// Returns the rate borrowed from `lender` now.
    pub(crate) fn borrowed_from(&self, lender: &VmId, now: Instant) -> f64 {
        active_rate(&self.borrowed, lender, now)
    }

    /// Lends `rate` from now on, whether or not the reply reaches the borrower.
    ///
    /// If the reply is lost, the borrower still uses an earlier loan. The lender therefore reserves
    /// the higher of the two rates.
    pub(crate) fn lend(&mut self, borrower: &VmId, rate: f64, now: Instant) {
        self.lent.retain(|_, loan| now < loan.expires_at);
        let rate = rate.max(active_rate(&self.lent, borrower, now));
        let expires_at = now + LOAN_TERM + CLOCK_DRIFT_MARGIN;
        self.lent.insert(borrower.clone(), Loan { rate, expires_at });
    }

    /// Records a loan that was requested at `requested_at`.
    ///
    /// The term starts at the request, which precedes the start of the term at the lender.
    pub(crate) fn borrow(&mut self, lender: &VmId, rate: f64, requested_at: Instant, now: Instant) {
        self.borrowed.retain(|_, loan| now < loan.expires_at);
        self.borrowed.insert(lender.clone(), Loan { rate, expires_at: requested_at + LOAN_TERM });
    }

    /// Returns the lender of the loan that expires first among those due for renewal.
    pub(crate) fn lender_to_renew(&self, now: Instant) -> Option<&VmId> {
        let is_due = |loan: &Loan| now < loan.expires_at && loan.expires_at <= now + RENEWAL_WINDOW;
        let due = self.borrowed.iter().filter(|(_, loan)| is_due(loan));
        due.min_by_key(|(_, loan)| loan.expires_at).map(|(lender, _)| lender)
    }

    /// Returns when the next loan expires after `now`, if there is one.
    pub(crate) fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let loans = self.lent.values().chain(self.borrowed.values());
        loans.map(|loan| loan.expires_at).filter(|expires_at| now < *expires_at).min()
    }
}

/// Returns the rate of one peer's loan, or zero if it has none or it has expired.
fn active_rate(loans: &BTreeMap<VmId, Loan>, peer: &VmId, now: Instant) -> f64 {
    loans.get(peer).filter(|loan| now < loan.expires_at).map_or(0.0, |loan| loan.rate)
}

/// Returns the total rate of the active loans.
fn total_active_rate(loans: &BTreeMap<VmId, Loan>, now: Instant) -> f64 {
    loans.values().filter(|loan| now < loan.expires_at).map(|loan| loan.rate).sum()
}
