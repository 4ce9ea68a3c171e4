//! Recomputes the expected content of search answers.

use std::cell::RefCell;
use std::collections::HashMap;

use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_standin::SnapshotOrder;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::shard_documents;
use oleanderwind_standin::shard_hits;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::SearchHit;

/// Most hits in an answer.
const MAX_HITS: usize = 10;
/// Most shards for which all subsets of shard answers are tried.
const MAX_SUBSET_SHARDS: u32 = 6;

/// A complete or half shard answer that can be merged into an answer.
struct ShardAnswer {
    documents: u64,
    hits: Vec<SearchHit>,
}

/// Checks answers against every snapshot that it has published.
#[derive(Default)]
pub(crate) struct AnswerChecker {
    shards: RefCell<HashMap<(String, IndexVersion), u32>>,
}

impl AnswerChecker {
    /// Publishes a new snapshot of a service.
    pub(crate) fn publish(&self, standin: &StandinServer, service: &str, shards: u32) {
        let order = SnapshotOrder {
            service: service.into(),
            provider: "alpha".into(),
            shards: Some(shards),
        };
        let version = standin.publish_snapshot(&order).index_version.unwrap();
        self.shards.borrow_mut().insert((service.to_owned(), version), shards);
    }

    /// Checks that an answer is intact, belongs to its request and merges hits of one snapshot.
    ///
    /// # Panics
    ///
    /// Panics when the answer is wrong.
    pub(crate) fn check(&self, service: &str, query: &str, answer: &CallerAnswer) {
        assert_eq!(answer.request_id, query, "the answer belongs to another request");
        if answer.snapshot.is_none() {
            assert_eq!((answer.outcome, answer.ran), (RequestOutcome::NotRun, RunState::No));
            return;
        }
        assert_eq!(
            answer.digest,
            answer.content_digest(),
            "{query}: the content does not match its digest"
        );
        let version = answer.snapshot.unwrap();
        let coverage = answer.coverage.unwrap();
        let known = self.shards.borrow().get(&(service.to_owned(), version)).copied();
        let shards = known.unwrap_or(coverage.shards_total);
        let total = (0..shards).map(|shard| shard_documents(service, version, shard)).sum::<u64>();
        assert_eq!((coverage.shards_total, coverage.documents_total), (shards, total), "{query}");
        let is_whole = coverage.documents_covered == total;
        assert_eq!(answer.outcome == RequestOutcome::Answered, is_whole, "{query}: {coverage:?}");
        if is_whole || shards <= MAX_SUBSET_SHARDS {
            let has_match = has_matching_merge(service, version, query, answer, shards, is_whole);
            assert!(
                has_match,
                "{query}: no set of shard answers of snapshot {version} merges into this answer"
            );
        } else {
            self.check_hits_exist(service, version, query, answer);
        }
    }

    fn check_hits_exist(
        &self,
        service: &str,
        version: IndexVersion,
        query: &str,
        answer: &CallerAnswer,
    ) {
        for hit in &answer.hits {
            let shard = u32::try_from(hit.document >> 32).unwrap();
            let documents = shard_documents(service, version, shard);
            let hits = shard_hits(service, version, shard, documents, query);
            assert!(hits.contains(hit), "{query}: hit that its shard does not return");
        }
    }
}

/// Returns whether some set of complete and half shard answers merges into exactly this answer.
fn has_matching_merge(
    service: &str,
    version: IndexVersion,
    query: &str,
    answer: &CallerAnswer,
    shards: u32,
    is_whole: bool,
) -> bool {
    let part = |shard, documents| ShardAnswer {
        documents,
        hits: shard_hits(service, version, shard, documents, query),
    };
    let parts: Vec<[ShardAnswer; 2]> = (0..shards)
        .map(|shard| {
            let whole = shard_documents(service, version, shard);
            [part(shard, whole), part(shard, whole / 2)]
        })
        .collect();
    if is_whole {
        return is_merge_of(answer, parts.iter().map(|both| &both[0]));
    }
    (0..3_usize.pow(shards)).any(|code| {
        let chosen = parts.iter().enumerate().filter_map(|(shard, both)| {
            let digit = code / 3_usize.pow(u32::try_from(shard).unwrap()) % 3;
            both.get(digit)
        });
        is_merge_of(answer, chosen)
    })
}

fn is_merge_of<'a>(
    answer: &CallerAnswer,
    parts: impl Iterator<Item = &'a ShardAnswer> + Clone,
) -> bool {
    let coverage = answer.coverage.unwrap();
    if parts.clone().count() != coverage.shards_answered as usize
        || parts.clone().map(|part| part.documents).sum::<u64>() != coverage.documents_covered
    {
        return false;
    }
    let mut hits: Vec<SearchHit> = parts.flat_map(|part| part.hits.clone()).collect();
    hits.sort_by(|a, b| b.score.cmp(&a.score).then(a.document.cmp(&b.document)));
    hits.truncate(MAX_HITS);
    hits == answer.hits
}
