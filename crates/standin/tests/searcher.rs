//! Searchers: answers, slots, queue, connections and drains.
#![allow(clippy::unwrap_used)]

mod support;

use oleanderwind_standin::shard_documents;
use oleanderwind_standin::shard_hits;
use oleanderwind_wire::ShardAnswer;

use support::client;
use support::search;
use support::searcher;
use support::settings;
use support::with_server;

#[test]
fn search_answers_what_the_documents_say() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        let reply = search(&client(), &spec, 7).await.unwrap();
        let answer: ShardAnswer = reply.read();
        let documents = shard_documents("course-finder", 1, 0);
        assert_eq!((answer.call_id, answer.shard, answer.index_version), (7, 0, 1));
        assert_eq!(answer.documents, documents);
        assert_eq!(answer.hits, shard_hits("course-finder", 1, 0, documents, "budget law"));
        assert!(!answer.draining);
    });
}
