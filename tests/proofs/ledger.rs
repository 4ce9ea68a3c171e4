//! At-most-once execution of operations.
//!
//! Guards against an operation that runs twice, or whose outcome is misreported, when replies,
//! the platform, a caller or a VM are lost between its claim and its recorded outcome.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;

use futures_util::future::join;
use oleanderwind_policy::RawPlacement;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::DeploymentName;
use oleanderwind_standin::FaultOrder;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::ReplyFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinSettings;

use crate::support::CUSTOMER;
use crate::support::KeyAttempt;
use crate::support::OperationRecorder;
use crate::support::SERVICE;
use crate::support::TestFleet;
use crate::support::count_runs;
use crate::support::wait_for;

/// A fleet of two VMs and a recorder of every answer.
pub(crate) struct OperationFleet {
    pub(crate) fleet: TestFleet,
    pub(crate) recorder: Rc<OperationRecorder>,
}

impl Deref for OperationFleet {
    type Target = OperationRecorder;

    fn deref(&self) -> &OperationRecorder {
        &self.recorder
    }
}

impl OperationFleet {
    pub(crate) async fn start(settings: StandinSettings) -> OperationFleet {
        let fleet = TestFleet::start(settings, 2).await;
        let recorder = Rc::new(OperationRecorder::new(&fleet.caller));
        OperationFleet { fleet, recorder }
    }

    pub(crate) fn vm(&self, index: usize) -> String {
        self.fleet.caller_address(index)
    }

    /// Sends an attempt and returns its outcome and refusal reason.
    pub(crate) async fn outcome_and_reason(
        &self,
        vm: usize,
        attempt: &KeyAttempt,
    ) -> (RequestOutcome, String) {
        let received = self.send(&self.vm(vm), attempt).await.unwrap();
        let (outcome, reason) = received.outcome_and_reason();
        (outcome, reason.to_owned())
    }

    pub(crate) fn runs(&self, key: &KeyAttempt) -> usize {
        count_runs(&self.fleet.standin.executions(), &key.key)
    }

    /// Injects a fault into every target that runs operations.
    pub(crate) fn inject_fault(&self, fault: SearcherFault) {
        let scope = FaultScope::Service(SERVICE.into());
        self.fleet.standin.apply(&FaultOrder { scope, fault }).unwrap();
    }

    pub(crate) fn inject_platform_fault(&self, fault: PlatformFault) {
        self.fleet.standin.apply_platform_fault(fault);
    }

    /// Checks every answer so far against the runs of the targets.
    pub(crate) fn check_answers(&self) {
        self.recorder.check(&self.fleet.standin.executions());
    }

    /// Waits until a target has begun to run a key.
    async fn wait_for_run(&self, key: &KeyAttempt) {
        wait_for("a target runs it", async || self.runs(key) == 1).await;
    }
}

const ANSWERED: (RequestOutcome, &str) = (RequestOutcome::Answered, "");

fn unknown(reason: &str) -> (RequestOutcome, String) {
    (RequestOutcome::Unknown, reason.to_owned())
}

fn not_run(reason: &str) -> (RequestOutcome, String) {
    (RequestOutcome::NotRun, reason.to_owned())
}

#[actix_rt::test]
async fn execute_returns_the_recorded_result_on_retry() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    let first = fleet.new_key();
    let received = fleet.send(&fleet.vm(0), &first).await.unwrap();
    assert_eq!(received.outcome_and_reason(), ANSWERED);
    let retry = fleet.retry_until_answered(&fleet.vm(1), &first.next()).await;
    assert_eq!(retry.answer.result, received.answer.result);
    assert_eq!(fleet.runs(&first), 1);
    fleet.check_answers();
}

#[actix_rt::test]
async fn execute_runs_once_for_concurrent_attempts_on_two_vms() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    let vms = [fleet.vm(0), fleet.vm(1)];
    for _ in 0..50 {
        let first = fleet.new_key();
        let second = first.next();
        let (one, two) = join(fleet.send(&vms[0], &first), fleet.send(&vms[1], &second)).await;
        assert!(one.unwrap().is_answered() || two.unwrap().is_answered());
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_answers();
}

