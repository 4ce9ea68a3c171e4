//! Budget of extra calls of one customer or service.

use std::time::Instant;

use crate::budget::CreditLimits;
use crate::budget::limits::CREDIT_PER_CALL;

/// Unspent credit for extra calls.
///
/// A customer's budget starts empty, and only primary calls add credit. At any time its extra calls
/// so far are thus at most the contract's share of the primary calls so far, however slow the
/// targets are. A service's budget also starts with and regains some of the VM's share of the
/// slack, see [`CreditLimits`].
#[derive(Debug)]
pub(crate) struct ExtraLoadBudget {
    /// Negative while calls that were already sent exceed what was earned.
    credit: i64,
    limits: CreditLimits,
    refilled_at: Instant,
}

impl ExtraLoadBudget {
    /// Returns a budget that has existed since `begin` without being used.
    pub(crate) fn new(limits: CreditLimits, begin: Instant) -> ExtraLoadBudget {
        ExtraLoadBudget { credit: limits.initial, limits, refilled_at: begin }
    }

    /// Adds the credit that the budget regained since the last refill.
    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let gained = self.limits.gained(elapsed);
        if gained > 0 {
            self.add(gained);
            // The remainder below one unit of credit is kept for the next refill.
            self.refilled_at += self.limits.time_to_gain(gained);
        }
    }

    /// Adds the credit for one primary call under a contract that allows `extra_load_permille`.
    pub(crate) fn deposit(&mut self, extra_load_permille: u32) {
        self.add(i64::from(extra_load_permille));
    }

    /// Spends the credit for one extra call; returns whether there was enough.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let has_credit = self.has_credit();
        if has_credit {
            self.credit -= CREDIT_PER_CALL;
        }
        has_credit
    }

    /// Turns a primary call into an extra call. Later deposits pay for what the credit does not
    /// cover.
    pub(crate) fn charge_primary_call(&mut self, extra_load_permille: u32) {
        self.revoke_deposit(extra_load_permille);
        self.credit -= CREDIT_PER_CALL;
    }

    /// Removes the credit for a primary call that was never sent. If an extra call has spent it
    /// meanwhile, the next deposits pay for that call.
    pub(crate) fn revoke_deposit(&mut self, extra_load_permille: u32) {
        self.credit -= i64::from(extra_load_permille);
    }

    /// Returns the credit for an extra call that was never sent.
    pub(crate) fn refund(&mut self) {
        self.add(CREDIT_PER_CALL);
    }

    /// Changes the limits; the credit held stays within them.
    pub(crate) fn set_limits(&mut self, limits: CreditLimits) {
        self.limits = limits;
        self.credit = self.credit.min(limits.max);
    }

    /// Returns the number of extra calls that would be allowed now.
    pub(crate) fn calls_left(&self) -> u64 {
        u64::try_from(self.credit / CREDIT_PER_CALL).unwrap_or_default()
    }

    /// Returns whether a hedge would leave the reserve for retries untouched.
    pub(crate) fn has_hedge_credit(&self) -> bool {
        self.credit >= self.limits.retry_reserve + CREDIT_PER_CALL
    }

    /// Returns whether an extra call would be allowed now.
    pub(crate) fn has_credit(&self) -> bool {
        self.credit >= CREDIT_PER_CALL
    }

    fn add(&mut self, credit: i64) {
        self.credit = (self.credit + credit).min(self.limits.max);
    }
}
