//! Finishing queries and cancelling their calls.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::CallId;
use crate::FanoutAction;
use crate::FanoutEngine;
use crate::FinishReason;
use crate::QueryId;
use crate::fanout::query::LossCause;
use crate::fanout::query::RunningQuery;
use crate::fanout::timer::TimerKind;
use crate::routing::CancelledCallTiming;

/// Retry delay suggested to callers when a shard has no usable target.
const RETRY_AFTER_SHARD_LOST: Duration = Duration::from_secs(1);
/// Divisor of a pause that gives the time over which callers are spread after it.
const PAUSE_SPREAD_DIVISOR: u32 = 4;
/// Shortest retry delay suggested to callers when targets are busy or slow.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

impl FanoutEngine {
    /// Finishes the query if a reason is given. Otherwise puts it back among the running ones.
    pub(crate) fn finish_or_resume(
        &mut self,
        query: QueryId,
        mut running: Box<RunningQuery>,
        reason: Option<FinishReason>,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let Some(reason) = reason else {
            if let Some(at) = running.floor_timer_at.take() {
                self.push_timer(query, 0, 0, at, TimerKind::CheckFinish);
            }
            self.queries.insert(query, running);
            return;
        };
        if reason == FinishReason::Quarantined {
            self.revoke_waiting_calls(&mut running, now);
        }
        let is_timeout = reason == FinishReason::DeadlineNear;
        for position in 0..running.shards.len() {
            self.cancel_calls(&mut running, position, is_timeout, now, actions);
        }
        let retry_after = self.retry_after(&running, reason, now);
        let result = running.result(reason, retry_after);
        actions.push(FanoutAction::Finish { query, result });
    }

    /// Cancels a shard's calls in flight.
    ///
    /// The time since a call was sent, a lower bound of its latency, is recorded as a sample once
    /// it has reached the shard's hedge latency.
    pub(crate) fn cancel_calls(
        &mut self,
        running: &mut RunningQuery,
        position: usize,
        is_timeout: bool,
        now: Instant,
        actions: &mut Vec<FanoutAction>,
    ) {
        let calls = std::mem::take(&mut running.shards[position].open);
        for call in calls.into_iter().flatten() {
            let Some(open) = self.calls.remove(&call) else { continue };
            let elapsed = now.saturating_duration_since(open.sent_at);
            let estimate = self.latencies.estimate(running.resolved.shards[position].latency);
            if elapsed >= estimate.hedge_latency {
                self.latencies.record(running.resolved.shards[position].latency, elapsed);
            }
            let state = self.targets.state_mut(open.target);
            state.close_call(open.sent_at);
            let timing = match (is_timeout, elapsed >= estimate.late_threshold) {
                (true, _) => CancelledCallTiming::QueryTimedOut,
                (false, true) => CancelledCallTiming::Late,
                (false, false) => CancelledCallTiming::OnTime,
            };
            state.record_cancelled(elapsed, timing, now);
            actions.push(FanoutAction::Cancel { call, target: state.target.clone() });
            self.freed_targets.push(open.target);
        }
    }

    /// Reverses the effect of the calls that the driver has not sent, as it sends none of them.
    fn revoke_waiting_calls(&mut self, running: &mut RunningQuery, now: Instant) {
        for position in 0..running.shards.len() {
            let calls = running.shards[position].open.into_iter().flatten();
            let is_waiting = |call: &CallId| self.calls.get(call).is_some_and(|open| !open.is_sent);
            for _ in 0..calls.filter(is_waiting).count() {
                self.revoke_call(running, position, now);
            }
        }
    }

    fn retry_after(
        &mut self,
        running: &RunningQuery,
        reason: FinishReason,
        now: Instant,
    ) -> Duration {
        if let Some(retry_after) = running.quarantine {
            return retry_after;
        }
        if running.loss == Some(LossCause::Paused)
            && let Some(pause) = self.longest_shard_pause(running, now)
        {
            let spread = MIN_RETRY_AFTER.max(pause / PAUSE_SPREAD_DIVISOR);
            return pause + spread.mul_f64(self.rng.random());
        }
        if reason == FinishReason::ShardLost {
            return RETRY_AFTER_SHARD_LOST;
        }
        let shards = running.resolved.shards.iter();
        let late = shards.map(|shard| self.latencies.estimate(shard.latency).late_threshold).max();
        late.map_or(MIN_RETRY_AFTER, |late| MIN_RETRY_AFTER.max(late * 2))
    }

    /// Returns the time until every shard has a target whose pause is over, if all of some shard's
    /// targets that serve asked for a pause.
    fn longest_shard_pause(&self, running: &RunningQuery, now: Instant) -> Option<Duration> {
        let shards = running.resolved.shards.iter();
        let ends = shards.filter_map(|shard| {
            let usable = shard.replicas.iter().map(|target| self.targets.state(*target));
            let ends = usable.filter(|state| state.is_usable()).map(|state| {
                let end = state.paused_until(now);
                end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
            });
            ends.min()
        });
        ends.max().filter(|longest| !longest.is_zero())
    }
}
