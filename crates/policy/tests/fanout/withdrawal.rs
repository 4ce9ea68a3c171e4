//! Queries that were admitted by what is taken back while they run.

use std::time::SystemTime;

use oleanderwind_policy::CallId;
use oleanderwind_policy::FanoutAction;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::RunState;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;

fn sent(actions: &[FanoutAction], wanted: QueryId) -> Vec<CallId> {
    let calls = actions.iter().filter_map(|action| match action {
        FanoutAction::Send { query, call, .. } if *query == wanted => Some(*call),
        _ => None,
    });
    calls.collect()
}

fn result(actions: &[FanoutAction], wanted: QueryId) -> Option<&FanoutResult> {
    actions.iter().find_map(|action| match action {
        FanoutAction::Finish { query, result } if *query == wanted => Some(result),
        _ => None,
    })
}

/// Fills both targets of a shard with the calls of queries and returns the first query that waits.
fn fill(fleet: &mut FakeFleet, actions: &mut Vec<FanoutAction>) -> QueryId {
    for query in 1..100 {
        let plan = FanoutPlan { deadline: fleet.now + ms(2_000), ..fleet.plan() };
        fleet.engine.submit(query, plan, fleet.now, actions);
        if sent(actions, query).is_empty() {
            return query;
        }
    }
    panic!("no query waits")
}

/// Pattern: an organisation's key is taken away while a request of it waits for room.
#[test]
fn withdrawn_query_that_waits_ends_without_a_call() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    let mut actions = Vec::new();
    let waiting = fill(&mut fleet, &mut actions);
    fleet.engine.withdraw(waiting, fleet.now, &mut actions);
    let end = result(&actions, waiting).unwrap();
    assert_eq!((end.ran, end.reason), (RunState::No, FinishReason::Abandoned));
    let answered = FanoutEvent::Answered {
        call: sent(&actions, 1)[0],
        documents: 1_000,
        load: Default::default(),
        draining: false,
    };
    fleet.engine.handle(answered, fleet.now + ms(5), &mut actions);
    assert!(sent(&actions, waiting).is_empty());
    assert_eq!(result(&actions, 1).unwrap().reason, FinishReason::Complete);
}

/// Pattern: an organisation's key is taken away while a request of it is under way and would be hedged or sent again.
#[test]
fn withdrawn_query_under_way_sends_nothing_more() {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), 1, 2);
    fleet.extra_permille = 1_000;
    fleet.submit_every(1_000, 100, ms(10));
    for is_withdrawn in [false, true] {
        let query = u64::from(is_withdrawn);
        let mut actions = Vec::new();
        let plan = FanoutPlan { deadline: fleet.now + ms(2_000), ..fleet.plan() };
        fleet.engine.submit(query, plan, fleet.now, &mut actions);
        let call = sent(&actions, query)[0];
        fleet.engine.mark_sent(call, fleet.now);
        if is_withdrawn {
            fleet.engine.withdraw(query, fleet.now, &mut actions);
            assert!(result(&actions, query).is_none(), "what is under way may end");
        }
        assert_eq!(fleet.engine.may_send(call, fleet.now, SystemTime::now()), !is_withdrawn);
        fleet.engine.wake(fleet.now + ms(900), &mut actions);
        let hedges = sent(&actions, query).len() - 1;
        assert_eq!(hedges, usize::from(!is_withdrawn), "hedge");
        if is_withdrawn {
            fleet.engine.handle(FanoutEvent::Failed { call }, fleet.now + ms(901), &mut actions);
            assert_eq!(sent(&actions, query).len(), 1, "a failed call is not sent again");
            let end = result(&actions, query).unwrap();
            assert_eq!((end.ran, end.reason), (RunState::Unknown, FinishReason::Abandoned));
        }
        fleet.engine.abandon(query, fleet.now, &mut actions);
    }
}