#[actix_rt::test]
async fn execute_reads_back_its_claim_after_a_lost_write_reply() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    for _ in 0..5 {
        let first = fleet.new_key();
        fleet.inject_platform_fault(PlatformFault::LoseWriteReplies {
            count: 1,
            manner: SilenceManner::Closed,
        });
        let received = fleet.send(&fleet.vm(0), &first).await.unwrap();
        assert_eq!(received.outcome_and_reason(), ANSWERED, "the claim was read back");
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_answers();
}

#[actix_rt::test]
async fn execute_records_its_outcome_after_a_lost_write_reply() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    for manner in [SilenceManner::Closed, SilenceManner::Silent] {
        fleet.inject_fault(SearcherFault::Delay { extra_ms: 150 });
        let first = fleet.new_key();
        let vm = fleet.vm(0);
        let lose = async {
            fleet.wait_for_run(&first).await;
            fleet.inject_platform_fault(PlatformFault::LoseWriteReplies { count: 1, manner });
        };
        let (received, ()) = join(fleet.send(&vm, &first), lose).await;
        assert_eq!(received.as_ref().unwrap().outcome_and_reason(), ANSWERED);
        let retry = fleet.retry_until_answered(&fleet.vm(1), &first.next()).await;
        assert_eq!(retry.answer.result, received.unwrap().answer.result);
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_answers();
}

/// Sends 20 keys during a platform outage and retries them after it.
///
/// Returns the outcomes and reasons of the first attempts.
async fn execute_during_outage(manner: SilenceManner) -> Vec<(RequestOutcome, String)> {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    fleet.inject_platform_fault(PlatformFault::Outage { manner });
    let mut attempts = Vec::new();
    let mut outcomes = Vec::new();
    for number in 0..20 {
        let first = fleet.new_key().within(100);
        let received = fleet.send(&fleet.vm(number % 2), &first).await.unwrap();
        assert!(received.answer.retry_after_ms.is_some(), "{received:?}");
        outcomes.push((received.answer.outcome, received.outcome_and_reason().1.to_owned()));
        attempts.push(first);
    }
    assert!(fleet.fleet.standin.executions().is_empty());
    fleet.inject_platform_fault(PlatformFault::Clear);
    for first in attempts {
        let later = KeyAttempt { deadline_ms: None, ..first.next() };
        fleet.retry_until_answered(&fleet.vm(1), &later).await;
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_answers();
    outcomes
}

#[actix_rt::test]
async fn execute_is_refused_at_once_while_the_platform_closes_connections() {
    let outcomes = execute_during_outage(SilenceManner::Closed).await;
    assert_eq!(outcomes, vec![not_run("platform_unreachable"); 20]);
}

#[actix_rt::test]
async fn execute_is_refused_at_its_deadline_while_the_platform_is_silent() {
    let outcomes = execute_during_outage(SilenceManner::Silent).await;
    assert_eq!(outcomes, vec![not_run("deadline_passed"); 20]);
}

#[actix_rt::test]
async fn execute_stays_unknown_after_a_lost_target_reply() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    let faults = [
        ReplyFault::LostByClose,
        ReplyFault::LostBySilence,
        ReplyFault::ClosedMidReply,
        ReplyFault::CrossedAnswer,
    ];
    for reply in faults {
        fleet.inject_fault(SearcherFault::SpoilReplies { reply, count: 1 });
        let first = fleet.new_key();
        assert_eq!(
            fleet.outcome_and_reason(0, &first).await,
            unknown("reply_missing"),
            "{reply:?}"
        );
        assert_eq!(
            fleet.outcome_and_reason(1, &first.next()).await,
            unknown("claim_held"),
            "{reply:?}"
        );
        assert_eq!(fleet.runs(&first), 1);
        fleet.inject_fault(SearcherFault::Clear);
    }
    fleet.check_answers();
}

