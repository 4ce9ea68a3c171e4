//! Messages of the platform's Object API, which follows the Kubernetes API conventions.
//!
//! Objects live under [`API_PREFIX`]`/{kind}/{name}` and carry a `resourceVersion` that
//! increases with every write to the store. `PUT` with the version last read is a conditional
//! update, which fails with 409 if the object has changed since. `POST` creates an object and fails
//! with 409 if the name is taken. `GET {kind}?watch=1&resourceVersion=N&timeoutSeconds=S` streams
//! one JSON [`WatchEvent`] per line and fails with 410 if N is too old.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Path prefix of all Object API calls, followed by the kind.
pub const API_PREFIX: &str = "/apis/oleanderwind/v1";

/// Name and version of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectMetadata {
    /// Name, unique within the kind.
    pub name: String,
    /// Version of the store at the object's last write, as a decimal number in a string.
    #[serde(default)]
    pub resource_version: String,
    /// Short strings that are stored with the object and written in the same update.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub annotations: BTreeMap<String, String>,
}

/// An object with its JSON `spec`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ObjectDocument {
    /// Plural kind, for example `contracts`.
    #[serde(default)]
    pub kind: String,
    /// Name and version.
    pub metadata: ObjectMetadata,
    /// Content of the object.
    pub spec: Value,
}

/// Reply to a list call.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ObjectList {
    /// Carries the store version up to which the list is complete; the name is empty.
    pub metadata: ObjectMetadata,
    /// All objects of the kind.
    pub items: Vec<ObjectDocument>,
}

/// Type of a watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchKind {
    /// The object was created.
    Added,
    /// The object was changed.
    Modified,
    /// The object was deleted; the event carries its last state with the version of the deletion.
    Deleted,
    /// All changes up to the object's version have been sent.
    Bookmark,
}

/// One line of a watch stream.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct WatchEvent {
    /// Type of the event.
    #[serde(rename = "type")]
    pub kind: WatchKind,
    /// The object after the event.
    pub object: ObjectDocument,
}

/// Body of the reply to a failed Object API call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlatformStatus {
    /// HTTP status code.
    pub code: u16,
    /// `AlreadyExists`, `Conflict`, `NotFound`, `Expired`, `TooManyRequests`, `Unavailable`.
    pub reason: String,
    /// Human-readable description.
    pub message: String,
}

impl ObjectDocument {
    /// Returns the object's version as a number, or 0 if it has no valid version.
    pub fn revision(&self) -> u64 {
        self.metadata.resource_version.parse().unwrap_or(0)
    }

    /// Serializes the object to JSON.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}
