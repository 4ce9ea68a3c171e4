//! Admission by the quotas of all organisations at one VM.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::OrganisationId;
use crate::QuotaAnswer;
use crate::QuotaSettings;
use crate::QuotaToken;
use crate::RequestQuota;
use crate::quota::QuotaStock;

/// Time without a request after which an organisation is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(120);
/// Longest time that is told to callers while no holder is reached: another VM takes its place soon.
const UNREACHED_RETRY: Duration = Duration::from_millis(500);
/// Time that is told to callers if the next token is due.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Longest time that is told to callers.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// Whether a request is within its organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is; the token is to be given back if nothing of the request runs.
    Admitted(QuotaToken),
    /// It is not.
    Refused(QuotaRefusal),
    /// It waits for the answer of the holder.
    Waits,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which it is worth asking again.
    pub retry_after: Duration,
    /// Tokens that the holder had left.
    pub left: f64,
    /// Age of that figure; `None` if the holder has never answered.
    pub age: Option<Duration>,
    /// Whether this VM decided alone, as it does not reach the holder.
    pub is_unreached: bool,
}

impl QuotaRefusal {
    /// Refusal of a request of an organisation that this VM knows nothing of.
    pub const UNKNOWN: QuotaRefusal =
        QuotaRefusal { retry_after: MIN_RETRY, left: 0.0, age: None, is_unreached: true };
}

/// Admits requests by the quotas of their organisations at one VM.
#[derive(Clone, Debug)]
pub struct QuotaTable {
    settings: QuotaSettings,
    stocks: HashMap<OrganisationId, QuotaStock>,
}

impl QuotaTable {
    /// Returns a table without tokens.
    pub fn new(settings: QuotaSettings) -> QuotaTable {
        QuotaTable { settings, stocks: HashMap::new() }
    }

    /// Records a request and decides on it.
    ///
    /// `share` is this VM's part of the traffic.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        quota: RequestQuota,
        share: f64,
        now: Instant,
        wall: SystemTime,
    ) -> QuotaDecision {
        if !self.stocks.contains_key(organisation) {
            self.stocks.retain(|_, stock| now < stock.demanded_at() + IDLE_TIME);
        }
        let new = || QuotaStock::new(quota, now);
        let stock = self.stocks.entry(organisation.clone()).or_insert_with(new);
        stock.set_quota(quota);
        stock.record_demand(now);
        self.decide(organisation, share, now, wall)
    }

    /// Decides again on a request that waited.
    pub fn decide(
        &mut self,
        organisation: &OrganisationId,
        share: f64,
        now: Instant,
        wall: SystemTime,
    ) -> QuotaDecision {
        let Some(stock) = self.stocks.get_mut(organisation) else { return QuotaDecision::Waits };
        if let Some(token) = stock.take(now, wall) {
            return QuotaDecision::Admitted(token);
        }
        if stock.is_unreached(now) {
            return self.decide_alone(organisation, share, now, wall);
        }
        if stock.is_closed(now) {
            return QuotaDecision::Refused(refusal(stock, share, now));
        }
        stock.wait();
        QuotaDecision::Waits
    }

    /// Decides on a request whose holder is not reached in time.
    pub fn decide_alone(
        &mut self,
        organisation: &OrganisationId,
        share: f64,
        now: Instant,
        wall: SystemTime,
    ) -> QuotaDecision {
        let Some(stock) = self.stocks.get_mut(organisation) else { return QuotaDecision::Waits };
        if let Some(token) = stock.take(now, wall) {
            return QuotaDecision::Admitted(token);
        }
        match stock.take_local(&self.settings, share, now) {
            Ok(()) => QuotaDecision::Admitted(QuotaToken::new(now, wall, self.settings.use_time())),
            Err(wait) => {
                let refusal = refusal(stock, share, now);
                let retry_after = wait.clamp(MIN_RETRY, UNREACHED_RETRY);
                let refusal = QuotaRefusal { retry_after, is_unreached: true, ..refusal };
                QuotaDecision::Refused(refusal)
            }
        }
    }

    /// Starts a request for tokens of an organisation if it needs any; returns their number.
    pub fn start_asking(&mut self, organisation: &OrganisationId, now: Instant) -> Option<u32> {
        let stock = self.stocks.get_mut(organisation)?;
        stock.is_low(&self.settings, now).then(|| stock.start_asking(&self.settings))
    }

    /// Ends a request for tokens that was started at `asked_at`.
    pub fn finish_asking(
        &mut self,
        organisation: &OrganisationId,
        answer: QuotaAnswer,
        asked_at: Instant,
        asked_at_wall: SystemTime,
        now: Instant,
    ) {
        let token = QuotaToken::new(asked_at, asked_at_wall, self.settings.use_time());
        if let Some(stock) = self.stocks.get_mut(organisation) {
            stock.finish_asking(answer, token, now);
        }
    }

    /// Takes back the token of a request of which nothing ran. One that has expired is lost.
    pub fn give_back(
        &mut self,
        organisation: &OrganisationId,
        token: QuotaToken,
        now: Instant,
        wall: SystemTime,
    ) {
        if !token.is_valid(now, wall) {
            return;
        }
        if let Some(stock) = self.stocks.get_mut(organisation) {
            stock.give_back(token);
        }
    }
}

/// Refuses a request. Those refused one after the other are told ascending times, so that they come back at the rate of the
/// quota.
fn refusal(stock: &mut QuotaStock, share: f64, now: Instant) -> QuotaRefusal {
    let own_rate = (stock.quota.requests_per_second * share).max(f64::MIN_POSITIVE);
    let queue = Duration::try_from_secs_f64(f64::from(stock.refused) / own_rate);
    let next = stock.next_at.map(|at| at.saturating_duration_since(now)).unwrap_or_default();
    stock.refused = stock.refused.saturating_add(1);
    let retry_after = next.saturating_add(queue.unwrap_or_default()).max(MIN_RETRY);
    QuotaRefusal {
        retry_after: retry_after.min(MAX_RETRY),
        left: stock.told.map_or(0.0, |(left, _)| left),
        age: stock.told.map(|(_, at)| now.saturating_duration_since(at)),
        is_unreached: false,
    }
}
