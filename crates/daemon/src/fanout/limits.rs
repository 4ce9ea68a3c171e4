//! Rate limits that targets name in their answers.

use std::time::Instant;

use oleanderwind_policy::LimitChange;
use oleanderwind_policy::LimitNotice;
use oleanderwind_policy::LimitRecord;
use oleanderwind_policy::TargetId;

use crate::fanout::FanoutService;

impl FanoutService {
    /// Handles what an answer to a call sent at `sent_at` says of its target's rate limit.
    pub(crate) fn observe_limit(
        &self,
        target: &TargetId,
        incarnation: u64,
        notice: LimitNotice,
        sent_at: Instant,
    ) {
        let rate = match notice {
            LimitNotice::Missing => None,
            LimitNotice::Named(rate) => Some(rate),
            LimitNotice::Unreadable => {
                return self.metrics.record_target_notice("unreadable_limit");
            }
        };
        let record =
            LimitRecord { target: target.clone(), incarnation, rate, observed_at: sent_at };
        if rate.is_some() {
            self.metrics.record_limited_calls("answered", 1);
        }
        let change = self.peers.observe_limit(record.clone());
        self.log_limit_change(&record, change, "answer");
    }

    /// Logs a change of a target's rate limit.
    fn log_limit_change(&self, record: &LimitRecord, change: LimitChange, source: &str) {
        let state = match change {
            LimitChange::Unchanged => return,
            LimitChange::Named => "named",
            LimitChange::Changed => "changed",
            LimitChange::Ended => "ended",
        };
        log::info!(
            target = record.target.as_ref(),
            incarnation = record.incarnation,
            state = state,
            per_second = record.rate.map(|rate| rate.per_second()),
            source = source;
            "rate limit of a target"
        );
        self.metrics.record_target_notice("limit");
    }
}
