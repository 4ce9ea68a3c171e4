//! Search answers under faults.
//!
//! Guards against answers that mix snapshots, misreport their coverage or belong to another
//! request, which may arise when snapshots change, replies are spoiled or shards are lost.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::select;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::ReplyFault;
use oleanderwind_standin::SearcherFault;

use crate::support::PAIRED_SERVICES;
use crate::support::SearchFleet;

/// Pause between two changes of snapshots.
const CHANGE_PAUSE: Duration = Duration::from_millis(120);
/// How long searchers keep an old snapshot while snapshots change.
const SNAPSHOT_KEEP: Duration = Duration::from_millis(1);
/// How long searchers keep an old snapshot in the other tests.
const LONG_KEEP: Duration = Duration::from_secs(10);

/// Spoils the next replies of every searcher.
fn spoil_replies(searches: &SearchFleet, reply: ReplyFault, count: u64) {
    searches.inject_fault(FaultScope::All, SearcherFault::SpoilReplies { reply, count });
}

/// Publishes snapshots with varying numbers of shards until dropped, and spoils some replies.
async fn keep_publishing(searches: &SearchFleet) {
    for shards in [3, 6, 2, 4, 5].into_iter().cycle() {
        tokio::time::sleep(CHANGE_PAUSE).await;
        searches.publish_all(shards);
        let spoiled = SearcherFault::SpoilReplies { reply: ReplyFault::WrongSnapshot, count: 1 };
        for service in PAIRED_SERVICES {
            searches.inject_searcher_faults(service, 0..2, spoiled);
        }
    }
}

#[actix_rt::test]
async fn search_answers_from_one_snapshot_while_snapshots_change() {
    let searches = SearchFleet::start(3, SNAPSHOT_KEEP).await;
    let slow = SearcherFault::ColdStart { slow_ms: 60_000, factor_permille: 4_000 };
    searches.inject_fault(FaultScope::FailureDomain("tsagaan-0".into()), slow);
    let changes = Box::pin(keep_publishing(&searches));
    let run = Box::pin(searches.run(11, 150));
    let futures_util::future::Either::Right((tally, _)) = select(changes, run).await else {
        panic!("the endless publishing of snapshots ended")
    };
    let versions: BTreeSet<_> =
        tally.answers.borrow().iter().filter_map(|(_, answer)| answer.snapshot).collect();
    assert!(versions.len() > 3, "answers came from few snapshots: {versions:?}");
    assert_eq!(
        tally.count_reason("snapshot_retired"),
        0,
        "searches of a retired snapshot were not restarted"
    );
    assert!(tally.answered.get() > tally.total() / 2, "most answers were incomplete");
}

#[actix_rt::test]
async fn search_reports_exact_document_coverage() {
    let searches = SearchFleet::start(3, LONG_KEEP).await;
    spoil_replies(&searches, ReplyFault::HalfAnswer, 2);
    for service in ["course-finder", "member-app"] {
        // Every holder of shard 1 of 5.
        let holders = (0..40).filter(|index| index / 2 % 5 == 1);
        searches.inject_searcher_faults(service, holders, SearcherFault::Down);
    }
    searches.inject_searcher_faults("board-notes", 0..20, SearcherFault::Delay { extra_ms: 90 });
    searches.inject_searcher_faults("ledger-desk", 0..20, SearcherFault::Freeze);
    let tally = searches.run(21, 60).await;
    assert!(tally.partial.get() > 20, "{} partial answers", tally.partial.get());
    assert!(tally.answered.get() > 20, "{} whole answers", tally.answered.get());
}

#[actix_rt::test]
async fn search_returns_its_own_intact_answer_after_reply_faults() {
    let searches = SearchFleet::start(2, LONG_KEEP).await;
    for round in 0..4 {
        let replies =
            [ReplyFault::CrossedAnswer, ReplyFault::ClosedMidReply, ReplyFault::LostByClose];
        for (first, reply) in (0..).zip(replies) {
            let spoiled = SearcherFault::SpoilReplies { reply, count: 4 };
            for service in PAIRED_SERVICES {
                searches.inject_searcher_faults(service, 2 * first..2 * first + 2, spoiled);
            }
        }
        let slow = SearcherFault::Delay { extra_ms: 100 * (round % 2) };
        searches.inject_searcher_faults("board-notes", 0..30, slow);
        searches.run(31 + round, 30).await;
    }
    searches.inject_fault(FaultScope::All, SearcherFault::Clear);
    searches.expect_recovery(41).await;
}
