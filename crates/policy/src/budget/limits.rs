//! Limits of the credit for extra calls.

use std::time::Duration;

/// Cost of one extra call in credit, which counts thousandths of a call.
pub(crate) const CREDIT_PER_CALL: i64 = 1_000;

/// Divisor of a full budget that gives the part reserved for retries and refills.
///
/// A hedge speeds up a slow answer, whereas a retry saves one that would be lost. The reserve
/// covers the failed calls after which the targets of a lost failure domain count as failing.
const RESERVE_DIVISOR: i64 = 2;
/// Largest reserve of a service's budget. It covers the targets of one shard: one failed call marks
/// a target as failing.
const MAX_SERVICE_RESERVE: i64 = 3 * CREDIT_PER_CALL;
/// Part of a VM's share of the slack that it may save up, in thousandths.
///
/// A VM with many queries lives on what they earn and needs the rest to outlast a fault. A VM with
/// few queries needs what it regains, but few calls for each service.
const SAVED_SHARE_PERMILLE: i64 = 750;

/// Limits of the credit in one budget, in thousandths of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CreditLimits {
    /// Maximum credit held.
    pub(crate) max: i64,
    /// Credit of a new budget.
    pub(crate) initial: i64,
    /// Credit regained in each window.
    refill: i64,
    /// Window over which the slack is limited.
    window: Duration,
    /// Credit that hedges leave to retries.
    pub(crate) retry_reserve: i64,
}

impl CreditLimits {
    /// Returns the limits of a customer's budget, which starts empty and is filled by primary calls
    /// only.
    pub(crate) fn customer(burst_calls: u32) -> CreditLimits {
        let max = i64::from(burst_calls) * CREDIT_PER_CALL;
        let retry_reserve = max / RESERVE_DIVISOR;
        CreditLimits { max, initial: 0, refill: 0, window: Duration::MAX, retry_reserve }
    }

    /// Returns the limits of a service's budget on a VM that may send `share_calls` extra calls
    /// beyond the share of its primary calls in any `window`.
    ///
    /// Three quarters of the share may be saved up, and one call at least. An eighth is regained in
    /// each window, and a process starts with an eighth. Together they are the share, so that it
    /// holds in any window in which the VM is restarted once. Without the last two, a VM with few
    /// queries would take minutes to save up the slack that the contract allows it in each window.
    ///
    /// Nothing is regained if `window` is zero.
    pub(crate) fn service(share_calls: u32, window: Duration) -> CreditLimits {
        let share = i64::from(share_calls) * CREDIT_PER_CALL;
        let max = (share * SAVED_SHARE_PERMILLE / 1_000).max(CREDIT_PER_CALL).min(share);
        let initial = (share - max) / 2;
        let refill = if window.is_zero() { 0 } else { share - max - initial };
        let retry_reserve = MAX_SERVICE_RESERVE.min(max / RESERVE_DIVISOR);
        CreditLimits { max, initial, refill, window, retry_reserve }
    }

    /// Returns the credit regained in `elapsed`, rounded down.
    pub(crate) fn gained(&self, elapsed: Duration) -> i64 {
        match self.refill {
            0 => 0,
            refill => (refill as f64 * elapsed.div_duration_f64(self.window)) as i64,
        }
    }

    /// Returns the time in which `credit` is regained.
    pub(crate) fn time_to_gain(&self, credit: i64) -> Duration {
        match self.refill {
            0 => Duration::ZERO,
            refill => self.window.mul_f64(credit as f64 / refill as f64),
        }
    }
}
