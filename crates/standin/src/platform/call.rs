//! Kinds and counts of Object API calls.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Kind of an Object API call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Lists all objects of a kind.
    List,
    /// Watches a kind of object; counted once, when the watch opens.
    Watch,
    /// Reads one object.
    Get,
    /// Creates an object.
    Create,
    /// Updates an object if its version matches.
    Update,
    /// Deletes an object.
    Delete,
}

impl CallKind {
    /// Returns whether the call modifies objects.
    pub(crate) fn is_write(self) -> bool {
        match self {
            CallKind::Create | CallKind::Update | CallKind::Delete => true,
            CallKind::List | CallKind::Watch | CallKind::Get => false,
        }
    }
}

/// Number of calls by kind of call and kind of object.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallCount {
    /// Kind of call.
    pub call: CallKind,
    /// Plural kind of object, for example `contracts`.
    pub kind: String,
    /// Calls received, including refused ones.
    pub count: u64,
}

/// Call counts and state of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlatformReport {
    /// Call counts by kind of call and kind of object.
    pub calls: Vec<CallCount>,
    /// Calls refused by a rate limit.
    pub rate_limited: u64,
    /// Current version of the store.
    pub version: u64,
    /// Number of objects in the store.
    pub objects: u64,
    /// Number of watches that are open.
    pub open_watches: u64,
}

/// Counts calls by kind of call and kind of object.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    counts: BTreeMap<(CallKind, String), u64>,
}

impl CallCounter {
    /// Counts one call.
    pub(crate) fn add(&mut self, call: CallKind, kind: &str) {
        *self.counts.entry((call, kind.to_owned())).or_default() += 1;
    }

    /// Returns all counts that are not zero.
    pub(crate) fn report(&self) -> Vec<CallCount> {
        self.counts
            .iter()
            .map(|((call, kind), count)| CallCount {
                call: *call,
                kind: kind.clone(),
                count: *count,
            })
            .collect()
    }
}
