//! An operation runs at most once, whatever is lost on the way.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;

use futures_util::future::join;
use oleanderwind_policy::RawPlacement;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::DeploymentName;
use oleanderwind_standin::FailureMode;
use oleanderwind_standin::FaultOrder;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::ReplyFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::StandinSettings;

use crate::support::CUSTOMER;
use crate::support::KeyAttempt;
use crate::support::OperationRecorder;
use crate::support::SERVICE;
use crate::support::TestFleet;
use crate::support::count_runs;
use crate::support::wait_for;

/// Two VMs with a record of every answer.
pub(crate) struct BookingFleet {
    pub(crate) fleet: TestFleet,
    pub(crate) record: Rc<OperationRecorder>,
}

impl Deref for BookingFleet {
    type Target = OperationRecorder;

    fn deref(&self) -> &OperationRecorder {
        &self.record
    }
}

impl BookingFleet {
    pub(crate) async fn start(settings: StandinSettings) -> BookingFleet {
        let fleet = TestFleet::start(settings, 2).await;
        let record = Rc::new(OperationRecorder::new(&fleet.caller));
        BookingFleet { fleet, record }
    }

    pub(crate) fn vm(&self, index: usize) -> String {
        self.fleet.caller_address(index)
    }

    /// Outcome and reason of a try.
    pub(crate) async fn outcome_and_reason(
        &self,
        vm: usize,
        asked: &KeyAttempt,
    ) -> (RequestOutcome, String) {
        let received = self.send(&self.vm(vm), asked).await.unwrap();
        let (outcome, reason) = received.outcome_and_reason();
        (outcome, reason.to_owned())
    }

    pub(crate) fn runs(&self, key: &KeyAttempt) -> usize {
        count_runs(&self.fleet.standin.executions(), &key.key)
    }

    /// Puts a fault of every target that runs operations in force.
    pub(crate) fn spoil(&self, fault: SearcherFault) {
        let scope = FaultScope::Service(SERVICE.into());
        self.fleet.standin.apply(&FaultOrder { scope, fault }).unwrap();
    }

    pub(crate) fn platform(&self, fault: PlatformFault) {
        self.fleet.standin.apply_platform_fault(fault);
    }

    /// Checks every answer so far.
    pub(crate) fn check_all(&self) {
        self.record.check(&self.fleet.standin.executions());
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
async fn execute_runs_once_and_repeats_learn_the_result() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    let first = fleet.new_key();
    let received = fleet.send(&fleet.vm(0), &first).await.unwrap();
    assert_eq!(received.outcome_and_reason(), ANSWERED);
    let repeat = fleet.retry_until_answered(&fleet.vm(1), &first.next()).await;
    assert_eq!(repeat.answer.result, received.answer.result);
    assert_eq!(fleet.runs(&first), 1);
    fleet.check_all();
}

#[actix_rt::test]
async fn execute_runs_once_for_two_vms_at_once() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    let vms = [fleet.vm(0), fleet.vm(1)];
    for _ in 0..50 {
        let first = fleet.new_key();
        let second = first.next();
        let (one, two) = join(fleet.send(&vms[0], &first), fleet.send(&vms[1], &second)).await;
        assert!(one.unwrap().is_answered() || two.unwrap().is_answered());
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_all();
}

#[actix_rt::test]
async fn execute_settles_a_lost_reply_to_its_claim() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    for _ in 0..5 {
        let first = fleet.new_key();
        fleet.platform(PlatformFault::LoseWriteReplies { count: 1, manner: FailureMode::Closed });
        let received = fleet.send(&fleet.vm(0), &first).await.unwrap();
        assert_eq!(received.outcome_and_reason(), ANSWERED, "the claim was read back");
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_all();
}

#[actix_rt::test]
async fn execute_settles_a_lost_reply_to_its_outcome() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    for manner in [FailureMode::Closed, FailureMode::Silent] {
        fleet.spoil(SearcherFault::Delay { extra_ms: 150 });
        let first = fleet.new_key();
        let vm = fleet.vm(0);
        let lose = async {
            fleet.wait_for_run(&first).await;
            fleet.platform(PlatformFault::LoseWriteReplies { count: 1, manner });
        };
        let (received, ()) = join(fleet.send(&vm, &first), lose).await;
        assert_eq!(received.as_ref().unwrap().outcome_and_reason(), ANSWERED);
        let repeat = fleet.retry_until_answered(&fleet.vm(1), &first.next()).await;
        assert_eq!(repeat.answer.result, received.unwrap().answer.result);
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_all();
}

/// Sends 20 keys while the platform is down, and again once it is back; returns the first verdicts.
async fn outlast_outage(manner: FailureMode) -> Vec<(RequestOutcome, String)> {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    fleet.platform(PlatformFault::Outage { manner });
    let mut tries = Vec::new();
    let mut verdicts = Vec::new();
    for number in 0..20 {
        let first = fleet.new_key().within(100);
        let received = fleet.send(&fleet.vm(number % 2), &first).await.unwrap();
        assert!(received.answer.retry_after_ms.is_some(), "{received:?}");
        verdicts.push((received.answer.outcome, received.outcome_and_reason().1.to_owned()));
        tries.push(first);
    }
    assert!(fleet.fleet.standin.executions().is_empty());
    fleet.platform(PlatformFault::Clear);
    for first in tries {
        let later = KeyAttempt { deadline_ms: None, ..first.next() };
        fleet.retry_until_answered(&fleet.vm(1), &later).await;
        assert_eq!(fleet.runs(&first), 1);
    }
    fleet.check_all();
    verdicts
}

#[actix_rt::test]
async fn execute_is_refused_at_once_while_the_platform_fails() {
    let verdicts = outlast_outage(FailureMode::Closed).await;
    assert_eq!(verdicts, vec![not_run("platform_unreachable"); 20]);
}

#[actix_rt::test]
async fn execute_is_refused_by_its_deadline_while_the_platform_is_silent() {
    let verdicts = outlast_outage(FailureMode::Silent).await;
    assert_eq!(verdicts, vec![not_run("deadline_passed"); 20]);
}

#[actix_rt::test]
async fn execute_stays_unknown_once_its_reply_is_lost() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    let faults = [
        ReplyFault::LostByClose,
        ReplyFault::LostBySilence,
        ReplyFault::ClosedMidReply,
        ReplyFault::CrossedAnswer,
    ];
    for reply in faults {
        fleet.spoil(SearcherFault::SpoilReplies { reply, count: 1 });
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
        fleet.spoil(SearcherFault::Clear);
    }
    fleet.check_all();
}

