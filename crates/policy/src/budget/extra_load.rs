//! Budget of extra calls of one customer or service.

/// Cost of one extra call in credit, which counts thousandths of a call.
const CREDIT_PER_CALL: i64 = 1_000;

/// Divisor of the full budget that gives the part reserved for retries and refills.
///
/// A hedge speeds up a slow answer, whereas a retry saves one that would be lost. The reserve
/// covers the failed calls after which the targets of a lost failure domain count as failing.
const RETRY_RESERVE_DIVISOR: i64 = 2;

/// Unspent credit for extra calls.
///
/// The budget starts empty, and only primary calls add credit. At any time the extra calls so far
/// are thus at most the contract's share of the primary calls so far, however slow the targets are.
#[derive(Debug)]
pub(crate) struct ExtraLoadBudget {
    /// Negative while calls that were already sent exceed what was earned.
    credit: i64,
    max_credit: i64,
}

impl ExtraLoadBudget {
    /// Returns an empty budget that holds credit for at most `burst_calls` extra calls.
    pub(crate) fn new(burst_calls: u32) -> ExtraLoadBudget {
        ExtraLoadBudget { credit: 0, max_credit: i64::from(burst_calls) * CREDIT_PER_CALL }
    }

    /// Adds the credit for one primary call under a contract that allows `extra_load_permille`.
    pub(crate) fn deposit(&mut self, extra_load_permille: u32) {
        self.credit = (self.credit + i64::from(extra_load_permille)).min(self.max_credit);
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
        self.credit = (self.credit + CREDIT_PER_CALL).min(self.max_credit);
    }

    /// Sets the number of extra calls that the budget can hold credit for.
    pub(crate) fn set_burst(&mut self, burst_calls: u32) {
        self.max_credit = i64::from(burst_calls) * CREDIT_PER_CALL;
        self.credit = self.credit.min(self.max_credit);
    }

    /// Returns the number of extra calls that would be allowed now.
    pub(crate) fn calls_left(&self) -> u64 {
        u64::try_from(self.credit / CREDIT_PER_CALL).unwrap_or_default()
    }

    /// Returns whether a hedge would leave the reserve for retries untouched.
    pub(crate) fn has_hedge_credit(&self) -> bool {
        self.credit >= self.max_credit / RETRY_RESERVE_DIVISOR + CREDIT_PER_CALL
    }

    /// Returns whether an extra call would be allowed now.
    pub(crate) fn has_credit(&self) -> bool {
        self.credit >= CREDIT_PER_CALL
    }
}
