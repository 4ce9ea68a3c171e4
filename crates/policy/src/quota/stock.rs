//! Tokens of one VM for one organisation.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::QuotaGrant;
use crate::QuotaSettings;
use crate::QuotaToken;
use crate::RequestQuota;
use crate::quota::bucket::QuotaBucket;

/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Part of the use time for which tokens are drawn ahead of demand.
const AHEAD_SHARE: f64 = 0.4;
/// Longest time for which the word of a holder that there are no tokens is taken.
const MAX_CLOSED_TIME: Duration = Duration::from_millis(250);
/// Time for which a holder is not asked that did not answer.
const UNREACHED_TIME: Duration = Duration::from_millis(250);
/// Time after which the VMs that can't be reached have noticed it too, and issue only their part of the quota.
const PART_TIME: Duration = Duration::from_secs(4);

/// What became of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaAnswer {
    /// The holder or its deputy answered.
    Granted(QuotaGrant),
    /// Neither was reached.
    Unreached,
}

/// Tokens of one VM for one organisation, and what it knows of further ones.
#[derive(Clone, Debug)]
pub(crate) struct QuotaStock {
    pub(crate) quota: RequestQuota,
    tokens: VecDeque<QuotaToken>,
    /// Requests per second.
    demand: f64,
    demanded_at: Instant,
    /// Requests that wait for a token.
    waiting: u32,
    asked_for: u32,
    pub(crate) is_asked: bool,
    closed_until: Option<Instant>,
    /// When the next token is there, as the holder told.
    pub(crate) next_at: Option<Instant>,
    /// Requests refused since the holder last answered.
    pub(crate) refused: u32,
    /// Tokens that the holder had left, and when it said so.
    pub(crate) told: Option<(f64, Instant)>,
    unreached_since: Option<Instant>,
    unreached_until: Option<Instant>,
    local: QuotaBucket,
}

impl QuotaStock {
    pub(crate) fn new(quota: RequestQuota, now: Instant) -> QuotaStock {
        QuotaStock {
            quota,
            tokens: VecDeque::new(),
            demand: 0.0,
            demanded_at: now,
            waiting: 0,
            asked_for: 0,
            is_asked: false,
            closed_until: None,
            next_at: None,
            refused: 0,
            told: None,
            unreached_since: None,
            unreached_until: None,
            local: QuotaBucket::new(1.0, now),
        }
    }

    /// Returns when the organisation last asked.
    pub(crate) fn demanded_at(&self) -> Instant {
        self.demanded_at
    }

    /// Takes a new quota; what was known of the old one is no longer true.
    pub(crate) fn set_quota(&mut self, quota: RequestQuota) {
        if self.quota != quota {
            self.quota = quota;
            self.closed_until = None;
        }
    }

    /// Counts a request.
    pub(crate) fn record_demand(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.demanded_at).as_secs_f64();
        let time = DEMAND_TIME.as_secs_f64();
        self.demand = self.demand * (-elapsed / time).exp() + 1.0 / time;
        self.demanded_at = now;
    }

    /// Takes a token that is valid by both clocks.
    pub(crate) fn take(&mut self, now: Instant, wall: SystemTime) -> Option<QuotaToken> {
        self.tokens.retain(|token| token.is_valid(now, wall));
        self.tokens.pop_front()
    }

    pub(crate) fn give_back(&mut self, token: QuotaToken) {
        self.tokens.push_front(token);
        self.closed_until = None;
    }

    pub(crate) fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_unreached(&self, now: Instant) -> bool {
        self.unreached_until.is_some_and(|until| now < until)
    }

    /// Returns the number of tokens that demand uses before more can be drawn.
    fn ahead(&self, settings: &QuotaSettings) -> u32 {
        (self.demand * settings.use_time().as_secs_f64() * AHEAD_SHARE) as u32
    }

    /// Counts a request that waits for a token.
    pub(crate) fn wait(&mut self) {
        self.waiting = self.waiting.saturating_add(1);
    }

    /// Returns whether tokens have to be drawn.
    pub(crate) fn is_low(&self, settings: &QuotaSettings, now: Instant) -> bool {
        let stocked = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        let is_lacking = self.waiting > 0 || stocked * 2 < self.ahead(settings);
        !self.is_asked && is_lacking && !self.is_closed(now) && !self.is_unreached(now)
    }

    /// Starts a request for tokens; returns the number to ask for.
    pub(crate) fn start_asking(&mut self, settings: &QuotaSettings) -> u32 {
        let stocked = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        self.is_asked = true;
        self.asked_for = self.waiting + self.ahead(settings).saturating_sub(stocked);
        self.waiting = 0;
        self.asked_for
    }

    /// Ends a request for tokens.
    pub(crate) fn finish_asking(&mut self, answer: QuotaAnswer, token: QuotaToken, now: Instant) {
        self.is_asked = false;
        self.refused = 0;
        // Whoever waits decides anew now, and counts again if it still lacks a token.
        self.waiting = 0;
        match answer {
            QuotaAnswer::Granted(grant) => {
                let count = usize::try_from(grant.granted).unwrap_or_default();
                self.tokens.extend(std::iter::repeat_n(token, count));
                let is_short = grant.granted < self.asked_for;
                self.closed_until = is_short.then(|| now + grant.retry_after.min(MAX_CLOSED_TIME));
                self.next_at = is_short.then(|| now + grant.retry_after);
                self.told = Some((grant.left, now));
                self.unreached_since = None;
                self.unreached_until = None;
            }
            QuotaAnswer::Unreached => {
                self.unreached_since.get_or_insert(now);
                self.unreached_until = Some(now + UNREACHED_TIME);
            }
        }
    }

    /// Takes a token of this VM's own part, which is `share` of the traffic, while no holder is reached.
    pub(crate) fn take_local(
        &mut self,
        settings: &QuotaSettings,
        share: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let is_part = self.unreached_since.is_some_and(|since| now >= since + PART_TIME);
        let rate = match is_part {
            true => self
                .quota
                .requests_per_second
                .min(share * (self.quota.requests_per_second + settings.slack_rate())),
            false => share * settings.unconfirmed_rate(&self.quota),
        };
        let has_first = is_part || share >= settings.min_first_token_share();
        let capacity = if has_first { 1.0 } else { share };
        self.local.refill(rate, capacity, now);
        match self.local.take(1) {
            1 => Ok(()),
            _ => Err(self.local.wait(rate)),
        }
    }
}