/// Places the customer wholly with one provider and waits until both VMs act on it.
async fn move_to(fleet: &BookingFleet, provider: &str) {
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
async fn execute_runs_once_over_two_providers() {
    let providers = vec!["alpha".into(), "beta".into()];
    let settings = StandinSettings { providers, ..StandinSettings::default() };
    let fleet = BookingFleet::start(settings).await;
    let reply = ReplyFault::LostByClose;
    fleet.spoil(SearcherFault::SpoilReplies { reply, count: 1 });
    let lost = fleet.new_key();
    assert_eq!(fleet.outcome_and_reason(0, &lost).await, unknown("reply_missing"));
    fleet.spoil(SearcherFault::Clear);
    fleet.spoil(SearcherFault::Shed);
    let refused = fleet.new_key();
    assert_eq!(fleet.outcome_and_reason(0, &refused).await, not_run("target_refused"));
    fleet.spoil(SearcherFault::Clear);
    let done = fleet.new_key();
    fleet.retry_until_answered(&fleet.vm(0), &done).await;
    move_to(&fleet, "beta").await;
    assert_eq!(fleet.outcome_and_reason(1, &lost.next()).await, unknown("claim_held"));
    fleet.retry_until_answered(&fleet.vm(1), &refused.next()).await;
    fleet.retry_until_answered(&fleet.vm(1), &done.next()).await;
    for key in [&lost, &refused, &done] {
        assert_eq!(fleet.runs(key), 1, "{key:?}");
    }
    fleet.check_all();
}

#[actix_rt::test]
async fn execute_is_recorded_when_its_caller_goes_away() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    fleet.spoil(SearcherFault::Delay { extra_ms: 200 });
    let first = fleet.new_key();
    let vm = fleet.vm(0);
    tokio::select! {
        received = fleet.send(&vm, &first) => panic!("answered too early: {received:?}"),
        () = fleet.wait_for_run(&first) => {}
    }
    let repeat = fleet.retry_until_answered(&fleet.vm(1), &first.next()).await;
    assert!(repeat.answer.result.is_some());
    assert_eq!(fleet.runs(&first), 1);
    fleet.check_all();
}

#[actix_rt::test]
async fn drain_ends_once_every_operation_is_recorded() {
    let fleet = BookingFleet::start(StandinSettings::default()).await;
    fleet.spoil(SearcherFault::Delay { extra_ms: 200 });
    let first = fleet.new_key();
    let received = RefCell::new(None);
    let vm = fleet.vm(0);
    let ask = async { *received.borrow_mut() = fleet.send(&vm, &first).await };
    let drain = async {
        fleet.wait_for_run(&first).await;
        // The record of the outcome takes far longer than the answer.
        fleet.platform(PlatformFault::Slow { extra_ms: 1_500 });
        fleet.fleet.vms[0].drain().await;
        fleet.platform(PlatformFault::Clear);
    };
    join(ask, drain).await;
    assert!(received.borrow().as_ref().unwrap().is_answered());
    let repeat = fleet.send(&fleet.vm(1), &first.next()).await.unwrap();
    assert_eq!(repeat.outcome_and_reason(), ANSWERED, "recorded before the drain ended");
    assert_eq!(fleet.runs(&first), 1);
    fleet.check_all();
}
