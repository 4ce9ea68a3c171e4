//! Requests that may not be repeated, end to end, checked against what the targets ran.
#![allow(clippy::unwrap_used)]

mod support;

use futures_util::future::join;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::StandinSettings;
use support::Fleet;

#[actix_rt::test]
async fn execute_runs_once_and_repeats_learn_the_result() {
    let fleet = Fleet::start(StandinSettings::default(), 2).await;
    let first = fleet.caller.fresh();
    let told = fleet.ask(0, &first).await;
    assert_eq!((told.status, told.verdict()), (200, (RequestOutcome::Answered, None)));
    // The record of the outcome follows the answer; until then a repeat is unknown.
    let mut repeat = first.clone();
    loop {
        repeat = repeat.next();
        let again = fleet.ask(1, &repeat).await;
        if again.answer.outcome == RequestOutcome::Answered {
            assert_eq!(again.answer.result, told.answer.result);
            break;
        }
        assert_eq!(again.verdict(), (RequestOutcome::Unknown, Some("claim_held")));
    }
    assert_eq!(fleet.runs(&first.key), 1);
    fleet.check();
}

#[actix_rt::test]
async fn execute_runs_once_for_two_vms_at_once() {
    let fleet = Fleet::start(StandinSettings::default(), 2).await;
    for _ in 0..20 {
        let first = fleet.caller.fresh();
        let second = first.next();
        let (one, two) = join(fleet.ask(0, &first), fleet.ask(1, &second)).await;
        let answered = [&one, &two]
            .iter()
            .filter(|told| told.answer.outcome == RequestOutcome::Answered)
            .count();
        assert!(answered >= 1, "{one:?} {two:?}");
        assert_eq!(fleet.runs(&first.key), 1);
    }
    fleet.check();
}
