//! Deterministic documents of shards and hits of queries, the same in every process.

use oleanderwind_policy::IndexVersion;
use oleanderwind_policy::ShardId;
use oleanderwind_wire::SearchHit;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of documents in a shard.
const MIN_DOCUMENTS: u64 = 900;
/// Number of possible values of the document count of a shard.
const DOCUMENT_SPAN: u64 = 200;
/// Maximum number of hits per shard.
const MAX_HITS: u64 = 10;
/// Exclusive upper bound of the scores.
const SCORE_SPAN: u64 = 100_000;

/// Returns the number of documents of a shard.
///
/// # Examples
///
/// ```
/// let count = oleanderwind_standin::shard_documents("course-finder", 1, 0);
/// assert_eq!(count, oleanderwind_standin::shard_documents("course-finder", 1, 0));
/// ```
pub fn shard_documents(service: &str, version: IndexVersion, shard: ShardId) -> u64 {
    MIN_DOCUMENTS + digest(&format!("{service}/{version}/{shard}")) % DOCUMENT_SPAN
}

/// Returns the number of the first document of a shard; its others are numbered consecutively.
pub fn first_document(shard: ShardId) -> u64 {
    u64::from(shard) << 32
}

/// Returns the hits of `query` in the first `documents` documents of a shard, best first.
pub fn shard_hits(
    service: &str,
    version: IndexVersion,
    shard: ShardId,
    documents: u64,
    query: &str,
) -> Vec<SearchHit> {
    let total = shard_documents(service, version, shard);
    let mut hits: Vec<SearchHit> = (0..MAX_HITS)
        .map(|rank| digest(&format!("{service}/{version}/{shard}/{rank}/{query}")))
        .map(|hash| SearchHit {
            score: u32::try_from((hash >> 32) % SCORE_SPAN).unwrap_or(0),
            document: first_document(shard) + hash % total,
        })
        .filter(|hit| hit.document < first_document(shard) + documents)
        .collect();
    hits.sort_by_key(|hit| hit.document);
    hits.dedup_by_key(|hit| hit.document);
    hits.sort_by(|left, right| right.cmp(left));
    hits
}

/// Returns the XXH3 hash of a text.
pub(crate) fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
