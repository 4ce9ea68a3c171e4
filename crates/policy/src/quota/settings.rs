//! Bounds that quotas are kept within.

use std::time::Duration;

use crate::RequestQuota;

/// Part of the overage that tokens issued before a window may use in it.
const USE_TIME_SHARE: f64 = 0.4;
/// Shortest time in which a token must be used, as a reply of the holder takes a few milliseconds.
const MIN_USE_TIME: Duration = Duration::from_millis(50);
/// Part of the rate that VMs issue which do not reach the holder, of the overage.
const UNCONFIRMED_SHARE: f64 = 0.3;
/// The slack is divided by this for each of its uses: the start of a holder, the rate of its deputy, the rate of VMs that
/// reach neither, and, twice, their first tokens.
const SLACK_PARTS: f64 = 5.0;

/// Bounds that the quota of each organisation is kept within.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Window in which the requests of an organisation are counted.
    pub window: Duration,
    /// Part by which the count in a window may exceed the quota.
    pub overage: f64,
    /// Requests in a window that are allowed beyond that.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> QuotaSettings {
        QuotaSettings { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 }
    }
}

impl QuotaSettings {
    /// Returns the time in which a token must be used. Tokens issued in this time before a window count in it.
    pub fn use_time(&self) -> Duration {
        self.window.mul_f64(self.overage * USE_TIME_SHARE).max(MIN_USE_TIME)
    }

    /// Returns the number of tokens with which a new holder starts: an earlier one may have issued the burst.
    pub(crate) fn start_tokens(&self) -> f64 {
        self.slack / SLACK_PARTS
    }

    /// Returns the part of the slack that may be issued in each second, in requests per second.
    pub(crate) fn slack_rate(&self) -> f64 {
        self.slack / SLACK_PARTS / self.window.as_secs_f64()
    }

    /// Returns the rate that may be issued beside that of the holder, in requests per second.
    pub(crate) fn unconfirmed_rate(&self, quota: &RequestQuota) -> f64 {
        let rate = quota.requests_per_second;
        rate.min(rate * self.overage * UNCONFIRMED_SHARE + self.slack_rate())
    }

    /// Returns the least part of the traffic for which a VM that reaches no holder has a first token.
    pub(crate) fn min_first_token_share(&self) -> f64 {
        SLACK_PARTS / 2.0 / self.slack.max(1.0)
    }
}
