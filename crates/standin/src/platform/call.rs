//! Counts of Object API calls.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Kind of an Object API call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// All objects of a kind.
    List,
    /// A waiting watch, counted once.
    Watch,
    /// One object.
    Get,
    /// A new object.
    Create,
    /// A conditional update.
    Update,
    /// A removal.
    Delete,
}

impl CallKind {
    /// Whether the call changes objects.
    pub(crate) fn is_write(self) -> bool {
        match self {
            CallKind::Create | CallKind::Update | CallKind::Delete => true,
            CallKind::List | CallKind::Watch | CallKind::Get => false,
        }
    }
}

/// Number of calls of one kind on one kind of object.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallCount {
    /// Kind of call.
    pub call: CallKind,
    /// Plural kind of object, for example `contracts`.
    pub kind: String,
    /// Calls received, refused ones included.
    pub count: u64,
}

/// What the platform has done so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlatformReport {
    /// Calls by kind of call and of object.
    pub calls: Vec<CallCount>,
    /// Calls that a rate limit refused.
    pub rate_limited: u64,
    /// Version of the store.
    pub version: u64,
    /// Objects in the store.
    pub objects: u64,
    /// Watches that wait now.
    pub open_watches: u64,
}

/// Counter of calls.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    counts: BTreeMap<(CallKind, String), u64>,
}

impl CallCounter {
    /// Counts one call.
    pub(crate) fn add(&mut self, call: CallKind, kind: &str) {
        *self.counts.entry((call, kind.to_owned())).or_default() += 1;
    }

    /// Every count that isn't 0.
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
