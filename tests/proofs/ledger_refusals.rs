//! Outcomes of refused operations.
//!
//! Guards against a refusal that reports "not run" although the operation, or an earlier attempt of
//! its key, may have run.

use std::collections::BTreeMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderwind_policy::EntryState;
use oleanderwind_policy::LedgerCause;
use oleanderwind_policy::LedgerEntry;
use oleanderwind_policy::LedgerSegment;
use oleanderwind_policy::LedgerSettings;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::ReplyFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinSettings;
use serde_json::json;

use crate::ledger::OperationFleet;
use crate::support::CLASS;
use crate::support::CUSTOMER;
use crate::support::KeyAttempt;

/// Offset of a key's issue time that no VM accepts, in milliseconds.
const OUTSIDE_WINDOW_MS: i64 = 3_600_000;

/// Size of a body that makes a request just too long to be read, in bytes.
const LONG_BODY_BYTES: usize = 64 * 1_024;

/// Fills every segment of the ledger to its maximum size.
fn fill_segments(fleet: &OperationFleet) {
    let settings = LedgerSettings::default();
    let issued_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let result = Some("x".repeat(settings.max_segment_bytes));
    let state = EntryState::Done { provider: "alpha".into(), result };
    let entries = BTreeMap::from([("full".to_owned(), LedgerEntry { issued_ms, state })]);
    let body = LedgerSegment { entries };
    for segment in 0..settings.segments {
        fleet.fleet.standin.put_object("ledger", &format!("segment-{segment:016x}"), &body);
    }
}

/// Sets up the cause and returns the attempt that meets it.
async fn provoke_cause(fleet: &OperationFleet, cause: LedgerCause) -> KeyAttempt {
    let first = fleet.new_key();
    let vm = fleet.vm(0);
    match cause {
        LedgerCause::Ran => {}
        LedgerCause::RanBefore => {
            fleet.retry_until_answered(&vm, &first).await;
            return first.next();
        }
        LedgerCause::KeyExpired => return fleet.new_key_issued_at(-OUTSIDE_WINDOW_MS),
        LedgerCause::KeyInFuture => return fleet.new_key_issued_at(OUTSIDE_WINDOW_MS),
        LedgerCause::PlatformUnreachable => {
            fleet.inject_platform_fault(PlatformFault::Outage { manner: SilenceManner::Closed });
        }
        LedgerCause::SegmentFull => fill_segments(fleet),
        LedgerCause::DeadlinePassed => {
            fleet.inject_platform_fault(PlatformFault::Outage { manner: SilenceManner::Silent });
            return first.within(100);
        }
        LedgerCause::AttemptClosed => {
            fleet.inject_fault(SearcherFault::Shed);
            fleet.send(&vm, &first).await.unwrap();
            fleet.inject_fault(SearcherFault::Clear);
        }
        LedgerCause::ClaimHeld => {
            let reply = ReplyFault::LostByClose;
            fleet.inject_fault(SearcherFault::SpoilReplies { reply, count: 1 });
            fleet.send(&vm, &first).await.unwrap();
            return first.next();
        }
        LedgerCause::ClaimUncertain => {
            let manner = SilenceManner::Silent;
            fleet.inject_platform_fault(PlatformFault::LoseWriteReplies { count: 1, manner });
            return first.within(200);
        }
        LedgerCause::ReplyMissing => {
            let reply = ReplyFault::LostByClose;
            fleet.inject_fault(SearcherFault::SpoilReplies { reply, count: 1 });
        }
        LedgerCause::TargetRefused => fleet.inject_fault(SearcherFault::Shed),
        LedgerCause::NotSent => fleet.inject_fault(SearcherFault::Down),
    }
    first
}

/// Returns the outcome of a first attempt that ends for the cause.
fn outcome_of_first_attempt(cause: LedgerCause) -> RequestOutcome {
    match cause {
        LedgerCause::Ran | LedgerCause::RanBefore => RequestOutcome::Answered,
        LedgerCause::KeyInFuture
        | LedgerCause::PlatformUnreachable
        | LedgerCause::SegmentFull
        | LedgerCause::DeadlinePassed
        | LedgerCause::AttemptClosed
        | LedgerCause::TargetRefused
        | LedgerCause::NotSent => RequestOutcome::NotRun,
        LedgerCause::KeyExpired
        | LedgerCause::ClaimHeld
        | LedgerCause::ClaimUncertain
        | LedgerCause::ReplyMissing => RequestOutcome::Unknown,
    }
}

#[actix_rt::test]
async fn execute_reports_the_right_outcome_for_every_ledger_cause() {
    for cause in LedgerCause::ALL {
        let fleet = OperationFleet::start(StandinSettings::default()).await;
        let attempt = provoke_cause(&fleet, cause).await;
        let actual = fleet.outcome_and_reason(0, &attempt).await;
        let reason = match cause {
            LedgerCause::Ran | LedgerCause::RanBefore => "",
            cause => cause.as_str(),
        };
        assert_eq!(actual, (outcome_of_first_attempt(cause), reason.to_owned()));
        fleet.check_answers();
    }
}

#[actix_rt::test]
async fn execute_retry_refused_by_the_ledger_has_an_unknown_outcome() {
    for cause in [LedgerCause::PlatformUnreachable, LedgerCause::DeadlinePassed] {
        let fleet = OperationFleet::start(StandinSettings::default()).await;
        let reply = ReplyFault::LostByClose;
        fleet.inject_fault(SearcherFault::SpoilReplies { reply, count: 1 });
        let first = fleet.new_key();
        fleet.send(&fleet.vm(0), &first).await.unwrap();
        provoke_cause(&fleet, cause).await;
        let actual = fleet.outcome_and_reason(1, &first.next().within(100)).await;
        assert_eq!(actual, (RequestOutcome::Unknown, cause.as_str().to_owned()));
        fleet.check_answers();
    }
}

#[actix_rt::test]
async fn execute_retry_refused_before_the_ledger_has_an_unknown_outcome() {
    let fleet = OperationFleet::start(StandinSettings::default()).await;
    let vm = fleet.vm(0);
    let key = fleet.new_key().key;
    let body = json!({"class": CLASS, "body": "x"});
    let long = json!({"class": CLASS, "body": "x".repeat(LONG_BODY_BYTES)});
    let unknown_class = json!({"class": "none", "body": "x"});
    let cases = [
        ("bad_request", CUSTOMER, key.as_str(), &unknown_class),
        ("bad_request", CUSTOMER, "not-a-key", &body),
        ("unknown_customer", "nobody", key.as_str(), &body),
        ("unreadable", CUSTOMER, key.as_str(), &long),
    ];
    for (reason, customer, key, body) in cases {
        for attempt in ["1", "2", "0", "x", ""] {
            let headers = [("idempotency-key", key), ("idempotency-attempt", attempt)];
            let post = fleet.fleet.caller.request(&vm, customer, &headers, body).await;
            let answer = post.unwrap_or_else(|| panic!("{reason} {attempt}: no answer"));
            let expected = match attempt {
                "1" => (RequestOutcome::NotRun, RunState::No),
                _ => (RequestOutcome::Unknown, RunState::Unknown),
            };
            assert_eq!(answer.refusal.as_ref().unwrap().reason, reason, "{answer:?}");
            assert_eq!((answer.outcome, answer.ran), expected, "attempt \"{attempt}\": {answer:?}");
        }
    }
    assert!(fleet.fleet.standin.executions().is_empty());
}
