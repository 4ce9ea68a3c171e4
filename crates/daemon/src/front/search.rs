//! Serving searches.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::CoverageReport;
use oleanderwind_wire::RefusalReport;
use xxhash_rust::xxh3::xxh3_64;

use crate::fanout::FanoutReply;
use crate::fanout::QueryPayload;
use crate::fanout::QueryWork;
use crate::front::answer::empty_answer;
use crate::front::answer::set_hits;
use crate::front::request::CallerRequest;
use crate::front::service::FrontService;
use crate::front::service::RequestResult;
use crate::time::milliseconds;

/// Maximum wait for a newer snapshot after a retired one.
const NEWER_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval between checks for a newer snapshot.
const NEWER_SNAPSHOT_POLL_INTERVAL: Duration = Duration::from_millis(2);

impl FrontService {
    /// Runs a search. If its snapshot is retired, restarts it on a newer one while time is left.
    ///
    /// Returns `None` if there is no provider or snapshot, or if the query ended without a result.
    pub(crate) async fn search(
        &self,
        request_id: &str,
        contract: &Rc<CustomerContract>,
        request: &CallerRequest,
        arrived: Instant,
    ) -> Option<RequestResult> {
        let provider = contract.provider_for(xxh3_64(request_id.as_bytes()))?;
        let deadline = arrived + request.deadline;
        let mut extra_calls = 0;
        let work = QueryWork::of_own_request(&contract.customer, &request.class, &request.text);
        loop {
            let manifest = self.directory.snapshot(&request.terms.service, provider)?;
            let plan = FanoutPlan {
                customer: contract.customer.clone(),
                class: request.class.as_str().into(),
                manifest: manifest.clone(),
                deadline,
                coverage_floor_permille: request.terms.coverage_floor_permille,
                preference: contract.preference,
                priority: request.terms.priority,
                urgency: None,
                extra_load_permille: contract.extra_load_permille,
                objective: None,
                attempt_policy: AttemptPolicy::default(),
            };
            let payload = QueryPayload::search(&request.text);
            let reply = self.fanout.run(plan, work.clone(), payload).await?;
            if reply.result.reason == FinishReason::SnapshotRetired
                && self.wait_for_newer_snapshot(&manifest, deadline).await
            {
                extra_calls += reply.result.calls_sent;
                self.fanout.charge_repeated_run(contract, &reply.result);
                continue;
            }
            let primary_calls = reply.result.calls_sent - reply.result.extra_calls;
            extra_calls += reply.result.extra_calls;
            let answer = search_answer(request_id, &manifest, reply);
            return Some(RequestResult { answer, primary_calls, extra_calls });
        }
    }

    /// Waits for a newer snapshot and returns whether one became known in time.
    ///
    /// Targets may retire a snapshot before this VM knows the next one.
    async fn wait_for_newer_snapshot(
        &self,
        manifest: &SnapshotManifest,
        deadline: Instant,
    ) -> bool {
        let end = deadline.min(Instant::now() + NEWER_SNAPSHOT_TIMEOUT);
        while Instant::now() < end {
            let newest = self.directory.snapshot(&manifest.service, &manifest.provider);
            if newest.is_some_and(|newest| newest.index_version > manifest.index_version) {
                return true;
            }
            tokio::time::sleep(NEWER_SNAPSHOT_POLL_INTERVAL).await;
        }
        false
    }
}

fn search_answer(
    request_id: &str,
    manifest: &SnapshotManifest,
    reply: FanoutReply,
) -> CallerAnswer {
    let result = reply.result;
    let mut answer = empty_answer(request_id, result.outcome, result.ran);
    answer.snapshot = Some(manifest.index_version);
    answer.coverage = Some(CoverageReport {
        documents_covered: result.documents_covered,
        documents_total: result.documents_total,
        shards_answered: result.shards_answered,
        shards_total: result.shards_total,
    });
    if result.reason != FinishReason::Complete {
        let reason = reason_label(result.reason).to_owned();
        answer.refusal = Some(RefusalReport { reason, findings: Vec::new() });
    }
    answer.retry_after_ms = result.retry_after.map(milliseconds);
    if let QueryPayload::Search { hits, .. } = reply.payload {
        set_hits(&mut answer, hits);
    }
    answer
}

/// Returns the stable label of a reason, which is sent to callers.
fn reason_label(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Complete => "complete",
        FinishReason::FloorMet => "floor_met",
        FinishReason::DeadlineNear => "deadline_near",
        FinishReason::TargetsBusy => "targets_busy",
        FinishReason::ShardLost => "shard_lost",
        FinishReason::SnapshotRetired => "snapshot_retired",
        FinishReason::Quarantined => "quarantined",
        FinishReason::Abandoned => "abandoned",
    }
}
