//! The platform's Object API, after the published Kubernetes API conventions.
//!
//! Objects live under [`API_PREFIX`]`/{kind}/{name}` and carry a `resourceVersion` that grows
//! with every write in the store. `PUT` with the version last read is a conditional update and
//! answers 409 when the object changed; `POST` creates and answers 409 when the name is taken.
//! `GET {kind}?watch=1&resourceVersion=N&timeoutSeconds=S` streams one JSON [`WatchEvent`] a
//! line and answers 410 when N is too old.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Path before the kind in every Object API call.
pub const API_PREFIX: &str = "/apis/oleanderwind/v1";

/// Name and version of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectMetadata {
    /// Unique within the kind.
    pub name: String,
    /// Version of the store at the object's last write, a decimal number as text.
    #[serde(default)]
    pub resource_version: String,
    /// Small texts that travel with the object, written with it in one update.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub annotations: BTreeMap<String, String>,
}

/// One object with its JSON `spec`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ObjectDocument {
    /// Plural kind, for example `contracts`.
    #[serde(default)]
    pub kind: String,
    /// Name and version.
    pub metadata: ObjectMetadata,
    /// The object itself.
    pub spec: Value,
}

/// The reply to a list call.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ObjectList {
    /// Carries the store's version that the list is complete up to; the name is empty.
    pub metadata: ObjectMetadata,
    /// The objects of the kind.
    pub items: Vec<ObjectDocument>,
}

/// What happened to a watched object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchKind {
    /// Created.
    Added,
    /// Changed.
    Modified,
    /// Removed; the object carries its last state and the removal's version.
    Deleted,
    /// Nothing changed up to the object's version.
    Bookmark,
}

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: WatchKind,
    /// The object after the event.
    pub object: ObjectDocument,
}

/// The body of a failed Object API call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlatformStatus {
    /// HTTP status code.
    pub code: u16,
    /// `AlreadyExists`, `Conflict`, `NotFound`, `Expired`, `TooManyRequests`, `Unavailable`.
    pub reason: String,
    /// Text for people.
    pub message: String,
}

impl ObjectDocument {
    /// The object's version as a number, 0 when it has none yet.
    pub fn revision(&self) -> u64 {
        self.metadata.resource_version.parse().unwrap_or(0)
    }

    /// The object as JSON bytes.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}