/// Moves all traffic of the customer to one provider and waits until both VMs follow.
async fn move_customer(fleet: &OperationFleet, provider: &str) {
    let mut contract = DeploymentName::Tsagaan.plan(&provider.into()).contract;
    contract.placement = vec![RawPlacement { provider: provider.into(), share_permille: 1_000 }];
    fleet.fleet.standin.put_object("contracts", CUSTOMER, &contract);
    for vm in 0..2 {
        let address = fleet.vm(vm);
        wait_for("the VM uses the provider", async || {
            let probe = fleet.new_key();
            fleet.send(&address, &probe).await.unwrap();
            let runs = fleet.fleet.standin.executions();
            let run = runs.iter().find(|run| run.idempotency_key == probe.key);
            run.is_some_and(|run| run.searcher.contains(provider))
        })
        .await;
    }
}

#[actix_rt::test]
async fn execute_runs_once_across_a_change_of_provider() {
    let providers = vec!["alpha".into(), "beta".into()];
    let settings = StandinSettings { providers, ..StandinSettings::default() };
    let fleet = OperationFleet::start(settings).await;
    let reply = ReplyFault::LostByClose;
    fleet.inject_fault(SearcherFault::SpoilReplies { reply, count: 1 });
    let lost = fleet.new_key();
    assert_eq!(fleet.outcome_and_reason(0, &lost).await, unknown("reply_missing"));
    fleet.inject_fault(SearcherFault::Clear);
    fleet.inject_fault(SearcherFault::Shed);
    let refused = fleet.new_key();
    assert_eq!(fleet.outcome_and_reason(0, &refused).await, not_run("target_refused"));
    fleet.inject_fault(SearcherFault::Clear);
    let done = fleet.new_key();
    fleet.retry_until_answered(&fleet.vm(0), &done).await;
    move_customer(&fleet, "beta").await;
    assert_eq!(fleet.outcome_and_reason(1, &lost.next()).await, unknown("claim_held"));
    fleet.retry_until_answered(&fleet.vm(1), &refused.next()).await;
    fleet.retry_until_answered(&fleet.vm(1), &done.next()).await;
    for key in [&lost, &refused, &done] {
        assert_eq!(fleet.runs(key), 1, "{key:?}");
    }
    fleet.check_answers();
}

#[actix_rt::test]
async fn execute_is_recorded_after_its_caller_disconnects() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    fleet.inject_fault(SearcherFault::Delay { extra_ms: 200 });
    let first = fleet.new_key();
    let vm = fleet.vm(0);
    tokio::select! {
        received = fleet.send(&vm, &first) => panic!("answered too early: {received:?}"),
        () = fleet.wait_for_run(&first) => {}
    }
    let retry = fleet.retry_until_answered(&fleet.vm(1), &first.next()).await;
    assert!(retry.answer.result.is_some());
    assert_eq!(fleet.runs(&first), 1);
    fleet.check_answers();
}

#[actix_rt::test]
async fn drain_waits_until_every_operation_is_recorded() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    fleet.inject_fault(SearcherFault::Delay { extra_ms: 200 });
    let first = fleet.new_key();
    let received = RefCell::new(None);
    let vm = fleet.vm(0);
    let send = async { *received.borrow_mut() = fleet.send(&vm, &first).await };
    let drain = async {
        fleet.wait_for_run(&first).await;
        // Recording the outcome takes far longer than the answer.
        fleet.inject_platform_fault(PlatformFault::Slow { extra_ms: 1_500 });
        fleet.fleet.vms[0].drain().await;
        fleet.inject_platform_fault(PlatformFault::Clear);
    };
    join(send, drain).await;
    assert!(received.borrow().as_ref().unwrap().is_answered());
    let retry = fleet.send(&fleet.vm(1), &first.next()).await.unwrap();
    assert_eq!(retry.outcome_and_reason(), ANSWERED, "recorded before the drain ended");
    assert_eq!(fleet.runs(&first), 1);
    fleet.check_answers();
}
