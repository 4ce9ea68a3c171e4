//! One customer's budget of extra calls.

/// Credit that one extra call costs, in thousandths of a call.
const CALL_CREDIT: u64 = 1_000;

/// Part of the full budget that hedges leave to retries and refills, as a divisor.
///
/// A hedge makes a slow answer faster; a retry saves one that would be lost. The part covers the
/// failures after which the targets of a lost failure domain count as failing.
const RETRY_RESERVE_DIVISOR: u64 = 2;

/// Extra calls that a customer has earned and not yet spent.
///
/// Starts empty and is earned by primary calls only, so at any time the extra calls so far are at
/// most the contract's share of the primary calls so far, however slow the targets are.
#[derive(Debug)]
pub(crate) struct ExtraLoadBudget {
    credit: u64,
    cap: u64,
}

impl ExtraLoadBudget {
    /// An empty budget that keeps at most `burst_calls` for later.
    pub(crate) fn new(burst_calls: u32) -> ExtraLoadBudget {
        ExtraLoadBudget { credit: 0, cap: u64::from(burst_calls) * CALL_CREDIT }
    }

    /// Takes in one primary call under a contract that allows `extra_load_permille`.
    pub(crate) fn deposit(&mut self, extra_load_permille: u32) {
        self.credit = (self.credit + u64::from(extra_load_permille)).min(self.cap);
    }

    /// Spends one extra call, or refuses it.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let Some(credit) = self.credit.checked_sub(CALL_CREDIT) else { return false };
        self.credit = credit;
        true
    }

    /// Takes back what a primary call earned that was never sent.
    pub(crate) fn revoke_deposit(&mut self, extra_load_permille: u32) {
        self.credit = self.credit.saturating_sub(u64::from(extra_load_permille));
    }

    /// Gives back an extra call that was never sent.
    pub(crate) fn refund(&mut self) {
        self.credit = (self.credit + CALL_CREDIT).min(self.cap);
    }

    /// Changes how many calls are kept for later.
    pub(crate) fn set_burst(&mut self, burst_calls: u32) {
        self.cap = u64::from(burst_calls) * CALL_CREDIT;
        self.credit = self.credit.min(self.cap);
    }

    /// Extra calls that would be granted now.
    pub(crate) fn calls_left(&self) -> u64 {
        self.credit / CALL_CREDIT
    }

    /// Whether a hedge would leave enough for retries.
    pub(crate) fn has_hedge_credit(&self) -> bool {
        self.credit >= self.cap / RETRY_RESERVE_DIVISOR + CALL_CREDIT
    }

    /// Whether an extra call would be granted now.
    pub(crate) fn has_credit(&self) -> bool {
        self.credit >= CALL_CREDIT
    }
}
